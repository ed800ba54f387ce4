package configstore

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/resource"
)

func model(name string) []resource.Resource {
	return []resource.Resource{{Kind: resource.KindModel, Name: name, Spec: &resource.Model{}}}
}

// attempt is one apply of the state machine with what the oracle knows of it.
type attempt struct {
	name     string
	node     *node
	done     chan struct{}
	revision int64
	err      error
	deadline time.Time // in force everywhere from here on
}

func (w *world) apply(n *node, c Change) *attempt {
	a := &attempt{name: c.Author, node: n, done: make(chan struct{})}
	w.applies.Go(func() {
		defer close(a.done)
		a.revision, a.err = n.Apply(w.ctx, c)
		a.deadline = w.clock.Now().Add(4 * time.Second)
	})
	return a
}

// inForceWithin is the bound of invariant 10, checked on hosts that take new work.
func (w *world) checkInForce(t *rapid.T, attempts []*attempt, staleUntil map[*node]time.Time) {
	now := w.clock.Now()
	for _, a := range attempts {
		select {
		case <-a.done:
		default:
			continue
		}
		if a.err != nil || now.Before(a.deadline) {
			continue
		}
		for _, n := range w.nodes {
			// A host whose store answers from the past cannot know better if it
			// has no majority, or if no running host has the revision (seen in
			// a trace: one host, restarted while its store answered from the
			// past). The fault must have ended MaxStaleness ago.
			blind := now.Before(staleUntil[n].Add(MaxStaleness)) && (!n.HasMajority() || !w.known(a.revision))
			if n.up && n.Fresh() && !blind && n.Current().Revision < a.revision {
				t.Fatalf("host %d takes new work with revision %d, %v after the deadline of %d",
					n.id, n.Current().Revision, now.Sub(a.deadline), a.revision)
			}
		}
	}
	for _, p := range w.problems {
		t.Fatal(p)
	}
}

// Guards against reverting, two winners of one race, accepted changes that are
// late or lost, and refused changes that come into force, while hosts restart,
// partitions come and go, and the store is down, silent, answers from the past
// or loses replies and calls.
func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			size := rapid.IntRange(1, 5).Draw(t, "hosts")
			w := newWorld(size, rapid.Uint64().Draw(t, "seed"))
			defer w.stop()
			var attempts []*attempt
			staleUntil := make(map[*node]time.Time)
			any := func() *node { return w.nodes[rapid.IntRange(0, size-1).Draw(t, "host")] }
			pass := func() {
				for range rapid.IntRange(0, 12).Draw(t, "half seconds") {
					for _, n := range w.nodes {
						if n.kv.stale {
							staleUntil[n] = w.clock.Now().Add(step)
						}
					}
					w.run(heartbeatEvery)
					w.checkInForce(t, attempts, staleUntil)
				}
			}
			apply := func(n *node, expect int64) {
				name := fmt.Sprint("m-", len(attempts))
				attempts = append(attempts, w.apply(n, Change{ExpectRevision: expect, Set: model(name), Author: name}))
			}
			t.Repeat(map[string]func(*rapid.T){
				"apply": func(t *rapid.T) { n := any(); apply(n, n.Current().Revision); pass() },
				"race": func(t *rapid.T) {
					a, b := any(), any()
					apply(a, a.Current().Revision)
					apply(b, b.Current().Revision)
					pass()
				},
				"apply to any": func(t *rapid.T) { apply(any(), AnyRevision); pass() },
				"outage": func(t *rapid.T) {
					all := rapid.Bool().Draw(t, "all")
					one := any()
					for _, n := range w.nodes {
						if all || n == one {
							n.kv.set(func(f *faultKV) { f.outage = true })
						}
					}
					pass()
				},
				"stale":      func(t *rapid.T) { any().kv.set(func(f *faultKV) { f.stale = true }); pass() },
				"mute watch": func(t *rapid.T) { any().kv.set(func(f *faultKV) { f.mute = true }) },
				"lose reply": func(t *rapid.T) { any().kv.set(func(f *faultKV) { f.loseReply = 2 }) },
				"lose call":  func(t *rapid.T) { any().kv.set(func(f *faultKV) { f.loseCall = 2 }) },
				"store recovers": func(t *rapid.T) {
					for _, n := range w.nodes {
						n.kv.set(func(f *faultKV) { f.outage, f.stale, f.mute = false, false, false })
					}
				},
				"partition": func(t *rapid.T) {
					side := rapid.IntRange(0, 1<<size-1).Draw(t, "side")
					w.setCut(func(a, b int) bool { return side>>a&1 != side>>b&1 })
					pass()
				},
				"heal": func(t *rapid.T) { w.setCut(func(int, int) bool { return false }); pass() },
				"restart": func(t *rapid.T) {
					n := any()
					w.kill(n)
					w.boot(n.id)
					pass()
				},
			})
			for _, n := range w.nodes {
				n.kv.set(func(f *faultKV) {
					f.outage, f.stale, f.mute, f.loseReply, f.loseCall = false, false, false, 0, 0
				})
			}
			w.setCut(func(int, int) bool { return false })
			w.run(applyTimeout + 4*time.Second)
			w.checkInForce(t, attempts, staleUntil)
			w.checkOutcomes(t, attempts)
		})
	})
}

// known reports whether a running host has the revision.
func (w *world) known(revision int64) bool {
	return slices.ContainsFunc(w.nodes, func(n *node) bool { return n.up && n.Current().Revision >= revision })
}

func (w *world) setCut(cut func(a, b int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// checkOutcomes compares what the operators were told with what is in force.
func (w *world) checkOutcomes(t *rapid.T, attempts []*attempt) {
	winner := make(map[int64]string)
	final := w.nodes[0].Current()
	for _, n := range w.nodes[1:] {
		if diff := cmp.Diff(final.Resources(), n.Current().Resources()); diff != "" || n.Current().Revision != final.Revision {
			t.Fatalf("hosts 0 and %d differ in calm:\n%s", n.id, diff)
		}
	}
	for _, a := range attempts {
		<-a.done
		_, inForce := final.Models[a.name]
		switch {
		case a.err == nil && !inForce:
			t.Fatalf("accepted change %s (revision %d) is not in force", a.name, a.revision)
		case a.err == nil && winner[a.revision] != "":
			t.Fatalf("%s and %s both got revision %d", winner[a.revision], a.name, a.revision)
		case a.err == nil:
			winner[a.revision] = a.name
		case inForce && !errors.Is(a.err, ErrUnknown):
			t.Fatalf("%s is in force but was refused: %v", a.name, a.err)
		case !errors.Is(a.err, ErrUnknown) && !errors.Is(a.err, ErrConflict) && !errors.Is(a.err, ErrUnavailable):
			t.Fatalf("%s: untyped error %v", a.name, a.err)
		}
	}
}

// Guards against conflicts that do not say what changed, half-applied or
// invalid changes, a history that is not kept or not bounded, and refusing an
// accepted change because its history was not written.
func TestConflictsAndHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 1)
		defer w.stop()
		must := func(c Change) {
			t.Helper()
			a := w.apply(w.nodes[0], c)
			w.run(time.Second)
			<-a.done
			if a.err != nil {
				t.Fatal(a.err)
			}
		}
		for i := range simHistory + 3 {
			must(Change{ExpectRevision: int64(i), Set: model(fmt.Sprint("m-", i)), Author: "op"})
		}
		var conflict *ConflictError
		a := w.apply(w.nodes[1], Change{ExpectRevision: 6, Set: model("late")})
		w.run(time.Second)
		<-a.done
		want := &ConflictError{Expected: 6, Actual: 8, Complete: true,
			Changed: []resource.Key{{Kind: resource.KindModel, Name: "m-6"}, {Kind: resource.KindModel, Name: "m-7"}}}
		if !errors.As(a.err, &conflict) || cmp.Diff(want, conflict) != "" {
			t.Errorf("conflict %v, want %v", a.err, want)
		}
		a = w.apply(w.nodes[1], Change{ExpectRevision: 8, Delete: []resource.Key{{Kind: resource.KindModel, Name: "m-0"}},
			Set: []resource.Resource{{Kind: resource.KindVersion, Name: "v", Spec: &resource.Version{Model: "absent"}}}})
		w.run(time.Second)
		<-a.done
		if !errors.Is(a.err, resource.ErrInvalid) || w.nodes[1].Current().Models["m-0"] == nil {
			t.Errorf("invalid change: %v", a.err)
		}
		list, err := w.nodes[2].History(t.Context())
		if err != nil || len(list) != simHistory || list[0].Revision != 4 || list[simHistory-1].Author != "op" {
			t.Errorf("history %v, %v, want revisions 4 to 8", list, err)
		}
		w.nodes[0].opts.KV = noHistory{w.nodes[0].kv}
		must(Change{ExpectRevision: 8, Set: model("m-8")})
	})
}

// noHistory refuses writes of the history.
type noHistory struct{ kv.KV }

func (n noHistory) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, id kv.LeaseID) (int64, error) {
	if key != KeyCurrent {
		return 0, kv.ErrUnavailable
	}
	return n.KV.CompareAndSwap(ctx, key, expect, value, id)
}

// Guards against accepting new work on a host that is cut off from the store
// and a majority, and against refusing it on hosts that are cut off from one.
func TestFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, 2)
		defer w.stop()
		check := func(what string, want ...bool) {
			t.Helper()
			w.run(MaxStaleness + heartbeatEvery + step)
			for i, n := range w.nodes {
				if n.Fresh() != want[i] {
					t.Errorf("%s: host %d fresh %v, want %v", what, i, n.Fresh(), want[i])
				}
			}
		}
		check("calm", true, true, true, true, true)
		w.setCut(func(a, b int) bool { return (a < 2) != (b < 2) })
		check("two cut off with the store", true, true, true, true, true)
		for _, n := range w.nodes[1:] {
			n.kv.set(func(f *faultKV) { f.outage = true })
		}
		check("host 1 has the store through host 0", true, true, true, true, true)
		w.nodes[0].kv.set(func(f *faultKV) { f.outage = true })
		check("two cut off without the store", false, false, true, true, true)
		w.setCut(func(int, int) bool { return false })
		check("store down", true, true, true, true, true)
	})
}

// Guards against reporting a change as accepted that a majority does not know,
// since contacts may be 3 s old, and against a host that returns from a cut
// and takes new work before it has caught up with its peers' heartbeats.
func TestMajorityKnowsBeforeAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, 4)
		defer w.stop()
		for _, n := range w.nodes[1:] {
			n.kv.set(func(f *faultKV) { f.outage = true })
		}
		w.setCut(func(a, b int) bool { return (a == 0) != (b == 0) })
		a := w.apply(w.nodes[0], Change{Set: model("m")})
		w.run(applyTimeout + time.Second)
		<-a.done
		if !errors.Is(a.err, ErrUnknown) || w.nodes[0].Current().Revision != 1 {
			t.Errorf("a change that nobody else knows: %v, revision %d", a.err, w.nodes[0].Current().Revision)
		}
		w.setCut(func(a, b int) bool { return (a == 4) != (b == 4) })
		w.run(MaxStaleness + heartbeatEvery)
		if w.nodes[3].Current().Revision != 1 || w.nodes[4].Fresh() {
			t.Errorf("host 3 at revision %d, cut off host 4 fresh %v", w.nodes[3].Current().Revision, w.nodes[4].Fresh())
		}
		w.setCut(func(int, int) bool { return false })
		for range (SyncInterval + heartbeatEvery) / step {
			w.heartbeat()
			if n := w.nodes[4]; n.Fresh() && n.Current().Revision < 1 {
				t.Fatal("host 4 takes new work before it has caught up")
			}
			if w.run(step); w.nodes[4].Fresh() {
				return
			}
		}
		t.Error("host 4 does not catch up by heartbeats")
	})
}

// Guards against taking an answer from the past for a confirmation, and
// against hosts that start together during an outage and vouch for each
// other's empty configuration.
func TestPastAndEmptyDoNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 5)
		defer w.stop()
		a := w.apply(w.nodes[0], Change{Set: model("m")})
		w.run(time.Second)
		if <-a.done; a.err != nil {
			t.Fatal(a.err)
		}
		w.nodes[2].kv.set(func(f *faultKV) { f.stale = true })
		w.setCut(func(a, b int) bool { return (a == 2) != (b == 2) })
		w.run(MaxStaleness + time.Second)
		if n := w.nodes[2]; n.Fresh() || n.Current().Revision != 1 {
			t.Errorf("answers from the past: fresh %v at revision %d", n.Fresh(), n.Current().Revision)
		}
		w.setCut(func(int, int) bool { return false })
		for i, n := range w.nodes {
			w.kill(n)
			w.boot(i, func(f *faultKV) { f.outage = true })
		}
		w.run(startPatience + MaxStaleness)
		for _, n := range w.nodes {
			if n.Fresh() {
				t.Errorf("host %d takes new work with revision %d after a start without the store", n.id, n.Current().Revision)
			}
			n.kv.set(func(f *faultKV) { f.outage = false })
		}
		w.run(startPatience)
		for _, n := range w.nodes {
			if !n.Fresh() || n.Current().Revision != 1 {
				t.Errorf("host %d fresh %v at revision %d with the store back", n.id, n.Fresh(), n.Current().Revision)
			}
		}
	})
}

// Guards against a malformed or invalid value from a peer replacing the
// configuration, and against memory exhaustion by a small compressed value.
func TestBadValuesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 3)
		defer w.stop()
		invalid := envelope{Revision: 9, ChangeID: "c", Resources: []resource.Resource{
			{Kind: resource.KindVersion, Name: "v", Spec: &resource.Version{Model: "absent"}}}}
		bomb := envelope{Revision: 9, ChangeID: string(make([]byte, maxDecodedBytes))}
		for name, env := range map[string]envelope{"invalid": invalid, "bomb": bomb} {
			value, err := encode(env)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range [][]byte{value, value[:len(value)/2], nil} {
				err := w.nodes[0].Call(t.Context(), "0", MethodPush, pushRequest{Revision: 9, Value: v}, nil)
				if !errors.Is(err, ErrValue) || w.nodes[0].Current().Revision != 0 {
					t.Errorf("%s: %v, revision %d", name, err, w.nodes[0].Current().Revision)
				}
			}
		}
	})
}
