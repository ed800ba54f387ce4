package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestAnswerIsClosedBeforeTheNextAttempt guards against a request that goes on at another
// endpoint while the connection to the one before, which works on, is still open.
func TestAnswerIsClosedBeforeTheNextAttempt(t *testing.T) {
	stream := func(w http.ResponseWriter, text string) {
		w.Header().Set("X-Signature", "signed")
		_, _ = fmt.Fprint(w, text)
	}
	const first = "id: 0\ndata: e0\n\n"
	for name, begin := range map[string]func(http.ResponseWriter){
		"unsigned":         func(w http.ResponseWriter) { _, _ = fmt.Fprint(w, first) },
		"event missing":    func(w http.ResponseWriter) { stream(w, first+"id: 2\ndata: e2\n\n") },
		"event without id": func(w http.ResponseWriter) { stream(w, first+"data: e\n\n") },
		"malformed id":     func(w http.ResponseWriter) { stream(w, first+"id: x\n\n") },
		"event too long":   func(w http.ResponseWriter) { stream(w, first+"data: "+strings.Repeat("x", 2<<20)) },
		"content encoding": func(w http.ResponseWriter) { w.Header().Set("Content-Encoding", "gzip"); stream(w, first) },
		"low confidence":   func(w http.ResponseWriter) { w.Header().Set("X-Confidence", "1"); stream(w, first) },
	} {
		t.Run(name, func(t *testing.T) {
			const limit = 4 * time.Second // less than the timeout of the route
			r := newRig(t, streamRoute(true, "small", "large"))
			ended := make(chan struct{})
			var once sync.Once
			for _, id := range []string{"e1", "e2"} {
				r.endpoint(id, func(w http.ResponseWriter, hr *http.Request) {
					isFirst := false
					once.Do(func() { isFirst = true })
					if isFirst {
						defer close(ended)
						begin(w)
						w.(http.Flusher).Flush()
						<-hr.Context().Done()
						return
					}
					select {
					case <-ended:
					case <-time.After(limit):
						t.Error("the first endpoint still works on the request")
					}
					stream(w, first+"id: 1\ndata: e1\n\n")
				})
			}
			if _, _, err := r.call("POST", "/p/x"); err != nil {
				t.Error(err)
			}
			if n := len(r.arrivals()); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
	}
}
