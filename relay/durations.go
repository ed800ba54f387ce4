package relay

import (
	"cmp"
	"math"
	"math/bits"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/route"
)

// Prospect is what is known of the duration of a request before it is served.
type Prospect struct {
	// Timeout is the time after which the request is answered in any case.
	Timeout time.Duration
	// Expected is the time within which most requests like it have ended lately; zero if
	// nothing is known.
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
	return Prospect{Timeout: timeout(match, req), Expected: r.durations.expected(keyOf(match.Name, req))}
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

// durationKey selects requests that last about equally long.
type durationKey struct {
	route string
	// outputBits is the number of bits of the expected number of output tokens; zero for all
	// requests of the route.
	outputBits int
}

// keyOf returns the key of a request.
func keyOf(name string, req *Request) durationKey {
	return durationKey{route: name, outputBits: bits.Len(uint(max(0, cmp.Or(req.OutputHint, req.MaxOutputTokens))))}
}

// routeDurations keeps the durations of the last requests by route and length of the answer.
type routeDurations struct {
	mu    sync.Mutex
	byKey map[durationKey]*durations
}

// maxDurationKeys bounds the histograms that are kept.
const maxDurationKeys = 1024

// observe adds the duration of a request.
func (d *routeDurations) observe(key durationKey, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.add(durationKey{route: key.route}, took)
	if key.outputBits > 0 {
		d.add(key, took)
	}
}

// add adds to one histogram. The caller holds mu.
func (d *routeDurations) add(key durationKey, took time.Duration) {
	if len(d.byKey) >= maxDurationKeys || d.byKey == nil {
		d.byKey = make(map[durationKey]*durations)
	}
	h := d.byKey[key]
	if h == nil {
		h = &durations{}
		d.byKey[key] = h
	}
	h.add(took)
}

// expected returns the time within which most requests with a key have ended lately, or most
// of its route if there were too few; zero if there were too few of these as well.
func (d *routeDurations) expected(key durationKey) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range []durationKey{key, {route: key.route}} {
		if h := d.byKey[k]; h != nil && h.total >= minDurations {
			return h.quantile(expectedQuantile)
		}
	}
	return 0
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
