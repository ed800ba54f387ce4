package rollout

import "math"

const (
	// blockSize and blockCount delay the answers that form the reference by
	// 4,000, the number in which a small fall must be found, so that a fall is
	// not learned as normal before it is found.
	blockSize  = 500
	blockCount = 8
	// blockRounding absorbs rounding when a batch is spread over blocks.
	blockRounding = 1e-6
	// learnedMinimum is the number of answers from which the learned rate
	// replaces the declared one.
	learnedMinimum = 500
	// learnedMaximum bounds the memory of the reference in answers.
	learnedMaximum = 50000
	// learnedDeviations is the number of standard errors by which the
	// reference is lowered, so that its own error causes no alarm.
	learnedDeviations = 2
	// declaredMargin lowers a declared rate, which is an average over kinds.
	declaredMargin = 0.1
	// defaultRate stands in for a rate that was not declared.
	defaultRate = 0.9
)

// tally counts rated answers.
type tally struct{ pass, fail float64 }

func (t tally) n() float64 { return t.pass + t.fail }

// reference learns the normal pass rate of a class.
type reference struct {
	learned tally
	blocks  [blockCount]tally
	// current is the block being filled.
	current int
}

// observe takes in a batch and reports whether the learned rate has changed. A
// batch larger than a block, such as the first summary of a host, is spread
// evenly over blocks.
func (r *reference) observe(pass, fail uint64) bool {
	changed := false
	batch := tally{float64(pass), float64(fail)}
	for left := batch.n(); left > 0; {
		block := &r.blocks[r.current]
		take := min(left, blockSize-block.n())
		block.pass += batch.pass * take / batch.n()
		block.fail += batch.fail * take / batch.n()
		left -= take
		if block.n() >= blockSize-blockRounding {
			changed = r.rotate() || changed
		}
	}
	return changed
}

// rotate starts the next block and learns the answers it held before.
func (r *reference) rotate() bool {
	r.current = (r.current + 1) % blockCount
	oldest := r.blocks[r.current]
	r.blocks[r.current] = tally{}
	r.learned.pass += oldest.pass
	r.learned.fail += oldest.fail
	if n := r.learned.n(); n > learnedMaximum {
		r.learned.pass *= learnedMaximum / n
		r.learned.fail *= learnedMaximum / n
	}
	return oldest.n() > 0
}

// forget drops the answers not yet learned, which came from a bad version.
func (r *reference) forget() {
	r.blocks = [blockCount]tally{}
}

// rate returns the cautious learned rate, and false while too little is known.
func (r *reference) rate() (float64, bool) {
	n := r.learned.n()
	if n < learnedMinimum {
		return 0, false
	}
	p := r.learned.pass / n
	return p - learnedDeviations*math.Sqrt(p*(1-p)/n), true
}
