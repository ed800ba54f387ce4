package balance

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialReadTime is the time to read a token before any was observed.
	initialReadTime = 30 * time.Microsecond
	// minReadTokens is the size from which the time to the first event says
	// something about the time to read a token.
	minReadTokens = 1000
	// aloneBacklog is the backlog up to which a request is taken to be read at once.
	aloneBacklog = 50 * time.Millisecond
	// The estimate follows faster answers quickly and slower ones slowly: a slow
	// answer may have waited behind requests of other hosts.
	readGainDown, readGainUp = 0.3, 0.03
	// gapGain is the weight of one answer in the usual time between events.
	gapGain = 0.1
)

// readRate estimates the time in which an engine reads a token for one model,
// and the time between two events of its answers.
type readRate struct {
	perToken time.Duration
	// samples is the number of answers that perToken rests on.
	samples int
	// eventGap is the usual time between two events, zero before the first answer.
	eventGap time.Duration
}

func (r *readRate) time(tokens int) time.Duration { return time.Duration(tokens) * r.perToken }

func (r *readRate) observe(took time.Duration, tokens int) {
	if tokens < minReadTokens {
		return
	}
	diff := float64(took)/float64(tokens) - float64(r.perToken)
	gain := readGainUp
	if diff < 0 {
		gain = readGainDown
	}
	r.samples++
	gain = max(gain, 1/float64(r.samples))
	r.perToken += time.Duration(gain * diff)
}

// promptCache is what a host believes an engine to have cached: the parts of
// the prompts that it sent there, least recently used first out.
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

// partKeys returns a key for each part that covers the model and all parts before it.
func partKeys(model string, parts []PromptPart) []uint64 {
	keys := make([]uint64, 0, len(parts))
	h := xxhash.New()
	// A hash never returns an error.
	_, _ = h.WriteString(model)
	for _, p := range parts {
		_, _ = h.WriteString("\x00" + p.ID)
		keys = append(keys, h.Sum64())
	}
	return keys
}

// cachedTokens returns the tokens of the leading parts that are cached.
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

// add marks the parts as used now. The last part is left out: it belongs to the
// request alone.
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
