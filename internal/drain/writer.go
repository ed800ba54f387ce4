package drain

import "net/http"

// closeAfterAnswer makes the answers of a handler close their connections while the server
// drains, also those to requests that arrived before.
func (t *Tracker) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&responseWriter{ResponseWriter: w, tracker: t}, r)
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
