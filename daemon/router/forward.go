package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/upstream"
)

// forwarding passes requests to the hosts that reach the endpoints of a service, and serves
// those of other hosts.
type forwarding struct {
	host   *Host
	client *forward.Client
	hosts  *forward.Hosts
}

var _ relay.Forwarder = (*forwarding)(nil)

func newForwarding(h *Host) *forwarding {
	set := h.opts.Settings
	return &forwarding{
		host:   h,
		client: forward.NewClient(forward.ClientOptions{Key: set.ClusterKey, Self: set.Host, Dial: h.opts.DialHost, Clock: h.opts.Clock}),
		hosts:  forward.NewHosts(h.opts.Clock, h.newRand()),
	}
}

// Choose implements relay.Forwarder.
func (f *forwarding) Choose(service string, exclude []string) (string, bool) {
	var candidates []string
	for _, m := range f.host.peers.members.Members() {
		if m.State == membership.Alive && m.ForwardAddress != "" && m.Host != f.host.opts.Settings.Host && f.host.peers.canServe(m.Host) {
			candidates = append(candidates, m.Host)
		}
	}
	return f.hosts.Choose(service, candidates, exclude)
}

// Forward implements relay.Forwarder.
func (f *forwarding) Forward(ctx context.Context, host string, message relay.Forwarded, body []byte) (*upstream.Response, error) {
	member, known := f.host.peers.members.Member(host)
	if !known {
		return nil, &upstream.Error{Cause: upstream.ErrDial}
	}
	ended := f.hosts.Started(host)
	context.AfterFunc(ctx, ended)
	return f.client.Do(ctx, member.ForwardAddress, message, body)
}

// Refused implements relay.Forwarder.
func (f *forwarding) Refused(host, service string) { f.hosts.Refused(host, service) }

// serve answers the requests that other hosts forward.
func (f *forwarding) serve(w http.ResponseWriter, r *http.Request) {
	h := f.host
	defer drain.InterruptRead(w, r)()
	req, err := forward.Read(w, r, h.buffers, h.MaxBodyBytes()+maxForwardMessageBytes)
	defer req.Release()
	if errors.Is(err, limiter.ErrBufferFull) {
		relay.RejectForwarded(w, relay.ReasonBuffersFull)
		return
	}
	if err != nil && drain.Stopping(r.Context()) {
		relay.RejectForwarded(w, relay.ReasonStopping)
		return
	}
	var message relay.Forwarded
	if err == nil {
		err = json.Unmarshal(req.Message, &message)
	}
	if err != nil || message.Request == nil {
		h.opts.Logger.Warn("forwarded request refused", "from", req.From, "remote", r.RemoteAddr, "error", err)
		relay.RejectForwarded(w, relay.ReasonMalformed)
		return
	}
	message.Request.Timeout = max(time.Millisecond, message.TimeLeft)
	if !h.Accepting(message.Request) {
		relay.RejectForwarded(w, relay.ReasonStopping)
		return
	}
	message.Request.Body = req.Body
	h.relay.ServeForwarded(r.Context(), w, req.From, message)
}

// maxForwardMessageBytes bounds what a host says about a forwarded request. It has room for
// the largest header of a request.
const maxForwardMessageBytes = 4 * maxHeaderBytes
