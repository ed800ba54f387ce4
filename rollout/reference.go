package rollout

import "math"

const (
	// blockSize and blockCount delay the learning of answers by 4,000 answers,
	// within which a small drop must be detected, so that a drop is not learned
	// as normal before it is detected.
	blockSize  = 500
	blockCount = 8
	// blockTolerance absorbs rounding errors when a batch is spread over
	// blocks.
	blockTolerance = 1e-6
	// minLearned is the number of learned answers from which the learned rate
	// replaces the declared one.
	minLearned = 500
	// maxLearned bounds the learned counts. Above it they are scaled down, so
	// that newer answers replace older ones in the rate.
	maxLearned = 50000
	// learnedDeviations is the number of standard errors by which the learned
	// rate is lowered, so that its own error causes no false alarm.
	learnedDeviations = 2
	// declaredMargin lowers a declared rate, which is an average over kinds.
	declaredMargin = 0.1
	// defaultRate is used for versions without a declared rate.
	defaultRate = 0.9
)

// answerCounts counts rated answers. Counts may be fractional.
type answerCounts struct{ pass, fail float64 }

func (c answerCounts) total() float64 { return c.pass + c.fail }

// reference learns the normal pass rate of a class.
type reference struct {
	learned answerCounts
	blocks  [blockCount]answerCounts
	// current is the index of the block being filled.
	current int
}

// observe adds a batch and reports whether the learned rate has changed. A
// batch larger than a block, such as the first summary of a host, is spread
// evenly over blocks.
func (r *reference) observe(pass, fail uint64) bool {
	changed := false
	batch := answerCounts{float64(pass), float64(fail)}
	for remaining := batch.total(); remaining > 0; {
		block := &r.blocks[r.current]
		n := min(remaining, blockSize-block.total())
		block.pass += batch.pass * n / batch.total()
		block.fail += batch.fail * n / batch.total()
		remaining -= n
		if block.total() >= blockSize-blockTolerance {
			changed = r.rotate() || changed
		}
	}
	return changed
}

// rotate learns the answers of the oldest block and empties that block to be
// filled next. It reports whether the block held any answers.
func (r *reference) rotate() bool {
	r.current = (r.current + 1) % blockCount
	oldest := r.blocks[r.current]
	r.blocks[r.current] = answerCounts{}
	r.learned.pass += oldest.pass
	r.learned.fail += oldest.fail
	if n := r.learned.total(); n > maxLearned {
		r.learned.pass *= maxLearned / n
		r.learned.fail *= maxLearned / n
	}
	return oldest.total() > 0
}

// discardPending discards the answers that are not yet learned, because they
// may come from a bad version.
func (r *reference) discardPending() {
	r.blocks = [blockCount]answerCounts{}
}

// rate returns the learned rate, lowered by learnedDeviations standard errors,
// or false if fewer than minLearned answers are learned.
func (r *reference) rate() (float64, bool) {
	n := r.learned.total()
	if n < minLearned {
		return 0, false
	}
	p := r.learned.pass / n
	return p - learnedDeviations*math.Sqrt(p*(1-p)/n), true
}
