package relay_test

import (
	"fmt"
	"net/http"
	"testing"
)

// rawAnswer writes bytes on the endpoint's connection and closes it.
func rawAnswer(w http.ResponseWriter, bytes string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	// An error shows in what the caller gets.
	_, _ = conn.Write([]byte(bytes))
}

// TestErrorOfTheNextEndpointStaysOutOfTheStream guards against a caller that finds the error
// of the next endpoint in its stream, or a stream that ends as if it were complete, after the
// first endpoint has broken it off.
func TestErrorOfTheNextEndpointStaysOutOfTheStream(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusFound, http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError} {
		r := newRig(t, streamRoute(true))
		for i := range 4 {
			r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, hr *http.Request) {
				if hr.Header.Get("X-Last-Event") == "" {
					events(w, 1, 3, true)
				}
				w.Header().Set("X-Signature", "s")
				w.Header().Set("X-Id", hr.Header.Get("X-Id"))
				w.WriteHeader(status)
				if status != http.StatusNoContent {
					fmt.Fprint(w, "the stream is unknown")
				}
			})
		}
		_, body, err := r.call("POST", "/p/x")
		if err == nil || body != eventSeries(1, 3) {
			t.Errorf("next endpoint answers %d: body %q, error %v; want events 1 to 3 and then an error", status, body, err)
		}
	}
}

// TestStreamWithoutEventsIsNotComplete guards against a caller that gets 200 with an empty
// body, because an endpoint closed its connection after the head of its answer.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: attempt-1\r\nContent-Type: text/event-stream\r\n"
	for name, bytes := range map[string]string{"head complete": head + "\r\n", "head cut": head, "head cut in a line": head + "Content-Le"} {
		r := newRig(t, streamRoute(true))
		for i := range 4 {
			r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, _ *http.Request) { rawAnswer(w, bytes) })
		}
		resp, body, err := r.call("POST", "/p/x")
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: response %+v, body %q, error %v; want status 502", name, resp, body, err)
		}
	}
}
