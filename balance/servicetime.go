package balance

import (
	"math"
	"time"
)

const (
	// serviceTimeWindow is the time after which a sample of an endpoint's service time
	// counts 1/e. It also lets a slow endpoint that gets no requests return to the mean.
	serviceTimeWindow = 30 * time.Second
	// serviceTimePrior is the number of samples as which the mean over all endpoints counts
	// in the service time of one. Single answers differ much in length.
	serviceTimePrior = 20
	// serviceTimeMargin is the factor by which an endpoint must be slower than the mean for
	// its slowness to count. Below it, the choice would follow noise, at all hosts alike.
	serviceTimeMargin = 1.25
)

// serviceTime is the mean time in seconds that requests occupy a slot of one endpoint.
type serviceTime struct {
	at      time.Time
	samples float64 // decaying
	mean    float64
}

func (s *serviceTime) weight(now time.Time) float64 {
	if s.samples == 0 {
		return 0
	}
	return s.samples * math.Exp(-now.Sub(s.at).Seconds()/serviceTimeWindow.Seconds())
}

func (s *serviceTime) add(now time.Time, seconds float64) {
	s.samples = s.weight(now) + 1
	s.at = now
	s.mean += (seconds - s.mean) / s.samples
}

// estimate returns the service time with the mean over all endpoints as prior.
func (s *serviceTime) estimate(now time.Time, overall float64) float64 {
	n := s.weight(now)
	return (n*s.mean + serviceTimePrior*overall) / (n + serviceTimePrior)
}

// excess returns the time in seconds by which the endpoint is slower than the mean.
func (s *serviceTime) excess(now time.Time, overall float64) float64 {
	return max(0, s.estimate(now, overall)-serviceTimeMargin*overall)
}

// ForgetServiceTime drops the service time of an endpoint, after a restart of it.
func (p *Picker) ForgetServiceTime(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.byID[endpoint]; ok {
		p.endpoints[i].serviceTime = serviceTime{}
	}
}
