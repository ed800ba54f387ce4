package control

import "time"

const (
	// arrivalWindow is the time over which arrivals are counted.
	arrivalWindow = 5 * time.Second
	// recentWindow is the time over which the latest rate of all hosts is taken.
	recentWindow = 1500 * time.Millisecond
)

// arrivals estimates the request rate from the current window and the one
// before it.
type arrivals struct {
	windowStart  time.Time
	count        int
	previousRate float64 // requests per second in the window before
}

func (a *arrivals) add(now time.Time) {
	a.advance(now)
	a.count++
}

// rate returns the estimated requests per second.
func (a *arrivals) rate(now time.Time) float64 {
	a.advance(now)
	return max(a.previousRate, float64(a.count)/arrivalWindow.Seconds())
}

// advance starts a new window if the current one has ended.
func (a *arrivals) advance(now time.Time) {
	since := now.Sub(a.windowStart)
	if since < arrivalWindow {
		return
	}
	a.previousRate = 0
	if since < 2*arrivalWindow {
		a.previousRate = float64(a.count) / arrivalWindow.Seconds()
	}
	a.windowStart, a.count = now, 0
}

// requestHistory holds the latest counts of a service's requests over all hosts.
type requestHistory struct {
	samples []requestSample
}

type requestSample struct {
	at       time.Time
	requests float64
}

// add records the number of requests since the order.
func (h *requestHistory) add(now time.Time, requests float64) {
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= recentWindow {
		h.samples = h.samples[1:]
	}
	h.samples = append(h.samples, requestSample{at: now, requests: requests})
}

// rate returns the requests per second in the recent window; zero if it is not known yet.
func (h *requestHistory) rate() float64 {
	if len(h.samples) == 0 {
		return 0
	}
	first, last := h.samples[0], h.samples[len(h.samples)-1]
	if elapsed := last.at.Sub(first.at); elapsed >= recentWindow {
		return max(0, last.requests-first.requests) / elapsed.Seconds()
	}
	return 0
}
