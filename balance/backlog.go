package balance

import "time"

// PriorityLevels is the number of levels at which engines queue requests.
const PriorityLevels = 10

// backlog is reading work by the level of its requests.
type backlog [PriorityLevels]time.Duration

// ahead returns the work that a request of a level waits for.
func (b *backlog) ahead(level int) time.Duration {
	total := time.Duration(0)
	for _, d := range b[:clampLevel(level)+1] {
		total += d
	}
	return total
}

func (b *backlog) scale(f float64) {
	for i := range b {
		b[i] = time.Duration(f * float64(b[i]))
	}
}

// worked takes off what an engine has done in a time, the most urgent first.
func (b *backlog) worked(d time.Duration) {
	for i := range b {
		done := min(b[i], d)
		b[i] -= done
		d -= done
	}
}

func clampLevel(level int) int { return min(max(level, 0), PriorityLevels-1) }

// milliseconds returns the levels up to the last one with work.
func (b *backlog) milliseconds() []int64 {
	var out []int64
	for level, d := range b {
		if d > 0 {
			out = append(out, make([]int64, level+1-len(out))...)
			out[level] = d.Milliseconds()
		}
	}
	return out
}
