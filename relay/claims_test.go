package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/route"
)

// rawEndpoint adds an endpoint that answers each request with the bytes that answer returns,
// before it reads the body. It closes the connection unless keep returns true.
func (r *rig) rawEndpoint(id string, answer func(request string) (bytes string, keep bool)) {
	r.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = ln.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		br := bufio.NewReader(conn)
		for keep := true; keep; {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			var bytes string
			bytes, keep = answer(req.Header.Get("X-Id"))
			_, _ = io.WriteString(conn, bytes)   // an error shows at the relay
			_, _ = io.Copy(io.Discard, req.Body) // closed with unread bytes, a connection is reset
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	r.fleet.Set(fleet.Endpoint{ID: id, Service: "s", Address: ln.Addr().String(), FailureDomain: "a", Version: "v1", Slots: 4, Revision: int64(r.fleet.Len() + 1)})
}

// answerBytes returns the bytes of an answer with further header lines.
func answerBytes(status int, lines ...string) string {
	head := strings.Join(append(lines, "Content-Length: 4"), "\r\n")
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n\r\nbody", status, head)
}

// TestOnlyAnEndpointsOwnRejectionIsTaken guards against a request that must run at most once and
// is sent to a second endpoint, or answered with a status that promises that it has not run,
// although its endpoint has not said so of this request.
func TestOnlyAnEndpointsOwnRejectionIsTaken(t *testing.T) {
	const own, before, notRun, signed = "X-Id: attempt-1", "X-Id: before", "X-Not-Run: 1", "X-Signature: s"
	rejection, foreign, answered := answerBytes(503, own, notRun), answerBytes(503, before, notRun), answerBytes(200, own, signed)
	interim := "HTTP/1.1 103 Early Hints\r\n" + own + "\r\n" + notRun + "\r\n\r\n"
	const sentOn, whole, lost = "sent on", "answered", "lost"
	for name, c := range map[string]struct {
		bytes  string
		reused bool
		want   string
	}{
		"rejection":                                  {bytes: rejection, want: sentOn},
		"rejection on a reused connection":           {bytes: rejection, reused: true, want: sentOn},
		"signed rejection":                           {bytes: answerBytes(503, own, notRun, signed), want: sentOn},
		"rejection without an id":                    {bytes: answerBytes(503, notRun), want: sentOn},
		"without an id on a reused connection":       {bytes: answerBytes(503, notRun), reused: true, want: lost},
		"misdirected, no id, on a reused connection": {bytes: answerBytes(421), reused: true, want: lost},
		"misdirected":                                {bytes: answerBytes(421, own), want: sentOn},
		"misdirected, of another request":            {bytes: answerBytes(421, before), want: lost},
		"of another request":                         {bytes: foreign, want: lost},
		"of the request before":                      {bytes: foreign, reused: true, want: lost},
		"of the request before, then the answer":     {bytes: foreign + answered, reused: true, want: whole},
		"of another request, then its own":           {bytes: foreign + rejection, want: sentOn},
		"of another request, then one without an id": {bytes: foreign + answerBytes(503, notRun), want: lost},
		"interim rejection":                          {bytes: interim, want: lost},
		"interim rejection, then the answer":         {bytes: interim + answered, want: whole},
		"rejection after an interim one":             {bytes: interim + rejection, want: sentOn},
		"rejection after the answer":                 {bytes: answered + rejection, want: whole},
		"head cut":                                   {bytes: "HTTP/1.1 503 X\r\n" + own + "\r\n" + notRun + "\r\n", want: lost},
		"body cut":                                   {bytes: strings.TrimSuffix(rejection, "dy"), want: sentOn},
		"rejection in a trailer":                     {bytes: "HTTP/1.1 503 X\r\n" + own + "\r\nTrailer: X-Not-Run\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + notRun + "\r\n\r\n", want: lost},
		"unsigned status of a rejection":             {bytes: answerBytes(503, own), want: lost},
		"signed 503 that does not say so":            {bytes: answerBytes(503, own, signed), want: lost},
		"signed 429 that does not say so":            {bytes: answerBytes(429, own, signed), want: lost},
		"signed 408 that does not say so":            {bytes: answerBytes(408, own, signed), want: lost},
		"signed failure that promises nothing":       {bytes: answerBytes(500, own, signed), want: whole},
	} {
		for size, body := range map[string]string{"small": "question", "large": strings.Repeat("q", 1<<20)} {
			t.Run(name+", "+size, func(t *testing.T) {
				r := newRig(t, plainRoute(route.NonIdempotent, 2))
				sentOnTo := make(chan struct{}, 1)
				r.rawEndpoint("first", func(request string) (string, bool) {
					if request == "before" {
						return answerBytes(200, before, signed), true
					}
					r.endpoint("second", func(w http.ResponseWriter, _ *http.Request) {
						sentOnTo <- struct{}{}
						answer(w, http.StatusOK, "second")
					})
					return c.bytes, false
				})
				if c.reused {
					if resp, err := r.send("before", ""); err != nil || resp.StatusCode != http.StatusOK {
						t.Fatalf("got %v, error %v", resp, err)
					}
				}
				resp, err := r.send("attempt-1", body)
				if err != nil {
					t.Fatal(err)
				}
				got := lost
				switch {
				case len(sentOnTo) > 0:
					got = sentOn
				case resp.Header.Get("X-Signature") != "":
					got = whole
				case resp.StatusCode != http.StatusBadGateway:
					got = resp.Status
				}
				if got != c.want || got == sentOn && resp.StatusCode != http.StatusOK {
					t.Errorf("got %q with status %d, want %q", got, resp.StatusCode, c.want)
				}
			})
		}
	}
}

// send is call for a request with an id and a body. It discards the body of the answer.
func (r *rig) send(id, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, r.server.URL+"/p/x", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Id", id)
	req.Header.Set("X-Key", r.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
