package balance

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialPrefillTime is the prefill time per token assumed before the first
	// sample.
	initialPrefillTime = 30 * time.Microsecond
	// minPrefillTokens is the number of uncached tokens from which the time to the
	// first event is a sample of the prefill time.
	minPrefillTokens = 1000
	// idleBacklog is the backlog below which an engine is taken to begin the
	// prefill of a request at once.
	idleBacklog = 50 * time.Millisecond
	// prefillGainDown and prefillGainUp are the weights of a faster and of a slower
	// sample in the estimate. Slower samples have a low weight because the request
	// may have waited behind requests of other hosts.
	prefillGainDown, prefillGainUp = 0.3, 0.03
	// busyGainUp is the weight of a slower sample in the time for which the engine is busy.
	// At an engine that decodes, the time to the first event is several times that long.
	busyGainUp = 0.002
	// eventGapGain is the weight of one answer in the mean time between events.
	eventGapGain = 0.1
)

// modelTiming estimates an engine's prefill time per token for one model, and the
// time between two events of its answers.
type modelTiming struct {
	perToken time.Duration
	// busyPerToken is the time per token for which a prefill stops the streams at the
	// engine, from the fastest samples.
	busyPerToken time.Duration
	// samples is the number of answers that perToken is based on.
	samples int
	// eventGap is the moving average of the time between two events, zero before
	// the first answer.
	eventGap time.Duration
}

func (m *modelTiming) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * m.perToken
}

// busyTime returns the time for which a prefill stops the streams at an engine.
func (m *modelTiming) busyTime(tokens int) time.Duration {
	return time.Duration(tokens) * m.busyPerToken
}

// observePrefill updates the estimate with the time to the first event of a request
// with the given number of uncached tokens.
func (m *modelTiming) observePrefill(took time.Duration, tokens int) {
	if tokens < minPrefillTokens {
		return
	}
	sample := float64(took) / float64(tokens)
	busyGain := busyGainUp
	if busy := float64(m.busyPerToken); sample < busy {
		busyGain = prefillGainDown
	}
	m.busyPerToken += time.Duration(busyGain * (sample - float64(m.busyPerToken)))
	diff := sample - float64(m.perToken)
	gain := prefillGainUp
	if diff < 0 {
		gain = prefillGainDown
	}
	m.samples++
	gain = max(gain, 1/float64(m.samples))
	m.perToken += time.Duration(gain * diff)
}

// promptCache models the prompt cache of an engine: the parts of the prompts that
// this host sent there, with least-recently-used eviction. capacity and tokens are
// in tokens.
type promptCache struct {
	capacity int
	tokens   int
	order    *list.List // of *cachedPart, the most recently used first
	parts    map[uint64]*list.Element
}

type cachedPart struct {
	key    uint64
	tokens int
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, order: list.New(), parts: make(map[uint64]*list.Element)}
}

// partKeys returns a key for each part. A key covers the model, the part and all
// parts before it.
func partKeys(model string, parts []PromptPart) []uint64 {
	keys := make([]uint64, 0, len(parts))
	h := xxhash.New()
	// Writing to a hash never returns an error.
	_, _ = h.WriteString(model)
	for _, p := range parts {
		_, _ = h.WriteString("\x00" + p.ID)
		keys = append(keys, h.Sum64())
	}
	return keys
}

// cachedTokens returns the number of tokens in the leading parts that are cached.
func (c *promptCache) cachedTokens(keys []uint64, parts []PromptPart) int {
	total := 0
	for i, key := range keys {
		if _, ok := c.parts[key]; !ok {
			break
		}
		total += parts[i].Tokens
	}
	return total
}

// add marks the parts as just used and evicts others beyond the capacity. It leaves
// out the last of several parts, which no other request shares.
func (c *promptCache) add(keys []uint64, parts []PromptPart) {
	for i, key := range keys {
		if i > 0 && i == len(keys)-1 {
			break
		}
		if el, ok := c.parts[key]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.parts[key] = c.order.PushFront(&cachedPart{key: key, tokens: parts[i].Tokens})
		c.tokens += parts[i].Tokens
	}
	for c.capacity > 0 && c.tokens > c.capacity && c.order.Len() > 0 {
		c.evict()
	}
}

func (c *promptCache) evict() {
	el := c.order.Back()
	p := el.Value.(*cachedPart)
	c.order.Remove(el)
	delete(c.parts, p.key)
	c.tokens -= p.tokens
}
