package relay

import (
	"math"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/route"
)

// Prospect is what is known of the duration of a request before it is served.
type Prospect struct {
	// Timeout is the time after which the request is answered in any case.
	Timeout time.Duration
	// Expected is the time within which most requests of the route have ended lately; zero
	// if nothing is known.
	Expected time.Duration
}

// Prospect returns what is known of the duration of a request.
func (r *Relay) Prospect(req *Request) Prospect {
	table, ok := r.Config.Table()
	if !ok {
		return Prospect{Timeout: timeout(nil, req)}
	}
	match, ok := table.Match(req.Host, req.Path)
	if !ok {
		return Prospect{Timeout: timeout(nil, req)}
	}
	return Prospect{Timeout: timeout(match, req), Expected: r.durations.expected(match.Name)}
}

// timeout returns the time after which a request is answered in any case. The route may be
// unknown.
func timeout(rt *route.Route, req *Request) time.Duration {
	out := defaultTimeout
	if rt != nil && rt.Timeout > 0 {
		out = rt.Timeout
	}
	if req.Timeout > 0 {
		out = min(out, req.Timeout)
	}
	return out
}

// routeDurations keeps the durations of the last requests by route.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*durations
}

// maxRoutes bounds the routes whose durations are kept.
const maxRoutes = 1024

// observe adds the duration of a request.
func (d *routeDurations) observe(name string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.byRoute) >= maxRoutes || d.byRoute == nil {
		d.byRoute = make(map[string]*durations)
	}
	h := d.byRoute[name]
	if h == nil {
		h = &durations{}
		d.byRoute[name] = h
	}
	h.add(took)
}

// expected returns the time within which most requests of a route have ended lately; zero
// if there were too few.
func (d *routeDurations) expected(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.byRoute[name]
	if h == nil || h.total < minDurations {
		return 0
	}
	return h.quantile(expectedQuantile)
}

const (
	// expectedQuantile is the part of the requests that end within the expected duration.
	expectedQuantile = 0.95
	// minDurations is the number of requests from which a duration is expected.
	minDurations = 5
	// maxDurations is the number of requests after which the earlier ones count half.
	maxDurations = 200
	// shortestDuration is the bound of the first bucket of durations. Each further bound is
	// bucketRatio times the one before.
	shortestDuration = time.Millisecond
	bucketRatio      = 1.2
	durationBuckets  = 80
)

// durations is a histogram of durations in which newer ones weigh more.
type durations struct {
	weights [durationBuckets]float64
	total   float64
}

func (h *durations) add(d time.Duration) {
	if h.total >= maxDurations {
		for i := range h.weights {
			h.weights[i] /= 2
		}
		h.total /= 2
	}
	h.weights[bucketOf(d)]++
	h.total++
}

// quantile returns a bound that at least the part q of the durations does not exceed.
func (h *durations) quantile(q float64) time.Duration {
	sum := 0.0
	for i, w := range h.weights {
		sum += w
		if sum >= q*h.total {
			return bucketBound(i)
		}
	}
	return bucketBound(durationBuckets - 1)
}

// bucketOf returns the first bucket whose bound is at least d.
func bucketOf(d time.Duration) int {
	if d <= shortestDuration {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(shortestDuration)) / math.Log(bucketRatio)))
	if i > 0 && bucketBound(i) < d {
		i++ // rounded down
	}
	return min(i, durationBuckets-1)
}

func bucketBound(i int) time.Duration {
	return time.Duration(float64(shortestDuration) * math.Pow(bucketRatio, float64(i)))
}
