// Package earlyanswer is a stand-in, for tests, for endpoints that answer at some point of an
// upload and then end their connection in one of several ways.
package earlyanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// end is the way in which an endpoint ends its connection after the answer.
type end string

const (
	reset           end = "reset"
	finishThenReset end = "FIN, then reset"
	readOn          end = "FIN, then reads on"
)

// bodies are the kinds of bodies. Those with chunks or a length are cut.
var bodies = map[string]string{
	"no length": "\r\nid: 1\ndata: e1\n\n",
	"events":    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\n",
	"chunks":    "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n",
	"length":    "Content-Length: 100\r\n\r\nid: 1\ndata: e1\n\n",
}

const (
	// receiveBytes fixes the size of the receive buffer, which otherwise grows.
	receiveBytes = 64 << 10
	// smallUpload fits into the buffers of the sender, largeUpload does not.
	smallUpload, largeUpload = 2 << 20, 6 << 20
)

// Check sends uploads to endpoints that answer 200 with header lines before an upload, during it
// and after it. upload returns an error unless it got a complete answer; it sends on received
// when the answer has begun, after which the endpoint ends its connection. orderly is set if an
// orderly end makes an answer without a length complete. An endpoint that ends its connection
// in the middle of the upload may have crashed.
func Check(t *testing.T, lines string, orderly bool, upload func(addr, body string, received chan<- struct{}) error) {
	t.Helper()
	body := strings.Repeat("u", largeUpload)
	tries := map[end]int{reset: 2, finishThenReset: 1, readOn: 1} // who receives the reset differs
	for kind, part := range bodies {
		for when, read := range map[string]int64{"before": 0, "during": 1 << 20, "after": largeUpload} {
			for _, how := range []end{reset, finishThenReset, readOn} {
				for _, size := range []int{smallUpload, largeUpload} {
					unframed := kind == "no length" || kind == "events"
					if !unframed && size == smallUpload {
						continue
					}
					want := orderly && unframed && (how == readOn || how == finishThenReset && when == "after")
					for range tries[how] {
						received, done := make(chan struct{}, 1), make(chan struct{})
						addr := serve(t, read, how, "HTTP/1.1 200 OK\r\n"+lines+part, received, done)
						if err := upload(addr, body[:size], received); (err == nil) != want {
							t.Errorf("%s, answered %s the upload of %d bytes, %s: error %v, want complete %t", kind, when, size, how, err, want)
						}
						close(done)
					}
				}
			}
		}
	}
}

// serve answers one request after it has read a part of its body. It ignores errors of the connection: they
// show in what the client gets.
func serve(t *testing.T, read int64, how end, answer string, received, done <-chan struct{}) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		accepted, err := ln.Accept()
		_ = ln.Close()
		if err != nil {
			return
		}
		conn := accepted.(*net.TCPConn)
		defer conn.Close()
		_ = conn.SetReadBuffer(receiveBytes)
		// A small buffer leaves the upload on the connection.
		req, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, req.Body, read)
		_, _ = io.WriteString(conn, answer)
		if how != reset {
			_ = conn.CloseWrite()
		}
		select {
		case <-received:
		case <-done:
		}
		if how == readOn {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		_ = conn.SetLinger(0)
	}()
	return ln.Addr().String()
}
