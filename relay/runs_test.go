package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/route"
	"github.com/corianderlever/corianderlever/upstream"
)

// endpointActs are what an endpoint may do with a request; those of notRun do not run it. The host
// ends the context of the request at "stop".
var (
	endpointActs = []string{
		"rejects", "stop, rejects", "drops", "fails", "cuts", "encodes", "unsigned", "full", "long answer", "stop, hangs", "header, stop, hangs", "serves", "refuses",
	}
	notRun = map[string]bool{"rejects": true, "stop, rejects": true}
)

// perform does what an endpoint may do.
func perform(act string, stop func(), w http.ResponseWriter, hr *http.Request) {
	switch act {
	case "stop, rejects":
		stop()
		reject(w, hr)
	case "drops":
		dropConnection(w, hr)
	case "fails":
		failing(w, hr)
	case "cuts":
		truncated(w, hr)
	case "encodes":
		encoded(w, hr)
	case "full":
		answer(w, http.StatusServiceUnavailable, "")
	case "long answer":
		answer(w, http.StatusOK, string(make([]byte, 4*smallBudget)))
	case "stop, hangs":
		stop()
		<-hr.Context().Done()
	case "header, stop, hangs":
		w.Header().Set("Content-Length", "10")
		answer(w, http.StatusOK, "x")
		w.(http.Flusher).Flush()
		stop()
		<-hr.Context().Done()
	case "serves":
		answer(w, http.StatusOK, "id: 1\ndata: x\n\n")
	case "rejects":
		reject(w, hr)
	}
}

// smallBudget is the memory for answers of the host in bytes.
const smallBudget = 16 << 10

// TestRunsAreCountedWhateverEndpointsDo guards against a request that must run at most once and
// reaches two endpoints, against a host that reports fewer runs of a forwarded request than there
// are, and against a status that promises that a request has not run which has: endpoints fail in
// all ways, and the host stops or its caller leaves at any moment.
func TestRunsAreCountedWhateverEndpointsDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]route.Kind{route.NonIdempotent, route.Stream, route.Idempotent}).Draw(rt, "kind")
		from := rapid.SampledFrom([]string{"", "origin"}).Draw(rt, "from")
		acts := rapid.SliceOfN(rapid.SampledFrom(endpointActs), 1, 3).Draw(rt, "endpoints")
		cause := rapid.SampledFrom([]error{drain.ErrStopping, context.Canceled}).Draw(rt, "cause of the end")
		stopAtDial := rapid.IntRange(-2, 3).Draw(rt, "connection at which the context ends") // none if below 1
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		stop := func() { cancel(cause) }

		var dials atomic.Int64
		r := newRigWith(t, func(o *relay.Options) {
			o.Buffers = limiter.NewByteBudget(smallBudget)
			opts := upstream.DefaultOptions()
			opts.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				if dials.Add(1) == int64(stopAtDial) {
					stop()
				}
				return conn, err
			}
			o.Client = upstream.NewClient(opts)
		}, route.Route{Name: "r", Prefix: "/p/", Kind: kind, MaxAttempts: 2, Timeout: 10 * time.Second})
		var ran atomic.Int64
		var servers []*httptest.Server
		for i, act := range acts {
			server := r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, hr *http.Request) {
				if !notRun[act] {
					ran.Add(1)
				}
				perform(act, stop, w, hr)
			})
			if act == "refuses" {
				server.Close()
			}
			servers = append(servers, server)
		}
		w := httptest.NewRecorder()
		aborted := r.serveRecorded(ctx, w, from)
		for _, server := range servers {
			server.Close() // waits for the requests that have arrived
		}
		runs := int(ran.Load())
		if kind != route.Idempotent && runs > 1 || runs > 2 {
			rt.Fatalf("%d runs", runs)
		}
		if aborted {
			return // the caller learns nothing
		}
		switch w.Code {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if runs > 0 && kind != route.Idempotent {
				rt.Fatalf("%d runs, status %d", runs, w.Code)
			}
		}
		if from == "" {
			return
		}
		if reported, err := strconv.Atoi(w.Header().Get("Forward-Runs")); err != nil || reported < runs || ctx.Err() == nil && reported != runs {
			rt.Fatalf("%d runs, header %v", runs, w.Header())
		}
	})
}

// serveRecorded serves a request of a caller or, if from is not empty, of another host. It
// reports whether the answer was cut off.
func (r *rig) serveRecorded(ctx context.Context, w http.ResponseWriter, from string) (aborted bool) {
	defer func() {
		if p := recover(); p != nil {
			if aborted = p == http.ErrAbortHandler; !aborted {
				panic(p)
			}
		}
	}()
	req := &relay.Request{
		ID: "attempt-1", Method: http.MethodPost, Target: "/p/x", Path: "/p/x", Host: "h.example", Key: r.key,
		Header: http.Header{"X-Id": {"attempt-1"}}, Body: bytes.Repeat([]byte("q"), 8<<10), LastEvent: -1,
	}
	if from == "" {
		r.relay.Serve(ctx, w, req)
		return false
	}
	r.relay.ServeForwarded(ctx, w, from, relay.Forwarded{Request: req, TimeLeft: time.Minute, LastEvent: -1})
	return false
}
