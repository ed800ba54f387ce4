package forward_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/upstream"
)

var key = []byte("0123456789abcdef")

// serve starts a host that answers forwarded requests and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnContext: forward.ConnContext, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(forward.Listener(ln, key)) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

func client(t *testing.T, key []byte) *forward.Client {
	t.Helper()
	c := forward.NewClient(forward.ClientOptions{Key: key, Self: "sender", Clock: clockwork.NewRealClock()})
	t.Cleanup(c.Close)
	return c
}

// TestRequestArrivesUnchanged guards against a message or body that is mixed up, also if
// the body is larger than a frame, and against an answer that is held back to its end.
func TestRequestArrivesUnchanged(t *testing.T) {
	body := strings.Repeat("0123456789", 20_000)
	goOn := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		req, err := forward.Read(w, r, limiter.NewByteBudget(1<<20), 1<<20)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(w, "%s %s %t\n", req.From, req.Message, string(req.Body) == body)
		w.(http.Flusher).Flush()
		<-goOn
		fmt.Fprint(w, "end")
	})
	c := client(t, key)
	resp, err := c.Do(context.Background(), address, map[string]int{"a": 1}, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	want := `sender {"a":1} true` + "\n"
	first := make([]byte, len(want))
	if _, err := io.ReadFull(resp, first); err != nil || string(first) != want {
		t.Errorf("first part %q, %v; want %q", first, err, want)
	}
	close(goOn)
	if rest, err := io.ReadAll(resp); err != nil || string(rest) != "end" {
		t.Errorf("rest %q, %v", rest, err)
	}
}

// TestStrangersAreRefused guards against a process without the cluster key that has a host
// run requests.
func TestStrangersAreRefused(t *testing.T) {
	address := serve(t, func(http.ResponseWriter, *http.Request) { t.Error("the request of a stranger arrived") })
	_, err := client(t, []byte("another key of 32 bytes in total")).Do(context.Background(), address, 1, nil)
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.MaybeSent {
		t.Errorf("error %v, want one that says that nothing was sent", err)
	}
	resp, err := http.Post("http://"+address+"/forward", "", nil)
	if err == nil {
		resp.Body.Close()
		t.Errorf("a plain HTTP request was answered with status %d", resp.StatusCode)
	}
}

// TestFrozenHostIsNoticed guards against a request that waits until its deadline for a host
// that accepts connections and does nothing.
func TestFrozenHostIsNoticed(t *testing.T) {
	frozen := make(chan struct{})
	address := serve(t, func(http.ResponseWriter, *http.Request) { <-frozen })
	defer close(frozen)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := client(t, key).Do(ctx, address, 1, nil)
	var failed *upstream.Error
	if !errors.As(err, &failed) || !failed.MaybeSent || ctx.Err() != nil {
		t.Errorf("error %v, want one that says that the request may have been sent", err)
	}
}

// TestHostsShareForwardedRequests guards against a host that gets most of the requests of
// one that is cut off, and against one that is asked again right after it has refused.
func TestHostsShareForwardedRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := forward.NewHosts(clock, rand.New(rand.NewPCG(1, 2)))
	candidates := []string{"a", "b", "c", "d"}
	got := make(map[string]int)
	const requests = 400
	for range requests {
		host, ok := h.Choose("s", candidates, nil)
		if !ok {
			t.Fatal("no host")
		}
		got[host]++
		h.Started(host)
	}
	for host, n := range got {
		if n > requests/len(candidates)*5/4 {
			t.Errorf("host %s gets %d of %d requests", host, n, requests)
		}
	}
	h.Refused("a", "s")
	for range requests {
		if host, _ := h.Choose("s", candidates, []string{"b"}); host == "a" || host == "b" {
			t.Fatalf("host %s is chosen, which is excluded or has refused", host)
		}
	}
	if host, ok := h.Choose("other", []string{"a"}, nil); !ok || host != "a" {
		t.Error("a refusal of one service counts for another")
	}
	clock.Advance(2 * time.Second)
	if host, ok := h.Choose("s", []string{"a"}, nil); !ok || host != "a" {
		t.Error("a host is never asked again")
	}
	h.ObserveLost("a", []string{"s"})
	if _, ok := h.Choose("s", []string{"a"}, nil); ok {
		t.Error("a host is asked that does not reach the service either")
	}
	if _, ok := h.Choose("other", []string{"a"}, nil); !ok {
		t.Error("a host is not asked for a service that it reaches")
	}
	clock.Advance(time.Minute)
	if _, ok := h.Choose("s", []string{"a"}, nil); !ok {
		t.Error("an old report counts")
	}
}
