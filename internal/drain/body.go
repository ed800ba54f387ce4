package drain

import (
	"context"
	"net/http"
	"time"
)

// InterruptRead makes reads of the body of a request fail once its context is cancelled by
// Cut, until the returned function is called. Otherwise a handler that reads a slow body does
// not notice the end of a stop. A handler that sets a read deadline must do so before.
func InterruptRead(w http.ResponseWriter, r *http.Request) (done func()) {
	stop := context.AfterFunc(r.Context(), func() {
		if Stopping(r.Context()) {
			// If it fails, the connection is closed, and the read fails as well.
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		}
	})
	return func() { stop() }
}
