package route

import "time"

// Targets are the latencies that the callers of a service bear.
type Targets struct {
	// Latency is the longest target latency of the routes to the service; zero if none has
	// one.
	Latency time.Duration
	// Gap is the shortest target gap of these routes; zero if none has one.
	Gap time.Duration
}

// Targets returns the targets of the routes to a service.
func (t *Table) Targets(service string) Targets { return t.targets[service] }

// targetsOf returns the targets of each service.
func targetsOf(routes []Route) map[string]Targets {
	out := make(map[string]Targets)
	for _, r := range routes {
		for _, share := range r.Shares {
			if share.Weight <= 0 && len(r.Shares) > 1 {
				continue // receives no requests
			}
			t := out[share.Service]
			t.Latency = max(t.Latency, r.TargetLatency)
			if r.TargetGap > 0 && (t.Gap == 0 || r.TargetGap < t.Gap) {
				t.Gap = r.TargetGap
			}
			out[share.Service] = t
		}
	}
	return out
}
