package balance

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/corianderlever/corianderlever/internal/measure/vtime"
)

const (
	engineCount     = 12
	domains         = 3
	cacheBlocks     = 800
	blockTime       = 10 * time.Millisecond
	farDelay        = time.Millisecond // extra round-trip time to another failure domain
	prefixGroups    = 60
	sharedBlocks    = 24
	uniqueBlocksMax = 16
)

// shape describes the engines of a fleet, which are all alike.
type shape struct {
	slots  int
	decode time.Duration // mean
}

// usualEngine follows the design size: 18,000 requests/s on 5,200 engines are
// 3.5 requests/s each, and 200 tokens at about 50 ms occupy a slot for 10 s.
// smallEngine has few slots and short answers, so its queue changes more within
// the delay of a load report.
var (
	usualEngine = shape{slots: 44, decode: 10 * time.Second}
	smallEngine = shape{slots: 8, decode: time.Second}
)

// job is one request.
type job struct {
	blocks  []uint64
	decode  time.Duration
	arrived time.Time
	far     bool
	done    func()
}

// engine runs up to slots jobs at once in order of arrival. Prefill takes
// blockTime for each block that is missing from its least-recently-used cache.
type engine struct {
	sim      *vtime.Sim
	slots    int
	running  int
	waiting  []*job
	cache    *simplelru.LRU[uint64, struct{}]
	added    []uint64 // since the last cache event
	removed  []uint64
	observe  func(j *job, firstToken time.Duration, hits int)
	sequence uint64
}

func newEngine(sim *vtime.Sim, slots int, observe func(*job, time.Duration, int)) *engine {
	e := &engine{sim: sim, slots: slots, observe: observe}
	cache, err := simplelru.NewLRU(cacheBlocks, func(block uint64, _ struct{}) {
		e.removed = append(e.removed, block)
	})
	if err != nil {
		panic(err)
	}
	e.cache = cache
	return e
}

// cached returns the number of leading blocks that are in the cache.
func (e *engine) cached(blocks []uint64) int {
	for i, block := range blocks {
		if !e.cache.Contains(block) {
			return i
		}
	}
	return len(blocks)
}

func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	e.fill()
}

// fill starts waiting jobs in the free slots.
func (e *engine) fill() {
	for e.running < e.slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		e.serve(j)
	}
}

func (e *engine) serve(j *job) {
	hits := e.cached(j.blocks)
	// Blocks are added from the end of the prompt, so that the shared blocks at
	// its beginning are the most recently used and are evicted last.
	for i := len(j.blocks) - 1; i >= 0; i-- {
		if !e.cache.Contains(j.blocks[i]) {
			e.added = append(e.added, j.blocks[i])
		}
		e.cache.Add(j.blocks[i], struct{}{})
	}
	prefill := time.Duration(len(j.blocks)-hits) * blockTime
	firstToken := e.sim.Now().Add(prefill).Sub(j.arrived)
	if j.far {
		firstToken += farDelay
	}
	e.observe(j, firstToken, hits)
	e.sim.After(prefill+j.decode, func() {
		e.running--
		j.done()
		e.fill()
	})
}

// workload draws jobs. The blocks of a job are a shared prefix, chosen by a Zipf
// distribution, followed by blocks that are unique to the job.
type workload struct {
	decode time.Duration
	random *rand.Rand
	zipf   *rand.Zipf
	next   uint64
}

func newWorkload(seed uint64, decode time.Duration) *workload {
	random := rand.New(rand.NewPCG(seed, 5))
	return &workload{decode: decode, random: random, zipf: rand.NewZipf(random, 1.1, 4, prefixGroups-1)}
}

func (w *workload) draw(now time.Time) *job {
	group := w.zipf.Uint64()
	blocks := make([]uint64, 0, sharedBlocks+uniqueBlocksMax)
	for i := range uint64(sharedBlocks) {
		blocks = append(blocks, blockHash(group<<8|i))
	}
	w.next++
	for i := range 1 + w.random.Uint64N(uniqueBlocksMax) {
		blocks = append(blocks, blockHash(1<<40|w.next<<8|i))
	}
	decode := time.Duration((0.2 + 0.8*w.random.ExpFloat64()) * float64(w.decode))
	return &job{blocks: blocks, decode: decode, arrived: now}
}

// blockHash returns the hash of the block with number x.
func blockHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
