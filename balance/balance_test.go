package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/balance"
)

var epoch = time.Unix(1_700_000_000, 0)

func fleet(n int, versions ...string) []balance.Endpoint {
	list := make([]balance.Endpoint, n)
	for i := range list {
		list[i] = balance.Endpoint{ID: "e" + strconv.Itoa(i), FailureDomain: "d" + strconv.Itoa(i%3), Versions: versions, Concurrency: 8}
	}
	return list
}

func prefix(seed uint64, blocks int) []uint64 {
	list := make([]uint64, blocks)
	for i := range list {
		list[i] = seed<<32 | uint64(i)
	}
	return list
}

func newPicker(clock clockwork.Clock) *balance.Picker {
	return balance.NewPicker(clock, rand.New(rand.NewPCG(1, 2)), balance.DefaultConfig("d0"))
}

// TestPickOnlyCandidates guards against choosing an endpoint that is excluded, removed,
// of weight 0 or without the version, and against an error while a candidate is left.
func TestPickOnlyCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(epoch)
		picker := newPicker(clock)
		all := fleet(8)
		listed := map[string]balance.Endpoint{}
		weight := map[string]float64{}
		drawID := rapid.Custom(func(t *rapid.T) string { return "e" + strconv.Itoa(rapid.IntRange(0, 8).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				clear(listed)
				var list []balance.Endpoint
				for _, e := range all {
					e.Versions = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"v1", "v2"}), rapid.ID).Draw(t, "versions")
					if len(e.Versions) == 0 {
						continue
					}
					listed[e.ID] = e
					list = append(list, e)
				}
				picker.SetEndpoints(list)
				for id := range weight {
					if _, ok := listed[id]; !ok {
						delete(weight, id)
					}
				}
			},
			"load": func(t *rapid.T) {
				id := drawID.Draw(t, "id")
				picker.ObserveReport(balance.LoadReport{Endpoint: id, At: clock.Now(), Running: rapid.IntRange(0, 50).Draw(t, "running")})
				picker.Started(id, prefix(uint64(rapid.IntRange(0, 3).Draw(t, "prefix")), 5))
				picker.Finished(id, time.Second)
				clock.Advance(time.Second)
			},
			"event": func(t *rapid.T) {
				blocks := prefix(uint64(rapid.IntRange(0, 3).Draw(t, "prefix")), 5)
				picker.ObserveCacheEvent(balance.CacheEvent{Endpoint: drawID.Draw(t, "id"), Sequence: rapid.Uint64Range(0, 9).Draw(t, "seq"), Added: blocks, Removed: blocks[:2]})
			},
			"weight": func(t *rapid.T) {
				id := drawID.Draw(t, "id")
				if _, ok := listed[id]; ok {
					weight[id] = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "weight")
					picker.SetWeight(id, weight[id])
				}
			},
			"": func(t *rapid.T) {
				r := balance.Request{
					Version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"),
					Prefix:  prefix(uint64(rapid.IntRange(0, 3).Draw(t, "prefix")), 8),
					Exclude: rapid.SliceOf(drawID).Draw(t, "exclude"),
				}
				possible, reducedWeight := 0, 0
				for id, e := range listed {
					if slices.Contains(e.Versions, r.Version) && !slices.Contains(r.Exclude, id) {
						possible++
						if w, ok := weight[id]; ok && w < 1 {
							reducedWeight++
						}
					}
				}
				choice, err := picker.Pick(r)
				if (err != nil) != (possible == 0) || err != nil && !errors.Is(err, balance.ErrNoEndpoint) {
					t.Fatalf("%d endpoints may be chosen, got error %v", possible, err)
				}
				if err != nil {
					return
				}
				e, ok := listed[choice.Endpoint]
				if !ok || !slices.Contains(e.Versions, r.Version) || slices.Contains(r.Exclude, choice.Endpoint) {
					t.Fatalf("chose %+v, which is not a candidate for %+v", choice, r)
				}
				if w, ok := weight[choice.Endpoint]; ok && w == 0 && reducedWeight < possible {
					t.Fatalf("chose %s, which has weight 0, while others may be chosen", choice.Endpoint)
				}
			},
		})
	})
}

// TestPickWeighsLoadCacheAndLocality guards against choices that ignore a queue, a
// cached prefix, the host's failure domain, a gap in the cache events, or requests that
// this host has sent since the endpoint made its report.
func TestPickWeighsLoadCacheAndLocality(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	picker := newPicker(clock)
	picker.SetEndpoints(fleet(3, "v"))
	pick := func(blocks []uint64) balance.Choice {
		choice, err := picker.Pick(balance.Request{Version: "v", Prefix: blocks})
		if err != nil {
			t.Fatal(err)
		}
		return choice
	}
	if got := pick(nil).Endpoint; got != "e0" {
		t.Fatalf("chose %s, want e0, the idle endpoint in the host's failure domain", got)
	}
	blocks := prefix(1, 10)
	picker.ObserveCacheEvent(balance.CacheEvent{Endpoint: "e2", Sequence: 1, Added: blocks})
	if got := pick(append(blocks, 99)); got.Endpoint != "e2" || got.CachedBlocks != 10 || got.Reason != balance.ReasonPrefix {
		t.Fatalf("chose %+v, want e2 with 10 cached blocks", got)
	}
	picker.ObserveReport(balance.LoadReport{Endpoint: "e2", At: clock.Now(), Running: 8, Waiting: 4})
	if got := pick(blocks).Endpoint; got == "e2" {
		t.Fatal("chose the holder of the prefix despite its long queue")
	}
	clock.Advance(time.Second)
	picker.ObserveReport(balance.LoadReport{Endpoint: "e2", At: clock.Now()})
	picker.ObserveCacheEvent(balance.CacheEvent{Endpoint: "e2", Sequence: 3})
	if got := pick(blocks); got.CachedBlocks != 10 {
		t.Fatalf("chose %+v just after one gap, want 10 cached blocks", got)
	}
	clock.Advance(30 * time.Second)
	if got := pick(blocks); got.CachedBlocks != 0 {
		t.Fatalf("chose %+v 30 s after a gap, want no cached blocks", got)
	}
	picker.ObserveCacheEvent(balance.CacheEvent{Endpoint: "e2", Sequence: 4, Added: blocks})
	picker.ObserveCacheEvent(balance.CacheEvent{Endpoint: "e2", Sequence: 6})
	picker.ObserveCacheEvent(balance.CacheEvent{Endpoint: "e2", Sequence: 8})
	if got := pick(blocks); got.CachedBlocks != 0 {
		t.Fatalf("chose %+v after two gaps, want no cached blocks", got)
	}
	at := clock.Now()
	clock.Advance(time.Second)
	for range 12 {
		picker.Started("e0", nil)
	}
	picker.ObserveReport(balance.LoadReport{Endpoint: "e0", At: at.Add(time.Millisecond), Running: 8})
	picker.ObserveReport(balance.LoadReport{Endpoint: "e1", At: clock.Now(), Running: 15})
	picker.ObserveReport(balance.LoadReport{Endpoint: "e2", At: clock.Now(), Running: 15})
	if got := pick(nil).Endpoint; got == "e0" {
		t.Fatal("chose e0: a delayed report hides the requests started after it was made")
	}
}

// TestPrefixIndexIsBounded guards against an index that grows without bound, or that
// never drops unused blocks.
func TestPrefixIndexIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	picker := newPicker(clock)
	picker.SetEndpoints(fleet(2, "v"))
	for i := range uint64(5000) {
		picker.Started("e0", prefix(i, 32))
		picker.Finished("e0", 0)
	}
	if got := picker.IndexedBlocks(); got > 2*(32768+32) {
		t.Fatalf("%d blocks in the index, want at most 65600", got)
	}
	clock.Advance(6 * time.Minute)
	picker.Started("e0", nil)
	clock.Advance(6 * time.Minute)
	picker.Started("e0", nil)
	if got := picker.IndexedBlocks(); got != 0 {
		t.Fatalf("%d blocks in the index after 12 minutes without use, want 0", got)
	}
}

// TestSubsetCoversAllAndIsBounded guards against endpoints that no host uses, and
// against hosts with far more endpoints than an even share.
func TestSubsetCoversAllAndIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]string, rapid.IntRange(1, 40).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = fmt.Sprintf("10.0.0.%d", i)
		}
		endpoints := make([]string, rapid.IntRange(1, 300).Draw(t, "endpoints"))
		for i := range endpoints {
			endpoints[i] = "e" + strconv.Itoa(i)
		}
		size := rapid.IntRange(1, 64).Draw(t, "size")
		used := map[string]bool{}
		for _, h := range hosts {
			assigned := balance.Subset(h, hosts, endpoints, size)
			even := max(float64(size), float64(len(endpoints))/float64(len(hosts))) + float64(len(endpoints))/float64(len(hosts))
			if float64(len(assigned)) > 1.25*even+1 {
				t.Fatalf("%d endpoints assigned to one host, too many for size %d", len(assigned), size)
			}
			for _, e := range assigned {
				used[e] = true
			}
		}
		if len(used) != len(endpoints) {
			t.Fatalf("%d of %d endpoints used, want all", len(used), len(endpoints))
		}
	})
}

func BenchmarkPick(b *testing.B) {
	picker := newPicker(clockwork.NewRealClock())
	var list []balance.Endpoint
	for v := range 10 {
		for _, e := range fleet(64, "v"+strconv.Itoa(v)) {
			e.ID += "-" + strconv.Itoa(v)
			list = append(list, e)
		}
	}
	picker.SetEndpoints(list)
	requests := make([]balance.Request, 100)
	for i := range requests {
		v := strconv.Itoa(i % 10)
		requests[i] = balance.Request{Version: "v" + v, Prefix: prefix(uint64(i), 32)}
		for j := range 8 {
			picker.Started("e"+strconv.Itoa((i+j)%64)+"-"+v, requests[i].Prefix)
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, err := picker.Pick(requests[i%len(requests)]); err != nil {
			b.Fatal(err)
		}
		i++
	}
}

func BenchmarkSubset(b *testing.B) {
	hosts := make([]string, 870)
	for i := range hosts {
		hosts[i] = "10.0." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250)
	}
	endpoints := make([]string, 5200)
	for i := range endpoints {
		endpoints[i] = "e" + strconv.Itoa(i)
	}
	b.ReportAllocs()
	for b.Loop() {
		balance.Subset(hosts[0], hosts, endpoints, 64)
	}
}
