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
	// fullLoad is the load up to which all requests are admitted also during an overload. It
	// is below overloadStart so that the load settles in between.
	fullLoad = 0.9
	// overloadEnd is the load below which the overload is over. If it was over at fullLoad, a
	// lasting overload would end and begin again every few seconds, and in between the teams
	// that ask most would get most.
	overloadEnd = 0.8
	// loadWindow is the time constant of the mean of the load. Without it, the fraction of a
	// load that is known imprecisely would often reach 1.
	loadWindow = 500 * time.Millisecond
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
	// urgentFraction of all requests is admitted up to urgentLoad if they belong to the most
	// urgent rank. The load is known late, so it is well above 1 after a sudden rise; the
	// other ranks suffice to bring it down.
	urgentFraction = 0.4
	urgentLoad     = 1.5
	// defaultCompletion is assumed for requests whose completion is not known.
	defaultCompletion = time.Second
)

// overloadDetector decides from samples of the load whether the service is overloaded.
type overloadDetector struct {
	active bool
	// began is the time since which it is.
	began time.Time
	// load is the mean of the samples, weighted by loadWindow, up to the time at.
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
	// A first sample and one after a long time count alone.
	o.load += (load - o.load) * (1 - math.Exp(-now.Sub(o.at).Seconds()/loadWindow.Seconds()))
	o.at = now
	if o.load < overloadEnd {
		o.active = false
	}
	switch { // by the sample, because the mean would lengthen a short burst
	case load <= overloadStart:
		o.since = time.Time{}
	case o.since.IsZero():
		o.since = now
	case !o.active && now.Sub(o.since) >= overloadDelay:
		o.active, o.began = true, now
	}
}

// recovery returns the time in which the load falls to fullLoad if no request is admitted.
func (o *overloadDetector) recovery(completion time.Duration) time.Duration {
	if completion <= 0 {
		completion = defaultCompletion
	}
	if o.load <= fullLoad {
		return 0
	}
	return time.Duration(float64(completion) * (o.load - fullLoad) / o.load)
}

// admittedFraction returns the fraction of the requests that is admitted at a load.
func admittedFraction(load float64) float64 {
	return min(1, max(minAdmittedFraction, math.Exp(-fractionSlope*(load-fullLoad))))
}

// admittedUrgent returns the fraction of all requests that is admitted at a load if they belong
// to the most urgent rank.
func admittedUrgent(load float64) float64 {
	return max(admittedFraction(load), urgentFraction*min(1, math.Exp(-fractionSlope*(load-urgentLoad))))
}
