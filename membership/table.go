package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// Table is one host's list of members. It does no I/O, and methods that need the
// time take it as an argument. It is not safe for concurrent use.
type Table struct {
	self          Member
	leavingAt     time.Time
	started       time.Time
	lastTick      time.Time
	everContacted bool
	records       map[string]*record
	// order holds the records ordered by host; nil after one was added or deleted.
	order []*record
	// suspicions holds observations that a host is suspect or gone although this
	// host was in contact with it within contactPrecedence. They are sent to the
	// suspected host, which refutes them.
	suspicions map[string]Member
}

type record struct {
	Member
	since            time.Time // when the state began, for Suspect and above
	unreachableSince time.Time // when a leaving member stopped answering
	lastContact      time.Time // last direct answer or ping
	lastProbeFailure time.Time // last failed probe
	selfReported     int64     // incarnation that the member last reported about itself
	transmitsLeft    int       // how often the record is still to be sent
}

const (
	// contactPrecedence is how long direct contact takes precedence over the
	// suspicions of other hosts. Without it, one host that returns after it was
	// cut off would have all others removed everywhere.
	contactPrecedence = time.Second
	// maxTickGap is the longest normal time between ticks. A longer gap means
	// that this host was paused. The pause does not count towards suspicions.
	maxTickGap = time.Second
	// transmitFactor times log2 of the member count is how often each host sends
	// a change. The SWIM paper shows that a small factor reaches all members.
	transmitFactor = 3
)

// NewTable returns a table that contains only self.
func NewTable(now time.Time, self Member) *Table {
	return &Table{
		self:       self,
		started:    now,
		lastTick:   now,
		records:    make(map[string]*record),
		suspicions: make(map[string]Member),
	}
}

// Self returns the host's own record.
func (t *Table) Self() Member { return t.self }

// SetConfigRevision raises the configuration revision in the host's own record.
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

// Exit marks the host itself as Left if it is Leaving.
func (t *Table) Exit() {
	if t.self.State == Leaving {
		t.self.State = Left
	}
}

// Merge merges the record m, received from another host. It returns the member
// and true if its state, identity or incarnation changed.
func (t *Table) Merge(now time.Time, m Member) (Member, bool) { return t.merge(now, m, false) }

func (t *Table) merge(now time.Time, m Member, direct bool) (Member, bool) {
	if m.Host == t.self.Host {
		t.refute(m)
		return Member{}, false
	}
	r, known := t.records[m.Host]
	if !known {
		return t.addMember(now, m)
	}
	isSuspicion := !direct && (m.State == Suspect || m.State == Failed || m.State == Left && r.State != Leaving)
	if m.Incarnation == r.Incarnation && m.State > r.State && isSuspicion &&
		now.Sub(r.lastContact) <= contactPrecedence {
		t.suspicions[m.Host] = m
		return Member{}, false
	}
	return t.update(now, r, MergeRecords(r.Member, m), ageOf(m))
}

// refute raises the host's incarnation above that of any record about it that it
// did not issue itself, including records of a predecessor whose clock was ahead.
func (t *Table) refute(m Member) {
	otherProcess := m.Started != t.self.Started
	if m.Incarnation > t.self.Incarnation ||
		m.Incarnation == t.self.Incarnation && (otherProcess || m.State > t.self.State) {
		t.self.Incarnation = m.Incarnation + 1
	}
}

func ageOf(m Member) time.Duration { return time.Duration(m.AgeMS) * time.Millisecond }

// addMember adds an unknown member. A failed one is added with its age, so that a
// new host counts it as the others do and the record does not circulate forever.
func (t *Table) addMember(now time.Time, m Member) (Member, bool) {
	if m.State == Left || m.State == Failed && ageOf(m) >= DefaultFailedRetention {
		return Member{}, false
	}
	r := &record{Member: Member{Host: m.Host, Incarnation: m.Incarnation - 1}}
	t.records[m.Host], t.order = r, nil
	return t.update(now, r, m, ageOf(m))
}

// update replaces a record and, if it changed, restarts its dissemination.
func (t *Table) update(now time.Time, r *record, next Member, age time.Duration) (Member, bool) {
	prev := r.Member
	next.AgeMS = 0
	r.Member = next
	changed := prev.Incarnation != next.Incarnation || prev.State != next.State ||
		prev.compareIdentity(next) != 0
	begin := now.Add(-age)
	if prev.Incarnation != next.Incarnation || prev.State != next.State {
		r.since = begin
		r.unreachableSince = time.Time{}
	} else if age > 0 && begin.Before(r.since) {
		r.since = begin
	}
	if prev.Started != next.Started {
		r.lastContact, r.lastProbeFailure = time.Time{}, time.Time{}
	}
	if changed {
		r.transmitsLeft = t.transmissions()
		if s, ok := t.suspicions[next.Host]; ok && s.Incarnation < next.Incarnation {
			delete(t.suspicions, next.Host)
		}
	}
	return r.view(now), changed
}

func (t *Table) transmissions() int {
	return transmitFactor * bits.Len(uint(len(t.records)+1))
}

// view returns the member with its age at now.
func (r *record) view(now time.Time) Member {
	m := r.Member
	if m.State >= Leaving {
		m.AgeMS = max(0, now.Sub(r.since).Milliseconds())
	}
	return m
}

// RecordContact merges a member's own record, received from the member itself.
func (t *Table) RecordContact(now time.Time, m Member) (Member, bool) {
	if m.Host == t.self.Host {
		t.refute(m)
		return Member{}, false
	}
	out, changed := t.merge(now, m, true)
	r, ok := t.records[m.Host]
	if ok {
		r.selfReported = m.Incarnation
	}
	if ok && m.Incarnation >= r.Incarnation && m.State != Left {
		r.lastContact = now
		r.unreachableSince = time.Time{}
		t.everContacted = true
	}
	return out, changed
}

// RecordProbeFailure records that a member answered neither a direct nor an
// indirect probe.
func (t *Table) RecordProbeFailure(now time.Time, host string) (Member, bool) {
	r, ok := t.records[host]
	if !ok {
		return Member{}, false
	}
	r.lastProbeFailure = now
	switch r.State {
	case Alive:
		next := r.Member
		next.State = Suspect
		return t.update(now, r, next, 0)
	case Leaving:
		if r.unreachableSince.IsZero() {
			r.unreachableSince = now
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

// Tick turns members whose suspicion was not refuted in time to Failed, or to Left
// if they were leaving, and deletes dead members after the retention time. It
// returns the changed members.
func (t *Table) Tick(now time.Time) []Member {
	if gap := now.Sub(t.lastTick); gap > maxTickGap {
		t.extendSuspicions(gap)
	}
	t.lastTick = now
	var changed []Member
	for _, r := range t.inOrder() {
		next := r.Member
		switch {
		case r.State == Suspect && now.Sub(r.since) >= DefaultSuspicionTime:
			next.State = Failed
		case r.State == Leaving && !r.unreachableSince.IsZero() && now.Sub(r.unreachableSince) >= DefaultSuspicionTime:
			next.State = Left
		case !r.State.Live() && now.Sub(r.since) >= DefaultFailedRetention:
			delete(t.records, r.Host)
			delete(t.suspicions, r.Host)
			t.order = nil
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

// extendSuspicions extends running suspicions by a pause of this host.
func (t *Table) extendSuspicions(pause time.Duration) {
	for _, r := range t.records {
		if r.State == Suspect {
			r.since = r.since.Add(pause)
		}
		if !r.unreachableSince.IsZero() {
			r.unreachableSince = r.unreachableSince.Add(pause)
		}
	}
}

// Members returns all known members, self included, ordered by host.
func (t *Table) Members(now time.Time) []Member {
	out := make([]Member, 0, t.size())
	for _, r := range t.inOrder() {
		out = append(out, r.view(now))
	}
	i, _ := slices.BinarySearchFunc(out, t.self.Host, func(m Member, host string) int { return cmp.Compare(m.Host, host) })
	return slices.Insert(out, i, t.viewSelf(now))
}

// inOrder returns the records ordered by host. The caller must not change the list.
func (t *Table) inOrder() []*record {
	if t.order == nil {
		t.order = slices.SortedFunc(maps.Values(t.records), func(a, b *record) int { return cmp.Compare(a.Host, b.Host) })
	}
	return t.order
}

// Counts are numbers of members, this host included.
type Counts struct {
	// Live is the number of live members.
	Live int
	// Possible is the number of members that may be alive. One that does not answer may
	// only be partitioned from this host.
	Possible int
}

// Count counts the members.
func (t *Table) Count() Counts {
	var c Counts
	c.add(t.self.State)
	for _, r := range t.records {
		c.add(r.State)
	}
	return c
}

func (c *Counts) add(s State) {
	if s.Live() {
		c.Live++
	}
	if s != Left {
		c.Possible++
	}
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

// Observations returns the records to send to the host named to: first those about
// that host itself, for it to refute, then pending changes, those sent least often
// first, until there are limit records.
func (t *Table) Observations(now time.Time, to string, limit int) []Member {
	var out []Member
	if s, ok := t.suspicions[to]; ok {
		out = append(out, s)
		delete(t.suspicions, to)
	}
	if r, ok := t.records[to]; ok && (r.State != Alive || r.Incarnation > r.selfReported) {
		out = append(out, r.view(now))
	}
	for _, r := range t.pending(to, limit-len(out)) {
		r.transmitsLeft--
		out = append(out, r.view(now))
	}
	return out
}

// pending returns at most limit records to send to the host named to, those sent least
// often first.
func (t *Table) pending(to string, limit int) []*record {
	if limit <= 0 {
		return nil
	}
	var first []*record
	for _, r := range t.records {
		if r.transmitsLeft <= 0 || r.Host == to {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, r, compareTransmits)
		if i == limit {
			continue
		}
		if len(first) == limit {
			first = first[:limit-1]
		}
		first = slices.Insert(first, i, r)
	}
	return first
}

// compareTransmits orders records by how often they were sent, and by host.
func compareTransmits(a, b *record) int {
	return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(a.Host, b.Host))
}
