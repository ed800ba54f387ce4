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
	arrived := h.opts.Clock.Now()
	defer drain.InterruptRead(w, r)()
	req, err := forward.Read(w, r, h.buffers, h.MaxBodyBytes()+maxForwardMessageBytes)
	defer req.Release()
	message, reason := f.decode(r, req, err)
	if reason != "" {
		relay.RejectForwarded(w, reason)
		return
	}
	ctx := r.Context()
	if message.Lease != "" {
		lease, err := f.holder.Acquire(ctx, req.From, message.Lease)
		if err != nil {
			h.opts.Logger.Info("no lease on a forwarded request", "from", req.From, "request", message.Request.ID, "error", err)
			relay.RejectForwarded(w, relay.ReasonNoLease)
			return
		}
		defer lease.Release()
		defer interruptWrite(w, lease)()
		ctx = lease.Context()
	}
	message.TimeLeft -= h.opts.Clock.Since(arrived)
	h.relay.ServeForwarded(ctx, w, req.From, message)
	if leaseLost(ctx) {
		panic(http.ErrAbortHandler) // the connection has a deadline for writes
	}
}

// decode returns the message of a request, which was read with readErr, or the reason for which
// this host rejects the request.
func (f *forwarding) decode(r *http.Request, req forward.Request, readErr error) (message relay.Forwarded, reason string) {
	h := f.host
	switch {
	case errors.Is(readErr, limiter.ErrBufferFull):
		return message, relay.ReasonBuffersFull
	case readErr != nil && drain.Stopping(r.Context()):
		return message, relay.ReasonStopping
	}
	err := readErr
	if err == nil {
		err = json.Unmarshal(req.Message, &message)
	}
	if err != nil || message.Request == nil {
		h.opts.Logger.Warn("forwarded request refused", "from", req.From, "remote", r.RemoteAddr, "error", err)
		return message, relay.ReasonMalformed
	}
	message.Request.Timeout = max(time.Millisecond, message.TimeLeft)
	message.Request.Body = req.Body
	if !h.Accepting(message.Request) {
		return message, relay.ReasonStopping
	}
	return message, ""
}

// leaseLost reports whether the lease of a request was lost whose context this is.
func leaseLost(ctx context.Context) bool { return errors.Is(context.Cause(ctx), runlease.ErrEnded) }

// interruptWrite makes writes of an answer fail once the lease on its request is lost, until the
// returned function is called. A write to a host that has vanished may block for as long as its
// connection is open.
func interruptWrite(w http.ResponseWriter, lease *runlease.Lease) (done func()) {
	stop := context.AfterFunc(lease.Context(), func() {
		if leaseLost(lease.Context()) {
			// If it fails, the connection is closed, and the write fails as well.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
		}
	})
	return func() { stop() }
}

// maxForwardMessageBytes bounds what a host says about a forwarded request. It has room for
// the largest header of a request.
const maxForwardMessageBytes = 4 * maxHeaderBytes
