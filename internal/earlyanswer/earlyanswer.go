// Package earlyanswer is a stand-in, for tests, for endpoints that answer at some point of an
// upload and then end their connection in one of several ways.
package earlyanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// UploadBytes is the size of an upload that does not fit into the buffers of a connection, so
// that it is still being written while the endpoint does not read.
const UploadBytes = 8 << 20

// When is the part of an upload that the endpoint reads before it answers.
type When struct {
	Name  string
	bytes int64
}

// Moments are the points of an upload at which an endpoint may answer.
var Moments = []When{{"before the upload", 0}, {"during the upload", UploadBytes / 8}, {"after the upload", UploadBytes}}

// receiveBytes fixes the size of the receive buffer, which otherwise grows.
const receiveBytes = 64 << 10

// End is the way in which an endpoint ends its connection after the answer.
type End int

// The ways to end a connection.
const (
	// Reset discards the connection without a FIN.
	Reset End = iota
	// FinishThenReset sends a FIN and then discards the connection.
	FinishThenReset
	// ReadOn sends a FIN and reads the rest of the upload.
	ReadOn
)

// Bodies are the kinds of bodies, each cut off after the first part.
var Bodies = map[string]string{
	"no length": "\r\npart",
	"chunks":    "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	"length":    "Content-Length: 100\r\n\r\npart",
	"events":    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\n",
}

// Endpoint answers each request on a connection of its own.
type Endpoint struct {
	When When
	End  End
	// Answer returns the bytes of the answer to a request with a header.
	Answer func(http.Header) string
	// Received, if it is not nil, delivers a value for each answer that the client has begun to
	// receive. The connection ends after it.
	Received <-chan struct{}
}

// Serve runs the endpoint until the test ends.
func (e Endpoint) Serve(t testing.TB) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	ended := make(chan struct{})
	t.Cleanup(func() {
		close(ended)
		_ = ln.Close()
		running.Wait()
	})
	running.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			served := make(chan struct{})
			running.Go(func() {
				defer close(served)
				e.serve(conn.(*net.TCPConn), ended)
			})
			running.Go(func() {
				select {
				case <-served:
				case <-ended:
				}
				_ = conn.Close()
			})
		}
	})
	return ln.Addr().String()
}

// serve ignores errors: they show in what the client gets.
func (e Endpoint) serve(conn *net.TCPConn, ended <-chan struct{}) {
	_ = conn.SetReadBuffer(receiveBytes)
	// A small buffer leaves the upload on the connection.
	req, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, req.Body, e.When.bytes)
	_, _ = io.WriteString(conn, e.Answer(req.Header))
	if e.End != Reset {
		_ = conn.CloseWrite()
	}
	if e.Received != nil {
		select {
		case <-e.Received:
		case <-ended:
		}
	}
	if e.End == ReadOn {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	_ = conn.SetLinger(0)
}
