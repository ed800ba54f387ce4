package control

import "time"

// arrivalWindow is the time over which arrivals are counted.
const arrivalWindow = 5 * time.Second

// arrivals estimates the rate of requests from the last whole window.
type arrivals struct {
	began    time.Time
	count    int
	previous float64 // a second, of the window before
}

func (a *arrivals) add(now time.Time) {
	a.advance(now)
	a.count++
}

// rate returns the requests a second.
func (a *arrivals) rate(now time.Time) float64 {
	a.advance(now)
	return max(a.previous, float64(a.count)/arrivalWindow.Seconds())
}

func (a *arrivals) advance(now time.Time) {
	since := now.Sub(a.began)
	if since < arrivalWindow {
		return
	}
	a.previous = 0
	if since < 2*arrivalWindow {
		a.previous = float64(a.count) / arrivalWindow.Seconds()
	}
	a.began, a.count = now, 0
}
