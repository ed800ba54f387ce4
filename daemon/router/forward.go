package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/internal/runlease"
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
	// grantor grants leases on the requests that this host forwards, and holder keeps those on
	// the requests that it serves for others.
	grantor *runlease.Grantor
	holder  *runlease.Holder
}

var _ relay.Forwarder = (*forwarding)(nil)

func newForwarding(h *Host) *forwarding {
	set := h.opts.Settings
	return &forwarding{
		host:    h,
		grantor: runlease.NewGrantor(h.callHost, h.opts.Clock, h.opts.Logger),
		holder: runlease.NewHolder(runlease.HolderOptions{
			Call: h.callHost, Clock: h.opts.Clock, Boottime: boottime.Now, Logger: h.opts.Logger,
		}),
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

// Lease implements relay.Forwarder.
func (f *forwarding) Lease(host, request string) relay.RunLease { return f.grantor.Open(host, request) }

// callHost calls a method of the host of the given name.
func (h *Host) callHost(ctx context.Context, host, method string, params, result any) error {
	member, known := h.peers.members.Member(host)
	if !known {
		return errors.Newf("router: host %q is not known", host)
	}
	return h.peers.client.Call(ctx, member.PeerAddress, method, params, result)
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
	if message.Lease == "" {
		h.relay.ServeForwarded(r.Context(), w, req.From, message)
		return
	}
	f.serveUnderLease(w, r, req.From, message)
}

// serveUnderLease serves a request while the host that has forwarded it grants a lease on it.
func (f *forwarding) serveUnderLease(w http.ResponseWriter, r *http.Request, from string, message relay.Forwarded) {
	lease, err := f.holder.Acquire(r.Context(), from, message.Lease)
	if err != nil {
		f.host.opts.Logger.Info("no lease on a forwarded request", "from", from, "request", message.Request.ID, "error", err)
		relay.RejectForwarded(w, relay.ReasonNoLease)
		return
	}
	defer lease.Release()
	defer context.AfterFunc(lease.Context(), func() {
		if errors.Is(context.Cause(lease.Context()), runlease.ErrEnded) {
			// A write to a host that has vanished may block for as long as its connection is open.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
		}
	})()
	f.host.relay.ServeForwarded(lease.Context(), w, from, message)
}

// maxForwardMessageBytes bounds what a host says about a forwarded request. It has room for
// the largest header of a request.
const maxForwardMessageBytes = 4 * maxHeaderBytes
