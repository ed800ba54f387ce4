package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/entry"
	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/membership"
)

const (
	// forwardDialTimeout bounds the set-up of a connection to another host.
	forwardDialTimeout = 400 * time.Millisecond
	// maxForwards is the number of hosts that are asked to serve one request at most.
	maxForwards = 3
)

// errNotConnected reports that no connection to a host could be opened.
var errNotConnected = errors.New("daemon: host not reached")

// forwarder sends requests to the entry addresses of other hosts, which serve them in the
// place of this one. Hosts of earlier releases can serve them, too.
type forwarder struct {
	opts    *Options
	members func() []membership.Member
	hosts   *forward.Hosts
	http    *http.Client
	scheme  string
}

var _ entry.Forwarder = (*forwarder)(nil)

func newForwarder(opts *Options, members func() []membership.Member, certs *certsService) *forwarder {
	f := &forwarder{opts: opts, members: members, hosts: forward.NewHosts(opts.Clock, opts.newRand()), scheme: "http"}
	// A request on a new connection is never sent twice by the transport.
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: api.MaxHeaderBytes,
	}
	dialer := &net.Dialer{Timeout: forwardDialTimeout}
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		return conn, errors.Mark(err, errNotConnected)
	}
	if certs.reloader != nil {
		f.scheme = "https"
		transport.DialTLSContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, forwardDialTimeout)
			defer cancel()
			conn, err := certs.dialPeer()(ctx, addr)
			return conn, errors.Mark(err, errNotConnected)
		}
	}
	f.http = &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return f
}

// observeLost records the services that another host does not reach. A request may need any
// of them.
func (f *forwarder) observeLost(from membership.Member, services []string) error {
	var lost []string
	if len(services) > 0 {
		lost = []string{anyService}
	}
	f.hosts.ObserveLost(from.Host, lost)
	return nil
}

// anyService stands for all services in the choice of hosts.
const anyService = ""

// Forward implements entry.Forwarder.
func (f *forwarder) Forward(w http.ResponseWriter, r *http.Request, id string, body []byte) bool {
	var exclude []string
	for range maxForwards {
		m, ok := f.choose(exclude)
		if !ok {
			return false
		}
		ended := f.hosts.Started(m.Host)
		answered, err := f.send(w, r, m, id, body)
		ended()
		f.opts.Logger.InfoContext(r.Context(), "request forwarded", "request", id, "host", m.Host, "answered", answered, "error", err)
		if answered {
			return true
		}
		if r.Context().Err() != nil {
			return false
		}
		exclude = append(exclude, m.Host)
		f.hosts.Refused(m.Host, anyService)
	}
	return false
}

func (f *forwarder) choose(exclude []string) (membership.Member, bool) {
	members := f.members()
	var candidates []string
	for _, m := range members {
		if m.State == membership.Alive && m.EntryAddress != "" && m.Host != f.opts.Settings.Host {
			candidates = append(candidates, m.Host)
		}
	}
	host, ok := f.hosts.Choose(anyService, candidates, exclude)
	if !ok {
		return membership.Member{}, false
	}
	return members[slices.IndexFunc(members, func(m membership.Member) bool { return m.Host == host })], true
}

// send sends a request to a host and copies its answer. It returns false if the host has
// not run the request and another one may be tried.
func (f *forwarder) send(w http.ResponseWriter, r *http.Request, m membership.Member, id string, body []byte) (answered bool, err error) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, f.scheme+"://"+m.EntryAddress+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "daemon: build request")
	}
	out.Header = r.Header.Clone()
	out.Header.Del("Connection")
	out.Header.Set(api.HeaderIdempotencyKey, id)
	out.Header.Set(api.HeaderForwardedBy, f.opts.Settings.Host)
	resp, err := f.http.Do(out)
	switch {
	case errors.Is(err, errNotConnected):
		return false, err
	case err != nil:
		api.WriteError(w, unansweredError(r.Context(), id, "host "+m.Host+" did not answer"))
		return true, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return f.copyFailure(w, r, resp, id)
	}
	return true, copyAnswer(w, r, resp, id, resp.Body)
}

// copyFailure copies the answer of a host that is not available, unless it says that it has
// not run the request.
func (f *forwarder) copyFailure(w http.ResponseWriter, r *http.Request, resp *http.Response, id string) (answered bool, err error) {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxFailureBytes))
	if err != nil {
		return true, copyAnswer(w, r, resp, id, io.MultiReader(bytes.NewReader(text), resp.Body))
	}
	var failure api.ErrorBody
	if json.Unmarshal(text, &failure) == nil && failure.Error != nil && failure.Error.Outcome == api.OutcomeNotRun && failure.Error.Code == api.CodeUnavailable {
		return false, failure.Error
	}
	return true, copyAnswer(w, r, resp, id, bytes.NewReader(text))
}

// maxFailureBytes bounds an error answer of another host.
const maxFailureBytes = 64 << 10

// unansweredError returns the error of a request that another host may have run.
func unansweredError(ctx context.Context, id, message string) *api.Error {
	if drain.Stopping(ctx) {
		message = "this host is stopping and has ended the request"
	}
	return &api.Error{Status: http.StatusBadGateway, Code: api.CodeEndpointFailed, Outcome: api.OutcomeUnknown, RequestID: id, Message: message}
}

// copyAnswer copies an answer as it arrives. If this host stops meanwhile, a stream
// ends with an error; any other answer that is cut aborts the caller's connection.
func copyAnswer(w http.ResponseWriter, r *http.Request, resp *http.Response, id string, body io.Reader) error {
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.Header().Del("Connection")
	w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return errors.Wrap(err, "daemon: write answer")
			}
			// A failed flush shows again at the next write.
			_ = control.Flush()
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && drain.Stopping(r.Context()) && isEventStream(resp):
			return errors.CombineErrors(errors.Wrap(err, "daemon: read answer"), writeFailureEvent(w, unansweredError(r.Context(), id, "")))
		case err != nil:
			panic(http.ErrAbortHandler)
		}
	}
}

func isEventStream(resp *http.Response) bool {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

// writeFailureEvent ends a stream with an error. The empty line before it ends an event of
// which only a part has been copied.
func writeFailureEvent(w http.ResponseWriter, failure *api.Error) error {
	data, err := json.Marshal(api.ErrorBody{Error: failure})
	if err != nil {
		return errors.Wrap(err, "daemon: encode event")
	}
	_, err = io.WriteString(w, "\n\ndata: "+string(data)+"\n\n")
	return errors.Wrap(err, "daemon: write event")
}

// copyBufferBytes has room for a few events.
const copyBufferBytes = 8 << 10
