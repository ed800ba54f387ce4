package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// Table is the list of members as one host knows it. It does no I/O; the time
// is an argument of every method. It is not safe for concurrent use.
type Table struct {
	self        Member
	leavingAt   time.Time
	started     time.Time
	lastTick    time.Time
	everReached bool
	records     map[string]*record
	// accused holds observations against hosts that this host has just been
	// in contact with. They are handed to the accused, who refutes.
	accused map[string]Member
}

type record struct {
	Member
	since       time.Time // when the state began, for Suspect and above
	doubted     time.Time // when a leaving member stopped answering
	lastContact time.Time // last direct answer or ping
	lastSilent  time.Time // last failed probe
	stated      int64     // incarnation that the member last stated itself
	outgoing    int       // remaining transmissions
}

const (
	// trustContact is how long direct contact outweighs what others say.
	// Without it one host that was cut off would have all others removed
	// everywhere when it returns.
	trustContact = time.Second
	// maxTickGap is the longest ordinary time between ticks. A longer one
	// means that this host was paused and must not blame others for it.
	maxTickGap = time.Second
	// transmitFactor times log2 of the member count is how often a change is
	// sent by each host; SWIM shows that a small factor reaches everybody.
	transmitFactor = 3
)

// NewTable returns a table that knows only self.
func NewTable(now time.Time, self Member) *Table {
	return &Table{
		self:     self,
		started:  now,
		lastTick: now,
		records:  make(map[string]*record),
		accused:  make(map[string]Member),
	}
}

// Self returns the host's own record.
func (t *Table) Self() Member { return t.self }

// SetConfigRevision raises the revision that heartbeats carry.
func (t *Table) SetConfigRevision(revision int64) {
	t.self.ConfigRevision = max(t.self.ConfigRevision, revision)
}

// size returns the number of known members, this host included.
func (t *Table) size() int { return len(t.records) + 1 }

// Leave marks the host itself as leaving.
func (t *Table) Leave(now time.Time) {
	if t.self.State != Alive {
		return
	}
	t.self.Incarnation++
	t.self.State = Leaving
	t.leavingAt = now
}

// Exit marks the host itself as gone, after Leave.
func (t *Table) Exit() {
	if t.self.State == Leaving {
		t.self.State = Left
	}
}

// Merge takes what another host says about m. It returns the member and true
// if its state, identity or incarnation changed.
func (t *Table) Merge(now time.Time, m Member) (Member, bool) { return t.merge(now, m, false) }

func (t *Table) merge(now time.Time, m Member, direct bool) (Member, bool) {
	if m.Host == t.self.Host {
		t.refute(m)
		return Member{}, false
	}
	r, known := t.records[m.Host]
	if !known {
		return t.learn(now, m)
	}
	accusation := !direct && (m.State == Suspect || m.State == Failed || m.State == Left && r.State != Leaving)
	if m.Incarnation == r.Incarnation && m.State > r.State && accusation &&
		now.Sub(r.lastContact) <= trustContact {
		t.accused[m.Host] = m
		return Member{}, false
	}
	return t.update(now, r, MergeRecords(r.Member, m), ageOf(m))
}

// refute raises the host's incarnation over any statement that is not its
// own, which also covers a predecessor whose clock was ahead.
func (t *Table) refute(m Member) {
	foreign := m.Started != t.self.Started
	if m.Incarnation > t.self.Incarnation ||
		m.Incarnation == t.self.Incarnation && (foreign || m.State > t.self.State) {
		t.self.Incarnation = m.Incarnation + 1
	}
}

func ageOf(m Member) time.Duration { return time.Duration(m.AgeMS) * time.Millisecond }

// learn adds an unknown member. A dead one is added with its age, so that a
// new host counts it as others do and it does not circulate for ever.
func (t *Table) learn(now time.Time, m Member) (Member, bool) {
	if m.State == Left || m.State == Failed && ageOf(m) >= DefaultFailedRetention {
		return Member{}, false
	}
	r := &record{Member: Member{Host: m.Host, Incarnation: m.Incarnation - 1}}
	t.records[m.Host] = r
	return t.update(now, r, m, ageOf(m))
}

// update replaces a record and restarts its spreading if it changed.
func (t *Table) update(now time.Time, r *record, next Member, age time.Duration) (Member, bool) {
	prev := r.Member
	next.AgeMS = 0
	r.Member = next
	changed := prev.Incarnation != next.Incarnation || prev.State != next.State ||
		prev.compareIdentity(next) != 0
	begin := now.Add(-age)
	if prev.Incarnation != next.Incarnation || prev.State != next.State {
		r.since = begin
		r.doubted = time.Time{}
	} else if age > 0 && begin.Before(r.since) {
		r.since = begin
	}
	if prev.Started != next.Started {
		r.lastContact, r.lastSilent = time.Time{}, time.Time{}
	}
	if changed {
		r.outgoing = t.transmissions()
		if a, ok := t.accused[next.Host]; ok && a.Incarnation < next.Incarnation {
			delete(t.accused, next.Host)
		}
	}
	return r.view(now), changed
}

func (t *Table) transmissions() int {
	return transmitFactor * bits.Len(uint(len(t.records)+1))
}

// view returns the record as sent and shown, with its age.
func (r *record) view(now time.Time) Member {
	m := r.Member
	if m.State >= Leaving {
		m.AgeMS = max(0, now.Sub(r.since).Milliseconds())
	}
	return m
}

// RecordContact takes a member's own record, received from the member itself.
func (t *Table) RecordContact(now time.Time, m Member) (Member, bool) {
	if m.Host == t.self.Host {
		t.refute(m)
		return Member{}, false
	}
	out, changed := t.merge(now, m, true)
	r, ok := t.records[m.Host]
	if ok {
		r.stated = m.Incarnation
	}
	if ok && m.Incarnation >= r.Incarnation && m.State != Left {
		r.lastContact = now
		r.doubted = time.Time{}
		t.everReached = true
	}
	return out, changed
}

// RecordProbeFailure records that a member answered neither directly nor through others.
func (t *Table) RecordProbeFailure(now time.Time, host string) (Member, bool) {
	r, ok := t.records[host]
	if !ok {
		return Member{}, false
	}
	r.lastSilent = now
	switch r.State {
	case Alive:
		next := r.Member
		next.State = Suspect
		return t.update(now, r, next, 0)
	case Leaving:
		if r.doubted.IsZero() {
			r.doubted = now
		}
	}
	return Member{}, false
}

// RecordReplacement records that another host answers at the member's address.
func (t *Table) RecordReplacement(now time.Time, host string) (Member, bool) {
	r, ok := t.records[host]
	if !ok || !r.State.Live() {
		return Member{}, false
	}
	next := r.Member
	next.State = Failed
	if r.State == Leaving {
		next.State = Left
	}
	return t.update(now, r, next, 0)
}

// Tick ends suspicions that were not refuted and forgets old members. It
// returns the changed members.
func (t *Table) Tick(now time.Time) []Member {
	if gap := now.Sub(t.lastTick); gap > maxTickGap {
		t.excuse(gap)
	}
	t.lastTick = now
	var changed []Member
	for _, host := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[host]
		next := r.Member
		switch {
		case r.State == Suspect && now.Sub(r.since) >= DefaultSuspicionTime:
			next.State = Failed
		case r.State == Leaving && !r.doubted.IsZero() && now.Sub(r.doubted) >= DefaultSuspicionTime:
			next.State = Left
		case !r.State.Live() && now.Sub(r.since) >= DefaultFailedRetention:
			delete(t.records, host)
			delete(t.accused, host)
			continue
		default:
			continue
		}
		if m, ok := t.update(now, r, next, 0); ok {
			changed = append(changed, m)
		}
	}
	return changed
}

// excuse extends the suspicions by a pause of this host.
func (t *Table) excuse(pause time.Duration) {
	for _, r := range t.records {
		if r.State == Suspect {
			r.since = r.since.Add(pause)
		}
		if !r.doubted.IsZero() {
			r.doubted = r.doubted.Add(pause)
		}
	}
}

// Members returns all known members and self, ordered by host.
func (t *Table) Members(now time.Time) []Member {
	out := []Member{t.viewSelf(now)}
	for _, r := range t.records {
		out = append(out, r.view(now))
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Member returns the record of one host.
func (t *Table) Member(now time.Time, host string) (Member, bool) {
	if host == t.self.Host {
		return t.viewSelf(now), true
	}
	r, ok := t.records[host]
	if !ok {
		return Member{}, false
	}
	return r.view(now), true
}

func (t *Table) viewSelf(now time.Time) Member {
	m := t.self
	if m.State >= Leaving {
		m.AgeMS = max(0, now.Sub(t.leavingAt).Milliseconds())
	}
	return m
}

// Observations returns up to limit records to send to the host named to. What
// speaks against that host comes first, then what was sent least often.
func (t *Table) Observations(now time.Time, to string, limit int) []Member {
	var out []Member
	if a, ok := t.accused[to]; ok {
		out = append(out, a)
		delete(t.accused, to)
	}
	if r, ok := t.records[to]; ok && (r.State != Alive || r.Incarnation > r.stated) {
		out = append(out, r.view(now))
	}
	var pending []*record
	for _, r := range t.records {
		if r.outgoing > 0 && r.Host != to {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.outgoing, a.outgoing), cmp.Compare(a.Host, b.Host))
	})
	for _, r := range pending[:min(len(pending), max(0, limit-len(out)))] {
		r.outgoing--
		out = append(out, r.view(now))
	}
	return out
}
