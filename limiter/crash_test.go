package limiter_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

type rawCrash struct {
	hash     limiter.Hash
	endpoint string
	at       time.Time
}

// oracleHost keeps every report it ever learned and counts from scratch.
type oracleHost struct {
	raw     []rawCrash
	cleared map[limiter.Hash]time.Time
	proven  map[limiter.Hash]time.Time
}

func (o *oracleHost) refused(hash limiter.Hash, now time.Time) bool {
	var kept []rawCrash
	for _, c := range o.raw {
		if c.hash == hash && c.at.After(o.cleared[hash]) {
			kept = append(kept, c)
		}
	}
	slices.SortStableFunc(kept, func(a, b rawCrash) int { return a.at.Compare(b.at) })
	var events []rawCrash
	for _, c := range kept {
		// Reports about one endpoint within 5 s mean one crash.
		i := slices.IndexFunc(events, func(e rawCrash) bool {
			return e.endpoint == c.endpoint && c.at.Sub(e.at) <= 5*time.Second
		})
		if i >= 0 {
			events = slices.Delete(events, i, i+1)
		}
		events = append(events, c)
	}
	if len(events) < 2 {
		return false
	}
	last, before := events[len(events)-1].at, events[len(events)-2].at
	return now.Sub(last) < limiter.CrashMarkTTL && last.Sub(before) < limiter.CrashMarkTTL
}

// forget drops what a host knows about hashes whose last report has expired:
// marks are kept for CrashMarkTTL, and an expired one is not gossiped either.
func (o *oracleHost) forget(now time.Time) {
	latest := maps.Clone(o.cleared)
	for _, c := range o.raw {
		if c.at.After(latest[c.hash]) {
			latest[c.hash] = c.at
		}
	}
	expired := func(hash limiter.Hash) bool { return now.Sub(latest[hash]) >= limiter.CrashMarkTTL }
	o.raw = slices.DeleteFunc(o.raw, func(c rawCrash) bool { return expired(c.hash) })
	maps.DeleteFunc(o.cleared, func(hash limiter.Hash, _ time.Time) bool { return expired(hash) })
}

// Guards against a refusal without two crashes, a refusal that is missed, lost
// in gossip or not lifted, for any order of crashes, successes and messages.
func TestCrashGuardAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(epoch)
		const hosts = 3
		guards := make([]*limiter.CrashGuard, hosts)
		oracles := make([]*oracleHost, hosts)
		for i := range guards {
			guards[i] = limiter.NewCrashGuard(clock, time.Second)
			oracles[i] = &oracleHost{cleared: map[limiter.Hash]time.Time{}, proven: map[limiter.Hash]time.Time{}}
		}
		drawHost := rapid.IntRange(0, hosts-1)
		drawHash := rapid.Custom(func(t *rapid.T) limiter.Hash { return limiter.Hash(rapid.IntRange(1, 5).Draw(t, "hash")) })
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				h := drawHost.Draw(t, "host")
				endpoint := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint")
				running := rapid.SliceOfNDistinct(drawHash, 1, 4, rapid.ID).Draw(t, "running")
				guards[h].RecordCrash(endpoint, running)
				for _, hash := range running {
					if at, ok := oracles[h].proven[hash]; ok && clock.Now().Sub(at) < limiter.CrashMarkTTL {
						continue
					}
					oracles[h].raw = append(oracles[h].raw, rawCrash{hash, endpoint, clock.Now()})
				}
			},
			"success": func(t *rapid.T) {
				h, hash := drawHost.Draw(t, "host"), drawHash.Draw(t, "hash")
				guards[h].RecordSuccess(hash)
				oracles[h].proven[hash] = clock.Now()
				if slices.ContainsFunc(oracles[h].raw, func(c rawCrash) bool { return c.hash == hash }) {
					oracles[h].cleared[hash] = clock.Now()
				}
			},
			"gossip": func(t *rapid.T) {
				from, to := drawHost.Draw(t, "from"), drawHost.Draw(t, "to")
				data, err := guards[from].Marks()
				if err != nil {
					t.Fatal(err)
				}
				if err := guards[to].MergeMarks(data); err != nil {
					t.Fatal(err)
				}
				oracles[to].raw = append(oracles[to].raw, oracles[from].raw...)
				for hash, at := range oracles[from].cleared {
					if at.After(oracles[to].cleared[hash]) {
						oracles[to].cleared[hash] = at
					}
				}
			},
			"advance": func(t *rapid.T) {
				steps := []time.Duration{100 * time.Millisecond, 6 * time.Second, time.Minute, 6 * time.Minute}
				clock.Advance(rapid.SampledFrom(steps).Draw(t, "step"))
			},
			"": func(t *rapid.T) {
				for i, guard := range guards {
					oracles[i].forget(clock.Now())
					for hash := limiter.Hash(1); hash <= 5; hash++ {
						got := guard.Admit(hash).Admission == limiter.AdmitReject
						if want := oracles[i].refused(hash, clock.Now()); got != want {
							t.Fatalf("host %d hash %d: refused %v, want %v", i, hash, got, want)
						}
					}
				}
			},
		})
	})
}

// Guards against two suspects on one endpoint, two runs of one hash at a time,
// and a grant after the second crash.
func TestProbationGrantsOneSuspectPerEndpoint(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	guard := limiter.NewCrashGuard(clock, time.Second)
	p := limiter.NewProbation(clock, guard)
	guard.RecordCrash("a", []limiter.Hash{1, 2})
	if p.TryStart(1, "b") {
		t.Fatal("granted before the marks have spread")
	}
	clock.Advance(time.Second)
	if !p.TryStart(1, "b") || p.TryStart(2, "b") || p.TryStart(1, "c") || !p.TryStart(2, "c") {
		t.Fatal("want one suspect per endpoint and one run per hash")
	}
	p.Finish(1, "b", true)
	if p.TryStart(1, "d") {
		t.Fatal("granted a third run after two crashes")
	}
	clock.Advance(3 * time.Minute)
	if !p.TryStart(2, "d") {
		t.Fatal("a grant whose host died never ends")
	}
}

// Guards against unbounded memory when many requests run on crashing endpoints,
// and against marks that no host can read.
func TestCrashMarksAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	guard := limiter.NewCrashGuard(clock, time.Second)
	for i := range 1000 {
		base := limiter.Hash(10 * i)
		guard.RecordCrash("a", []limiter.Hash{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7})
		clock.Advance(time.Millisecond)
	}
	if guard.Len() > 4096 {
		t.Fatalf("%d marks kept", guard.Len())
	}
	data, err := guard.Marks()
	if err != nil || len(data) > 12_000 {
		t.Fatalf("message of %d bytes: %v", len(data), err)
	}
	if guard.MergeMarks([]byte("{")) == nil {
		t.Fatal("want an error for a broken message")
	}
}
