package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/resource"
)

func testMix(seeds ...string) Mix {
	return Mix{
		Seeds: seeds, Rate: 1000, Duration: resource.Duration(time.Second), MaxRequests: 20, Seed: 1,
		Streams: []Stream{{Team: "a", Key: "k", Rank: "normal", Weight: 1, Service: "s", Operation: "o"}},
	}
}

// TestPlan guards against arrivals that are out of order, after the end of the
// run, more than the maximum, or different for the same seed.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testMix("127.0.0.1:1")
		m.Rate = rapid.Float64Range(1, 5000).Draw(t, "rate")
		m.MaxRequests = rapid.IntRange(0, 100).Draw(t, "max")
		m.Streams = append(m.Streams, Stream{Team: "b", Key: "k", Weight: rapid.Float64Range(0.1, 9).Draw(t, "weight"), Model: "x"})
		seed := rapid.Uint64().Draw(t, "seed")
		plan := func() []arrival { return m.plan(rand.New(rand.NewPCG(seed, seed))) }
		got := plan()
		if !slices.Equal(got, plan()) {
			t.Fatal("two plans from the same seed differ")
		}
		if m.MaxRequests > 0 && len(got) > m.MaxRequests {
			t.Fatalf("%d arrivals, want at most %d", len(got), m.MaxRequests)
		}
		for i, a := range got {
			if a.at > m.Duration.AsDuration() || a.stream >= len(m.Streams) || (i > 0 && a.at < got[i-1].at) {
				t.Fatalf("arrival %d is out of order or out of range: %+v", i, a)
			}
		}
	})
}

// TestOpenLoop guards against a closed loop: requests must be sent while
// earlier ones are unanswered, or the latencies would not show a stall.
func TestOpenLoop(t *testing.T) {
	var arrived atomic.Int64
	release := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(api.EntriesResponse{Entries: []api.EntryAddress{{Address: r.Host, Weight: 1}}, TTLMS: 60000})
	})
	mux.HandleFunc("POST /v1/services/s/o", func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == 20 {
			close(release) // all answers wait until the last request has arrived
		}
		<-release
		w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderIdempotencyKey))
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	m := testMix(strings.TrimPrefix(server.URL, "http://"))
	m.Rate = 100000 // all planned at once
	g, err := NewGenerator(m, 1)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	summary := NewSummary()
	if err := g.Run(ctx, func(r Record) {
		if err := summary.Add(r); err != nil {
			t.Error(err)
		}
	}); err != nil {
		t.Fatal(err)
	}
	if got := summary.Outcomes()[OutcomeAnswered]; got != 20 {
		t.Errorf("%d requests answered, want 20: outcomes %v", got, summary.Outcomes())
	}
}

// TestInvalidMixIsRejected guards against an invalid mix that is accepted and
// then sends nothing or fails later.
func TestInvalidMixIsRejected(t *testing.T) {
	for name, change := range map[string]func(*Mix){
		"no seeds":      func(m *Mix) { m.Seeds = nil },
		"no rate":       func(m *Mix) { m.Rate = 0 },
		"two targets":   func(m *Mix) { m.Streams[0].Model = "x" },
		"no weight":     func(m *Mix) { m.Streams[0].Weight = 0 },
		"no duration":   func(m *Mix) { m.Duration = 0 },
		"no bearer key": func(m *Mix) { m.Streams[0].Key = "" },
	} {
		m := testMix("127.0.0.1:1")
		change(&m)
		if _, err := NewGenerator(m, 1); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got error %v, want ErrInvalid", name, err)
		}
	}
}
