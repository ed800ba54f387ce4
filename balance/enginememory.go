package balance

// maxMemoryUse is the part of an engine's memory up to which it is chosen before others. An
// engine whose memory is full stops requests and reads their prompts again later.
const maxMemoryUse = 0.9

// memoryFull reports whether the requests of all hosts use more of the engine's memory than
// maxMemoryUse. Shared parts of prompts do not count, since requests share their memory; the
// use is therefore a lower bound.
func (en *engine) memoryFull() bool {
	if en.spec.EventTokens == 0 || en.spec.CacheTokens == 0 {
		return false
	}
	return float64(max(en.pace.allTokens, en.pace.tokens)) > maxMemoryUse*float64(en.spec.CacheTokens)
}

// pass says which engines one pass over the candidates considers beside those without fault:
// avoided ones and those of weight 0, those with full memory, and those that are no
// alternatives for the prompt.
type pass struct{ avoided, full, others bool }

var (
	allPasses = []pass{{}, {others: true}, {full: true}, {avoided: true, full: true, others: true}}
	// passesWithoutFull are the passes if no engine's memory is full.
	passesWithoutFull = allPasses[2:]
)

// passes returns the passes of a choice. anyFull is set if the memory of an engine is full.
func passes(anyFull bool) []pass {
	if anyFull {
		return allPasses
	}
	return passesWithoutFull
}
