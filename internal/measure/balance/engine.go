package balance

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/corianderlever/corianderlever/internal/measure/vtime"
)

const (
	engineCount  = 12
	domains      = 3
	cacheBlocks  = 800
	blockTime    = 10 * time.Millisecond
	farDelay     = time.Millisecond // more to another failure domain, both ways
	prefixGroups = 60
	sharedBlocks = 24
	ownBlocksMax = 16
)

// shape is the kind of engine in the fleet.
type shape struct {
	slots  int
	decode time.Duration // mean
}

// The shapes measured. A usual engine follows the size to design for: 18,000
// requests/s on 5,200 engines are 3.5 a second each, and 200 tokens at about
// 50 ms hold a place for 10 s. A small engine has few places and short answers,
// so its queue changes more within the lag of a report.
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

// engine runs up to slots jobs at once, first come first served. Prefill
// takes time for each block that its least-recently-used cache lacks.
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

// cached returns the number of leading blocks in the cache.
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
	// Evicting from the end of a prefix first keeps what others share.
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

// workload draws jobs: a shared prefix by popularity and blocks of their own.
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
	blocks := make([]uint64, 0, sharedBlocks+ownBlocksMax)
	for i := range uint64(sharedBlocks) {
		blocks = append(blocks, scramble(group<<8|i))
	}
	w.next++
	for i := range 1 + w.random.Uint64N(ownBlocksMax) {
		blocks = append(blocks, scramble(1<<40|w.next<<8|i))
	}
	decode := time.Duration((0.2 + 0.8*w.random.ExpFloat64()) * float64(w.decode))
	return &job{blocks: blocks, decode: decode, arrived: now}
}

// scramble turns a number into the hash of a block.
func scramble(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
