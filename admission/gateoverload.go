package admission

import (
	"math"
	"time"
)

const (
	// overloadDelay is the time for which the load must be above overloadStart before the
	// service counts as overloaded. Shorter bursts drain by themselves.
	overloadDelay = 500 * time.Millisecond
	overloadStart = 1.0
	// overloadEnd is the load below which the overload is over. It is below overloadStart so
	// that the gate does not switch with each sample.
	overloadEnd = 0.9
	// overloadMemory is the longest time between two samples of one overload. The loads that
	// hosts exchange count for as long.
	overloadMemory = 3 * time.Second
	// fractionSlope sets how fast the admitted fraction falls with the load. At 5, a demand
	// of 1.5 times the capacity settles at a load of 0.98, and one of 6 times at 1.26. The
	// loop stays stable if the load is known up to 2 s late.
	fractionSlope = 5
	// minAdmittedFraction is admitted at any load, because the load is measured at requests
	// that run.
	minAdmittedFraction = 0.05
	// defaultCompletion is assumed for requests whose completion is not known.
	defaultCompletion = time.Second
)

// overloadDetector decides from samples of the load whether the service is overloaded.
type overloadDetector struct {
	active bool
	// load is the last sample, and at its time.
	load float64
	at   time.Time
	// since is the time of the first of the uninterrupted samples above overloadStart; zero
	// if the last one was not.
	since time.Time
}

func (o *overloadDetector) observe(now time.Time, load float64) {
	if now.Sub(o.at) > overloadMemory {
		o.active, o.since = false, time.Time{}
	}
	o.load, o.at = load, now
	switch {
	case load < overloadEnd:
		o.active, o.since = false, time.Time{}
	case load <= overloadStart:
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = now
	case now.Sub(o.since) >= overloadDelay:
		o.active = true
	}
}

// recovery returns the time in which the load falls to overloadEnd if no request is admitted.
func (o *overloadDetector) recovery(completion time.Duration) time.Duration {
	if completion <= 0 {
		completion = defaultCompletion
	}
	if o.load <= overloadEnd {
		return 0
	}
	return time.Duration(float64(completion) * (o.load - overloadEnd) / o.load)
}

// admittedFraction returns the fraction of the requests that is admitted at a load.
func admittedFraction(load float64) float64 {
	return min(1, max(minAdmittedFraction, math.Exp(-fractionSlope*(load-overloadEnd))))
}
