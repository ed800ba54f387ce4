package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawMember(t *rapid.T, label string) Member {
	return Member{
		Host:           "h",
		PeerAddress:    rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.2:1"}).Draw(t, label+" address"),
		Started:        rapid.Int64Range(1, 3).Draw(t, label+" start"),
		Incarnation:    rapid.Int64Range(1, 4).Draw(t, label+" incarnation"),
		State:          State(rapid.IntRange(int(Alive), int(Left)).Draw(t, label+" state")),
		ConfigRevision: rapid.Int64Range(0, 3).Draw(t, label+" revision"),
		AgeMS:          rapid.Int64Range(0, 3).Draw(t, label+" age"),
	}
}

// TestMergeRecordsIsASemilattice guards against a merge whose result depends on the
// order or the number of messages, and against incarnations that fall.
func TestMergeRecordsIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMember(t, "a"), drawMember(t, "b"), drawMember(t, "c")
		check := func(rule string, x, y Member) {
			if diff := cmp.Diff(x, y); diff != "" {
				t.Fatalf("%s (-left +right):\n%s", rule, diff)
			}
		}
		check("commutative", MergeRecords(a, b), MergeRecords(b, a))
		check("associative", MergeRecords(MergeRecords(a, b), c), MergeRecords(a, MergeRecords(b, c)))
		check("idempotent", MergeRecords(a, a), a)
		check("repeated", MergeRecords(MergeRecords(a, b), b), MergeRecords(a, b))
		if got := MergeRecords(a, b); got.Incarnation != max(a.Incarnation, b.Incarnation) {
			t.Fatalf("merged incarnation %d of %d and %d, want the higher one", got.Incarnation, a.Incarnation, b.Incarnation)
		}
	})
}

var t0 = time.Unix(1_000_000, 0)

func newMember(host string, state State) Member {
	return Member{Host: host, PeerAddress: "10.0.0.9:1", EntryAddress: "10.0.0.9:2", Started: 5, Incarnation: 5, State: state}
}

// TestDirectContactOverridesSuspicion guards against a host that was cut off,
// suspects all others when it returns, and has live hosts removed elsewhere: a
// suspicion of a host in contact must go to that host, which refutes it.
func TestDirectContactOverridesSuspicion(t *testing.T) {
	table := NewTable(t0, newMember("self", Alive))
	table.RecordContact(t0, newMember("a", Alive))
	table.Merge(t0.Add(time.Second/2), newMember("a", Failed))
	if got := table.Members(t0)[0].State; got != Alive {
		t.Errorf("state %v right after contact, want alive", got)
	}
	if obs := table.Observations(t0, "a", 1); len(obs) != 1 || obs[0].State != Failed {
		t.Errorf("the suspicion is not sent to the suspected host: %v", obs)
	}
	table.Merge(t0.Add(3*time.Second), newMember("a", Failed))
	if got := table.Members(t0)[0].State; got != Failed {
		t.Errorf("state %v long after contact, want failed", got)
	}
}

// TestPauseExtendsSuspicions guards against a paused host that removes all others
// when it resumes.
func TestPauseExtendsSuspicions(t *testing.T) {
	table := NewTable(t0, newMember("self", Alive))
	table.RecordContact(t0, newMember("a", Alive))
	table.RecordProbeFailure(t0.Add(time.Second/2), "a")
	table.Tick(t0.Add(time.Second / 2))
	if changed := table.Tick(t0.Add(20 * time.Second)); len(changed) != 0 {
		t.Errorf("members changed right after a pause: %v, want none", changed)
	}
	table.Tick(t0.Add(20*time.Second + 750*time.Millisecond))
	if changed := table.Tick(t0.Add(21*time.Second + 500*time.Millisecond)); len(changed) != 1 || changed[0].State != Failed {
		t.Errorf("an unreachable host has not failed after the pause: %v", changed)
	}
}

// TestRetentionLimitsDeadAndLeavingHosts guards against records of dead hosts that
// circulate forever or count too long for the majority, and against an entry list
// with hosts that have been leaving for too long.
func TestRetentionLimitsDeadAndLeavingHosts(t *testing.T) {
	table := NewTable(t0, Member{Host: "self", PeerAddress: "10.0.0.1:1"})
	dead := newMember("a", Failed)
	dead.AgeMS = DefaultFailedRetention.Milliseconds()
	if _, ok := table.Merge(t0, dead); ok {
		t.Error("a record past its retention was merged")
	}
	dead.AgeMS /= 2
	table.Merge(t0, dead)
	if table.HasMajority(t0, 0) {
		t.Error("a failed member does not count for the majority")
	}
	end := t0.Add(DefaultFailedRetention / 2)
	table.Tick(end)
	if len(table.Members(end)) != 1 || !table.HasMajority(end, 0) {
		t.Error("a failed member is kept past its retention")
	}
	table.Merge(end, newMember("b", Leaving))
	if n := len(table.Entries(end.Add(MaxLeavingListed), time.Second).Entries); n != 1 {
		t.Errorf("%d entries while the last host begins to leave, want 1", n)
	}
	if n := len(table.Entries(end.Add(MaxLeavingListed+time.Millisecond), time.Second).Entries); n != 0 {
		t.Errorf("%d entries after the limit, want 0", n)
	}
	table.Merge(end, newMember("c", Alive))
	if e := table.Entries(end, time.Second).Entries; len(e) != 1 || e[0].Host != "c" {
		t.Errorf("entries %v, want only the alive host c", e)
	}
}

// TestReplacementWithEarlierClock guards against a replacement that stays unknown
// because the clock of its predecessor, and so the incarnation, was ahead.
func TestReplacementWithEarlierClock(t *testing.T) {
	ahead := newMember("a", Alive)
	ahead.Started, ahead.Incarnation = 9, 9
	table, replacement := NewTable(t0, newMember("self", Alive)), NewTable(t0, newMember("a", Alive))
	table.RecordContact(t0, ahead)
	table.RecordContact(t0, replacement.Self())
	for _, m := range table.Observations(t0, "a", 1) {
		replacement.Merge(t0, m)
	}
	table.RecordContact(t0, replacement.Self())
	if got := table.Members(t0)[0]; got.Started != 5 || got.Incarnation != 10 {
		t.Errorf("the replacement is known as %+v, want start 5, incarnation 10", got)
	}
}
