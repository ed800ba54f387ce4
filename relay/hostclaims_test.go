package relay_test

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/route"
)

// TestOnlyAHostsStatedZeroRunsAreTaken guards against a request that must run at most once and is
// sent to a second host, or answered with a status that promises that it has not run, although the
// first host has not said that no endpoint has run it: its answer has no count, one that is
// malformed or not zero, or ends before its header is complete.
func TestOnlyAHostsStatedZeroRunsAreTaken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		outcome := rapid.SampledFrom([]string{"", "answered", "stopping", "buffers_full", "malformed_forward", "service_unreachable", "endpoints_full", "rollout_exposure", "crashes", "other"}).Draw(rt, "outcome")
		runs := rapid.SampledFrom([]string{"", "0", "1", "2", "-1", "x"}).Draw(rt, "runs")
		delivered := rapid.SampledFrom([]string{"", "0", "1", "-1"}).Draw(rt, "delivered")
		status := rapid.SampledFrom([]int{200, 400, 401, 404, 408, 421, 429, 500, 502, 503, 504}).Draw(rt, "status")
		end := rapid.SampledFrom([]string{"whole", "before the receipt", "before the header", "before the body", "body not read"}).Draw(rt, "end")
		kind := rapid.SampledFrom([]route.Kind{route.NonIdempotent, route.Stream}).Draw(rt, "kind")
		large, signed := rapid.Bool().Draw(rt, "large"), rapid.Bool().Draw(rt, "signed")
		rr := route.Route{Name: "r", Prefix: "/p/", Kind: kind, MaxAttempts: 2, Timeout: 10 * time.Second}
		origin, links := newCutRig(t, rr)
		origin.endpoint("e", reject)
		standIn := func(w http.ResponseWriter, hr *http.Request) {
			if end == "before the receipt" {
				panic(http.ErrAbortHandler)
			}
			if end != "body not read" {
				req, err := forward.Read(w, hr, limiter.NewByteBudget(4<<20), 4<<20)
				defer req.Release()
				if err != nil {
					t.Error(err)
				}
			}
			if end == "before the header" {
				panic(http.ErrAbortHandler)
			}
			for name, value := range map[string]string{"Forward-Outcome": outcome, "Forward-Runs": runs, "Forward-Delivered": delivered} {
				if value != "" {
					w.Header().Set(name, value)
				}
			}
			if signed {
				w.Header().Set("X-Signature", "signed")
			}
			if end == "before the body" {
				w.Header().Set("Content-Length", "100")
			}
			w.WriteHeader(status)
			_, _ = w.Write([]byte("id: 1\ndata: unsigned\n\n"))
		}
		var second atomic.Int64
		links.hosts = []string{listenForwarded(origin.t, standIn), listenForwarded(origin.t, func(w http.ResponseWriter, _ *http.Request) {
			second.Add(1)
			w.Header().Set("Forward-Outcome", "answered")
			w.Header().Set("Forward-Runs", "1")
			w.Header().Set("Forward-Delivered", "1")
			events(w, 1, 1, false)
		})}
		body := "question"
		if large {
			body = strings.Repeat("q", 1<<20)
		}
		resp, err := origin.send("attempt-1", body)
		if err != nil {
			rt.Fatal(err)
		}
		stated := runs == "0" && outcome != "" && outcome != "answered" && (delivered == "0" || delivered == "1") && end != "before the receipt" && end != "before the header"
		if second.Load() > 0 && !stated {
			rt.Fatal("the request was sent to a second host")
		}
		if promise := []int{408, 421, 429, 503}; slices.Contains(promise, resp.StatusCode) && !stated {
			rt.Fatalf("status %d", resp.StatusCode)
		}
	})
}
