package limiter_test

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

// fleetNotice is the time within which the hosts notice a crash in a wave.
const fleetNotice = 250 * time.Millisecond

// waves describes moments in which many endpoints crash, whatever runs on them.
type waves struct {
	// every is the number of steps between two waves; 0 for none.
	every int
	// share is the part of the endpoints that crash.
	share float64
}

// lateNotice is the loss of a run that its host has not noticed yet.
type lateNotice struct {
	run openRun
	at  time.Time
}

// wave crashes a share of the endpoints. The hosts notice at different times.
func (f *partFleet) wave() {
	for endpoint := range f.starts {
		if f.rng.Float64() >= f.waves.share || f.clock.Now().Before(f.downUntil[endpoint]) {
			continue
		}
		for _, o := range f.stop(endpoint) {
			at := f.clock.Now().Add(time.Duration(f.rng.Int64N(int64(fleetNotice))))
			f.notices = append(f.notices, lateNotice{run: o, at: at})
		}
	}
}

// noticeWave tells the hosts of the crashes that they notice now.
func (f *partFleet) noticeWave() {
	pending := f.notices
	f.notices = nil
	for _, n := range pending {
		if n.at.After(f.clock.Now()) {
			f.notices = append(f.notices, n)
			continue
		}
		f.noticeCrash(n.run)
	}
}

// newWaveFleet returns a fleet with waves of crashes and requests with badPart every few
// steps, 0 for none. A topic is on a few of the requests in flight.
func newWaveFleet(seed uint64, hosts, topics int, w waves, badEvery int) *partFleet {
	return newPartFleet(partLoad{
		seed: seed, hosts: hosts, endpoints: 30 + hosts/2, topics: topics, answerTime: 400 * time.Millisecond, badEvery: badEvery,
		reports: true, soundAfter: 2 * fleetContact, perStep: 2 + hosts/7, waves: w,
	})
}

// checkNoneRejected runs a fleet without a bad part. No host may reject a part.
func (f *partFleet) checkNoneRejected(t rapid.TB, steps int) {
	rejections := 0
	for n := range steps {
		if n%f.waves.every == f.waves.every-1 {
			f.wave()
		}
		for range 1 + f.perStep {
			f.sendSound(f.rng.IntN(f.hosts))
		}
		f.step(t)
		for _, guard := range f.guards {
			rejections += len(guard.Rejected())
		}
	}
	if rejections > 0 {
		t.Errorf("parts were rejected %d times, by host and step, though none crashes endpoints; %+v", rejections, f.partLoad)
	}
}

// TestWaveOfCrashesRejectsNoPart guards against sound parts that are rejected because many
// endpoints crashed at the same moment, whatever ran on them.
func TestWaveOfCrashesRejectsNoPart(t *testing.T) {
	for _, c := range []struct {
		seed          uint64
		hosts, topics int
		waves         waves
	}{
		{seed: 1, hosts: 7, topics: 8, waves: waves{every: 120, share: 0.4}},
		{seed: 2, hosts: 7, topics: 30, waves: waves{every: 80, share: 0.7}},
		{seed: 3, hosts: 295, topics: 40, waves: waves{every: 120, share: 0.28}},
		{seed: 4, hosts: 295, topics: 150, waves: waves{every: 80, share: 0.43}},
	} {
		newWaveFleet(c.seed, c.hosts, c.topics, c.waves, 0).checkNoneRejected(t, 250)
	}
}

// TestCrashesIndependentOfPartsRejectNone guards against the same in fleets of any size.
func TestCrashesIndependentOfPartsRejectNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := waves{every: rapid.IntRange(80, 160).Draw(t, "steps between waves"), share: rapid.Float64Range(0.2, 0.9).Draw(t, "share of the endpoints")}
		newWaveFleet(
			rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{7, 20, 40}).Draw(t, "hosts"), rapid.IntRange(6, 100).Draw(t, "topics"), w, 0,
		).checkNoneRejected(t, 250)
	})
}

// TestBadPartIsFoundBesideWaves guards against a part that crashes endpoints and is not
// found because others crash in the same seconds.
func TestBadPartIsFoundBesideWaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := waves{every: rapid.IntRange(60, 160).Draw(t, "steps between waves"), share: rapid.Float64Range(0.2, 0.6).Draw(t, "share of the endpoints")}
		newWaveFleet(
			rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{7, 20, 40}).Draw(t, "hosts"), rapid.IntRange(6, 100).Draw(t, "topics"), w,
			rapid.IntRange(1, 50).Draw(t, "steps between bad requests"),
		).check(t, 500, 0.1)
	})
}

// TestBadPartIsFoundBesideWavesInLargeFleet guards against the same where no host sees
// more than a crash or two.
func TestBadPartIsFoundBesideWavesInLargeFleet(t *testing.T) {
	for seed, badEvery := range []int{4, 40} {
		newWaveFleet(uint64(seed), 295, 40, waves{every: 60, share: 0.4}, badEvery).check(t, 300, 0.1)
	}
}

// TestMarksOfOtherBuildsCount guards against hosts of two builds that do not understand each
// other: one without the number of crashes around each still makes hosts find a bad part,
// and that number is heeded where it is sent.
func TestMarksOfOtherBuildsCount(t *testing.T) {
	crashes := func(around string) string {
		var list []string
		for endpoint := range 5 {
			list = append(list, fmt.Sprintf(`{"e":"%d","a":%d%s}`, 10+endpoint, 700+150*endpoint, around))
		}
		return fmt.Sprintf(`[{"p":"%d","c":[%s]}]`, badPart, strings.Join(list, ","))
	}
	for marks, want := range map[string]bool{crashes(""): true, crashes(`,"m":5`): true, crashes(`,"m":60`): false} {
		guard := limiter.NewPartGuard(clockwork.NewFakeClockAt(epoch), slog.New(slog.DiscardHandler), true)
		if err := guard.MergeMarks([]byte(marks)); err != nil {
			t.Fatal(err)
		}
		if _, rejected := guard.Rejects([]limiter.Hash{badPart}); rejected != want {
			t.Errorf("got rejected %v after %s, want %v", rejected, marks, want)
		}
	}
}

// TestFewCrashesCountWhenReportsHaveArrived guards against a part that is rejected before the
// reports of a wave have arrived, and against one that is not rejected after that.
func TestFewCrashesCountWhenReportsHaveArrived(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	guard := limiter.NewPartGuard(clock, slog.New(slog.DiscardHandler), true)
	for endpoint := limiter.Hash(10); endpoint < 13; endpoint++ {
		guard.Start(endpoint, []limiter.Hash{badPart}).End()
		guard.RecordCrash(endpoint)
		clock.Advance(150 * time.Millisecond)
	}
	if _, rejected := guard.Rejects([]limiter.Hash{badPart}); rejected {
		t.Error("rejected while reports may be on their way")
	}
	clock.Advance(500 * time.Millisecond)
	if _, rejected := guard.Rejects([]limiter.Hash{badPart}); !rejected {
		t.Error("not rejected after three separate crashes that nothing else explains")
	}
}
