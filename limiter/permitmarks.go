package limiter

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// limitMark is the wire format of a limit.
type limitMark struct {
	Rate  float64 `json:"r"`
	AgeMS int64   `json:"a"`
}

// Marks returns the limits to send to another host, so that hosts which got no answer
// of an endpoint yet keep its limit too.
func (p *Permits) Marks() (json.RawMessage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	marks := make(map[string]limitMark)
	for endpoint, limit := range p.limits {
		age := p.clock.Since(limit.at)
		if age >= limitTTL {
			delete(p.limits, endpoint)
			continue
		}
		if len(marks) < maxLimitMarks {
			marks[endpoint] = limitMark{Rate: limit.rate, AgeMS: age.Milliseconds()}
		}
	}
	if len(marks) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(marks)
	return data, errors.Wrap(err, "limiter: encode limits")
}

// MergeMarks merges the limits that another host knows.
func (p *Permits) MergeMarks(data json.RawMessage) error {
	var marks map[string]limitMark
	if err := json.Unmarshal(data, &marks); err != nil {
		return errors.Mark(errors.Wrap(err, "limiter: limits"), ErrInvalidLimits)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint, m := range marks {
		if m.AgeMS >= 0 && m.AgeMS < limitTTL.Milliseconds() {
			p.learn(endpoint, m.Rate, m.AgeMS)
		}
	}
	return nil
}
