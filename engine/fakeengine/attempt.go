package fakeengine

import (
	"context"
	"net/http"

	"github.com/corianderlever/corianderlever/engine"
)

// attemptState is the state of an attempt that a probe can read. While the
// attempt is queued, the steps of the whole engine count as its progress.
type attemptState struct {
	running      bool
	stepsAtStart uint64
	sent         uint64
	// cancelled is closed to end the attempt, and ended once it has ended.
	cancelled, ended chan struct{}
}

// beginAttempt registers an attempt. It returns nil if the attempt has been cancelled.
func (e *Endpoint) beginAttempt(attempt string) *attemptState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelled.Contains(attempt) {
		return nil
	}
	st := &attemptState{cancelled: make(chan struct{}), ended: make(chan struct{})}
	e.attempts[attempt] = st
	return st
}

// endAttempt notes that an attempt has ended.
func (e *Endpoint) endAttempt(attempt string, st *attemptState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[attempt] == st {
		delete(e.attempts, attempt)
	}
	close(st.ended)
}

// abort closes the connection of an attempt once the caller has left or the attempt is cancelled.
func (st *attemptState) abort(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-st.cancelled:
	}
	panic(http.ErrAbortHandler)
}

// attempt answers a probe.
func (e *Endpoint) attempt(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st, ok := e.attempts[r.PathValue("id")]
	if !ok {
		writeJSON(w, engine.AttemptStatus{})
		return
	}
	progress := e.steps
	if st.running {
		progress = st.stepsAtStart + st.sent
	}
	writeJSON(w, engine.AttemptStatus{Running: true, Progress: progress, Sent: st.sent})
}

// cancel ends an attempt and answers when it has ended.
func (e *Endpoint) cancel(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("id")
	if st := e.cancelAttempt(attempt); st != nil {
		select {
		case <-st.ended:
		case <-r.Context().Done():
			return
		}
	}
	writeJSON(w, engine.CancelReply{Attempt: attempt, Ended: true})
}

// cancelAttempt cancels an attempt, also one that has not begun. It returns its state, or nil if
// it does not run.
func (e *Endpoint) cancelAttempt(attempt string) *attemptState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled.Add(attempt, struct{}{})
	st := e.attempts[attempt]
	if st != nil && !isClosed(st.cancelled) {
		close(st.cancelled)
	}
	return st
}
