package drain

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn returns a ConnContext that adds the tracker's connection to what next returns.
func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, nc net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, innerConn(nc))
	}
}

// ReadError returns what ended the reading of the connection of a request: io.EOF if the caller
// has closed it, and nil while it can be read. net/http cancels the contexts of requests whose
// connections can't be read, whatever the reason is.
func ReadError(ctx context.Context) error {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil {
		return nil
	}
	if err := c.readErr.Load(); err != nil {
		return *err
	}
	return nil
}

// closedBefore reports whether the connection of a request was closed as an unused one while
// the server decoded the request.
func closedBefore(r *http.Request) bool {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c != nil && c.phase() == phaseClosed
}

// closeAfterAnswer makes the answers of a handler close their connections while the server
// drains, also those to requests that arrived before. Requests without a connection are not
// passed on.
func (t *Tracker) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if closedBefore(r) {
			panic(http.ErrAbortHandler)
		}
		out := &responseWriter{ResponseWriter: w, tracker: t}
		next.ServeHTTP(out, r)
		out.beforeHeader() // the server sends the header of an answer that was not written
	})
}

// responseWriter adds "Connection: close" to the header of an answer when it is sent.
type responseWriter struct {
	http.ResponseWriter
	tracker *Tracker
	// sent is set once the header of the final answer has been sent.
	sent bool
}

// Unwrap makes http.ResponseController find the server's own writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beforeHeader()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.beforeHeader()
	return w.ResponseWriter.Write(b)
}

// FlushError sends the buffered bytes. http.ResponseController calls it.
func (w *responseWriter) FlushError() error {
	w.beforeHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	// If the connection is closed, the next write returns an error.
	_ = w.FlushError()
}

func (w *responseWriter) beforeHeader() {
	if !w.sent && w.tracker.Draining() {
		w.Header().Set("Connection", "close")
	}
	w.sent = true
}
