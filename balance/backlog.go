package balance

import "time"

// PriorityLevels is the number of priorities by which engines queue requests. 0 is
// the most urgent.
const PriorityLevels = 10

// backlog is the expected prefill time of the queued requests, by priority.
type backlog [PriorityLevels]time.Duration

// ahead returns the prefill time that a request of the given priority waits for: of
// its own priority and of the more urgent ones.
func (b *backlog) ahead(priority int) time.Duration {
	total := time.Duration(0)
	for _, d := range b[:clampPriority(priority)+1] {
		total += d
	}
	return total
}

// scale multiplies all prefill times by f.
func (b *backlog) scale(f float64) {
	for i := range b {
		b[i] = time.Duration(f * float64(b[i]))
	}
}

// complete removes the prefill that an engine has done in d, the most urgent first.
func (b *backlog) complete(d time.Duration) {
	for i := range b {
		done := min(b[i], d)
		b[i] -= done
		d -= done
	}
}

func clampPriority(priority int) int { return min(max(priority, 0), PriorityLevels-1) }

// milliseconds returns the prefill times in milliseconds, without the trailing
// priorities that have none.
func (b *backlog) milliseconds() []int64 {
	var out []int64
	for priority, d := range b {
		if d > 0 {
			out = append(out, make([]int64, priority+1-len(out))...)
			out[priority] = d.Milliseconds()
		}
	}
	return out
}
