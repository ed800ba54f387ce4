package control

import "time"

// arrivalWindow is the time over which arrivals are counted.
const arrivalWindow = 5 * time.Second

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
