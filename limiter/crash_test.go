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

type crashReport struct {
	hash     limiter.Hash
	endpoint string
	at       time.Time
}

// oracleHost is the reference model of one host. It keeps every report it has
// received and recomputes each decision from them.
type oracleHost struct {
	reports   []crashReport
	cleared   map[limiter.Hash]time.Time
	succeeded map[limiter.Hash]time.Time
}

func (o *oracleHost) rejected(hash limiter.Hash, now time.Time) bool {
	var matching []crashReport
	for _, c := range o.reports {
		if c.hash == hash && c.at.After(o.cleared[hash]) {
			matching = append(matching, c)
		}
	}
	slices.SortStableFunc(matching, func(a, b crashReport) int { return a.at.Compare(b.at) })
	var crashes []crashReport
	for _, c := range matching {
		// Reports about one endpoint within 5 s count as the same crash.
		i := slices.IndexFunc(crashes, func(e crashReport) bool {
			return e.endpoint == c.endpoint && c.at.Sub(e.at) <= 5*time.Second
		})
		if i >= 0 {
			crashes = slices.Delete(crashes, i, i+1)
		}
		crashes = append(crashes, c)
	}
	if len(crashes) < 2 {
		return false
	}
	last, previous := crashes[len(crashes)-1].at, crashes[len(crashes)-2].at
	return now.Sub(last) < limiter.CrashMarkTTL && last.Sub(previous) < limiter.CrashMarkTTL
}

// expire drops the reports on hashes whose last report has expired: marks are
// kept for CrashMarkTTL, and expired marks are not gossiped.
func (o *oracleHost) expire(now time.Time) {
	latest := maps.Clone(o.cleared)
	for _, c := range o.reports {
		if c.at.After(latest[c.hash]) {
			latest[c.hash] = c.at
		}
	}
	expired := func(hash limiter.Hash) bool { return now.Sub(latest[hash]) >= limiter.CrashMarkTTL }
	o.reports = slices.DeleteFunc(o.reports, func(c crashReport) bool { return expired(c.hash) })
	maps.DeleteFunc(o.cleared, func(hash limiter.Hash, _ time.Time) bool { return expired(hash) })
}

// TestCrashGuardMatchesReferenceModel guards against a rejection without two
// crashes and against a rejection that is missed, lost in gossip or not lifted
// after a success, for any order of crashes, successes and messages.
func TestCrashGuardMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(epoch)
		const hosts = 3
		guards := make([]*limiter.CrashGuard, hosts)
		oracles := make([]*oracleHost, hosts)
		for i := range guards {
			guards[i] = limiter.NewCrashGuard(clock, time.Second)
			oracles[i] = &oracleHost{cleared: map[limiter.Hash]time.Time{}, succeeded: map[limiter.Hash]time.Time{}}
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
					if at, ok := oracles[h].succeeded[hash]; ok && clock.Now().Sub(at) < limiter.CrashMarkTTL {
						continue
					}
					oracles[h].reports = append(oracles[h].reports, crashReport{hash, endpoint, clock.Now()})
				}
			},
			"success": func(t *rapid.T) {
				h, hash := drawHost.Draw(t, "host"), drawHash.Draw(t, "hash")
				guards[h].RecordSuccess(hash)
				oracles[h].succeeded[hash] = clock.Now()
				if slices.ContainsFunc(oracles[h].reports, func(c crashReport) bool { return c.hash == hash }) {
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
				oracles[to].reports = append(oracles[to].reports, oracles[from].reports...)
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
					oracles[i].expire(clock.Now())
					for hash := limiter.Hash(1); hash <= 5; hash++ {
						got := guard.Admit(hash).Admission == limiter.AdmitReject
						if want := oracles[i].rejected(hash, clock.Now()); got != want {
							t.Fatalf("host %d, hash %d: rejected %v, want %v", i, hash, got, want)
						}
					}
				}
			},
		})
	})
}

// TestProbationGrantsOneSuspectPerEndpoint guards against two suspects on one
// endpoint, two concurrent runs of one hash, and a grant after the second
// crash.
func TestProbationGrantsOneSuspectPerEndpoint(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	guard := limiter.NewCrashGuard(clock, time.Second)
	p := limiter.NewProbation(clock, guard)
	guard.RecordCrash("a", []limiter.Hash{1, 2})
	if p.TryStart(1, "b") {
		t.Fatal("got a grant before the marks have propagated, want none")
	}
	clock.Advance(time.Second)
	if !p.TryStart(1, "b") || p.TryStart(2, "b") || p.TryStart(1, "c") || !p.TryStart(2, "c") {
		t.Fatal("want at most one suspect per endpoint and one run per hash")
	}
	p.Finish(1, "b", true)
	if p.TryStart(1, "d") {
		t.Fatal("got a grant for a third run after two crashes, want none")
	}
	clock.Advance(3 * time.Minute)
	if !p.TryStart(2, "d") {
		t.Fatal("want a grant after the earlier grant of a dead host has expired")
	}
}

// TestCrashMarksAreBounded guards against unbounded memory or message size when
// many requests run on crashing endpoints, and against accepting a malformed
// message.
func TestCrashMarksAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	guard := limiter.NewCrashGuard(clock, time.Second)
	for i := range 1000 {
		base := limiter.Hash(10 * i)
		guard.RecordCrash("a", []limiter.Hash{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7})
		clock.Advance(time.Millisecond)
	}
	if guard.Len() > 4096 {
		t.Fatalf("%d marks kept, want at most 4096", guard.Len())
	}
	data, err := guard.Marks()
	if err != nil || len(data) > 12_000 {
		t.Fatalf("message of %d bytes, error %v, want at most 12000 bytes and no error", len(data), err)
	}
	if guard.MergeMarks([]byte("{")) == nil {
		t.Fatal("got no error for a malformed message")
	}
}
