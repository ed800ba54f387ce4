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

// attempt is one Apply of TestConfigurationUnderFaults and its outcome.
type attempt struct {
	name     string
	host     *simHost
	done     chan struct{}
	revision int64
	err      error
	deadline time.Time // when the change must be in force everywhere
}

func (sim *simCluster) apply(n *simHost, c Change) *attempt {
	a := &attempt{name: c.Author, host: n, done: make(chan struct{})}
	sim.applies.Go(func() {
		defer close(a.done)
		a.revision, a.err = n.Apply(sim.ctx, c)
		a.deadline = sim.clock.Now().Add(4 * time.Second)
	})
	return a
}

// checkInForce checks that each accepted change is in force after its deadline on
// all hosts that accept new work, and that no host reverted to an older revision.
func (sim *simCluster) checkInForce(t *rapid.T, attempts []*attempt, staleUntil map[*simHost]time.Time) {
	now := sim.clock.Now()
	for _, a := range attempts {
		select {
		case <-a.done:
		default:
			continue
		}
		if a.err != nil || now.Before(a.deadline) {
			continue
		}
		for _, n := range sim.hosts {
			// A host with stale reads cannot have the revision if it has no majority or
			// if no running host has the revision. The latter happened on a single host
			// that restarted during stale reads. The fault must have ended MaxStaleness
			// ago.
			excused := now.Before(staleUntil[n].Add(MaxStaleness)) && (!n.HasMajority() || !sim.hasRunningHostWith(a.revision))
			if n.up && n.Fresh() && !excused && n.Current().Revision < a.revision {
				t.Fatalf("host %d accepts new work at revision %d, %v after the deadline for revision %d",
					n.id, n.Current().Revision, now.Sub(a.deadline), a.revision)
			}
		}
	}
	for _, p := range sim.violations {
		t.Fatal(p)
	}
}

// TestConfigurationUnderFaults guards against hosts that revert to an older
// revision, two changes that both win a race, accepted changes that are late or
// lost, and rejected changes that come into force. Meanwhile hosts restart,
// partitions come and go, and the store is down, stops sending watch events,
// returns stale reads, or loses replies and calls.
func TestConfigurationUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			size := rapid.IntRange(1, 5).Draw(t, "hosts")
			sim := newSimCluster(size, rapid.Uint64().Draw(t, "seed"))
			defer sim.stop()
			var attempts []*attempt
			staleUntil := make(map[*simHost]time.Time)
			anyHost := func() *simHost { return sim.hosts[rapid.IntRange(0, size-1).Draw(t, "host")] }
			advance := func() {
				for range rapid.IntRange(0, 12).Draw(t, "half seconds") {
					for _, n := range sim.hosts {
						if n.kv.stale {
							staleUntil[n] = sim.clock.Now().Add(step)
						}
					}
					sim.run(heartbeatInterval)
					sim.checkInForce(t, attempts, staleUntil)
				}
			}
			apply := func(n *simHost, expect int64) {
				name := fmt.Sprint("m-", len(attempts))
				attempts = append(attempts, sim.apply(n, Change{ExpectRevision: expect, Set: model(name), Author: name}))
			}
			t.Repeat(map[string]func(*rapid.T){
				"apply": func(t *rapid.T) { n := anyHost(); apply(n, n.Current().Revision); advance() },
				"race": func(t *rapid.T) {
					a, b := anyHost(), anyHost()
					apply(a, a.Current().Revision)
					apply(b, b.Current().Revision)
					advance()
				},
				"apply to any": func(t *rapid.T) { apply(anyHost(), AnyRevision); advance() },
				"outage": func(t *rapid.T) {
					all := rapid.Bool().Draw(t, "all")
					affected := anyHost()
					for _, n := range sim.hosts {
						if all || n == affected {
							n.kv.set(func(f *faultKV) { f.outage = true })
						}
					}
					advance()
				},
				"stale":      func(t *rapid.T) { anyHost().kv.set(func(f *faultKV) { f.stale = true }); advance() },
				"mute watch": func(t *rapid.T) { anyHost().kv.set(func(f *faultKV) { f.silent = true }) },
				"lose reply": func(t *rapid.T) { anyHost().kv.set(func(f *faultKV) { f.lostReplies = 2 }) },
				"lose call":  func(t *rapid.T) { anyHost().kv.set(func(f *faultKV) { f.lostCalls = 2 }) },
				"store recovers": func(t *rapid.T) {
					for _, n := range sim.hosts {
						n.kv.set(func(f *faultKV) { f.outage, f.stale, f.silent = false, false, false })
					}
				},
				"partition": func(t *rapid.T) {
					side := rapid.IntRange(0, 1<<size-1).Draw(t, "side")
					sim.setPartition(func(a, b int) bool { return side>>a&1 != side>>b&1 })
					advance()
				},
				"heal": func(t *rapid.T) { sim.setPartition(func(int, int) bool { return false }); advance() },
				"restart": func(t *rapid.T) {
					n := anyHost()
					sim.stopHost(n)
					sim.startHost(n.id)
					advance()
				},
			})
			for _, n := range sim.hosts {
				n.kv.set(func(f *faultKV) {
					f.outage, f.stale, f.silent, f.lostReplies, f.lostCalls = false, false, false, 0, 0
				})
			}
			sim.setPartition(func(int, int) bool { return false })
			sim.run(applyTimeout + 4*time.Second)
			sim.checkInForce(t, attempts, staleUntil)
			sim.checkOutcomes(t, attempts)
		})
	})
}

// hasRunningHostWith reports whether a running host has the revision.
func (sim *simCluster) hasRunningHostWith(revision int64) bool {
	return slices.ContainsFunc(sim.hosts, func(n *simHost) bool { return n.up && n.Current().Revision >= revision })
}

func (sim *simCluster) setPartition(partitioned func(a, b int) bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.partitioned = partitioned
}

// checkOutcomes compares the results that Apply returned with the configuration
// in force.
func (sim *simCluster) checkOutcomes(t *rapid.T, attempts []*attempt) {
	acceptedBy := make(map[int64]string)
	final := sim.hosts[0].Current()
	for _, n := range sim.hosts[1:] {
		if diff := cmp.Diff(final.Resources(), n.Current().Resources()); diff != "" || n.Current().Revision != final.Revision {
			t.Fatalf("hosts 0 and %d differ after all faults ended:\n%s", n.id, diff)
		}
	}
	for _, a := range attempts {
		<-a.done
		_, inForce := final.Models[a.name]
		switch {
		case a.err == nil && !inForce:
			t.Fatalf("accepted change %s (revision %d) is not in force", a.name, a.revision)
		case a.err == nil && acceptedBy[a.revision] != "":
			t.Fatalf("changes %s and %s were both accepted as revision %d", acceptedBy[a.revision], a.name, a.revision)
		case a.err == nil:
			acceptedBy[a.revision] = a.name
		case inForce && !errors.Is(a.err, ErrUnknown):
			t.Fatalf("change %s is in force but was rejected: %v", a.name, a.err)
		case !errors.Is(a.err, ErrUnknown) && !errors.Is(a.err, ErrConflict) && !errors.Is(a.err, ErrUnavailable):
			t.Fatalf("change %s: untyped error %v", a.name, a.err)
		}
	}
}

// TestConflictsAndHistory guards against conflicts that do not list the changed
// keys, invalid or partly applied changes, a history that is missing or
// unbounded, and an accepted change that is reported as failed because its
// history entry was not written.
func TestConflictsAndHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(3, 1)
		defer sim.stop()
		must := func(c Change) {
			t.Helper()
			a := sim.apply(sim.hosts[0], c)
			sim.run(time.Second)
			<-a.done
			if a.err != nil {
				t.Fatal(a.err)
			}
		}
		for i := range simHistory + 3 {
			must(Change{ExpectRevision: int64(i), Set: model(fmt.Sprint("m-", i)), Author: "op"})
		}
		var conflict *ConflictError
		a := sim.apply(sim.hosts[1], Change{ExpectRevision: 6, Set: model("late")})
		sim.run(time.Second)
		<-a.done
		want := &ConflictError{Expected: 6, Actual: 8, Complete: true,
			Changed: []resource.Key{{Kind: resource.KindModel, Name: "m-6"}, {Kind: resource.KindModel, Name: "m-7"}}}
		if !errors.As(a.err, &conflict) || cmp.Diff(want, conflict) != "" {
			t.Errorf("conflict: got %v, want %v", a.err, want)
		}
		a = sim.apply(sim.hosts[1], Change{ExpectRevision: 8, Delete: []resource.Key{{Kind: resource.KindModel, Name: "m-0"}},
			Set: []resource.Resource{{Kind: resource.KindVersion, Name: "v", Spec: &resource.Version{Model: "absent"}}}})
		sim.run(time.Second)
		<-a.done
		if !errors.Is(a.err, resource.ErrInvalid) || sim.hosts[1].Current().Models["m-0"] == nil {
			t.Errorf("invalid change: got %v, want ErrInvalid and model m-0 kept", a.err)
		}
		list, err := sim.hosts[2].History(t.Context())
		if err != nil || len(list) != simHistory || list[0].Revision != 4 || list[simHistory-1].Author != "op" {
			t.Errorf("history: got %v, %v, want revisions 4 to 8", list, err)
		}
		sim.hosts[0].opts.KV = noHistory{sim.hosts[0].kv}
		must(Change{ExpectRevision: 8, Set: model("m-8")})
	})
}

// noHistory is a KV that rejects writes to the history.
type noHistory struct{ kv.KV }

func (n noHistory) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, id kv.LeaseID) (int64, error) {
	if key != KeyCurrent {
		return 0, kv.ErrUnavailable
	}
	return n.KV.CompareAndSwap(ctx, key, expect, value, id)
}

// TestFreshness guards against a host that accepts new work while it is cut off
// from both the store and a majority, and against a host that rejects new work
// while it is cut off from only one of them.
func TestFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(5, 2)
		defer sim.stop()
		check := func(situation string, want ...bool) {
			t.Helper()
			sim.run(MaxStaleness + heartbeatInterval + step)
			for i, n := range sim.hosts {
				if n.Fresh() != want[i] {
					t.Errorf("%s: host %d: got fresh %v, want %v", situation, i, n.Fresh(), want[i])
				}
			}
		}
		check("no faults", true, true, true, true, true)
		sim.setPartition(func(a, b int) bool { return (a < 2) != (b < 2) })
		check("two hosts cut off with the store", true, true, true, true, true)
		for _, n := range sim.hosts[1:] {
			n.kv.set(func(f *faultKV) { f.outage = true })
		}
		check("host 1 confirmed by host 0", true, true, true, true, true)
		sim.hosts[0].kv.set(func(f *faultKV) { f.outage = true })
		check("two hosts cut off without the store", false, false, true, true, true)
		sim.setPartition(func(int, int) bool { return false })
		check("store down", true, true, true, true, true)
	})
}

// TestChangeIsAcceptedAfterMajorityAcknowledges guards against reporting a change
// as accepted that a majority does not have, which can happen because contacts may
// be 3 s old. It also guards against a host that accepts new work after a
// partition before it has caught up with the revisions in its peers' heartbeats.
func TestChangeIsAcceptedAfterMajorityAcknowledges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(5, 4)
		defer sim.stop()
		for _, n := range sim.hosts[1:] {
			n.kv.set(func(f *faultKV) { f.outage = true })
		}
		sim.setPartition(func(a, b int) bool { return (a == 0) != (b == 0) })
		a := sim.apply(sim.hosts[0], Change{Set: model("m")})
		sim.run(applyTimeout + time.Second)
		<-a.done
		if !errors.Is(a.err, ErrUnknown) || sim.hosts[0].Current().Revision != 1 {
			t.Errorf("change that no other host has: got %v at revision %d, want ErrUnknown at revision 1", a.err, sim.hosts[0].Current().Revision)
		}
		sim.setPartition(func(a, b int) bool { return (a == 4) != (b == 4) })
		sim.run(MaxStaleness + heartbeatInterval)
		if sim.hosts[3].Current().Revision != 1 || sim.hosts[4].Fresh() {
			t.Errorf("host 3: got revision %d, want 1; host 4, cut off: got fresh %v, want false", sim.hosts[3].Current().Revision, sim.hosts[4].Fresh())
		}
		sim.setPartition(func(int, int) bool { return false })
		for range (SyncInterval + heartbeatInterval) / step {
			sim.exchangeHeartbeats()
			if n := sim.hosts[4]; n.Fresh() && n.Current().Revision < 1 {
				t.Fatal("host 4 accepts new work before it has caught up")
			}
			if sim.run(step); sim.hosts[4].Fresh() {
				return
			}
		}
		t.Error("host 4 is not fresh after heartbeats")
	})
}

// TestStaleReadsAndEmptyPeersDoNotConfirm guards against counting a stale read as a
// confirmation, and against hosts that start together during a store outage and
// confirm each other's empty configuration.
func TestStaleReadsAndEmptyPeersDoNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(3, 5)
		defer sim.stop()
		a := sim.apply(sim.hosts[0], Change{Set: model("m")})
		sim.run(time.Second)
		if <-a.done; a.err != nil {
			t.Fatal(a.err)
		}
		sim.hosts[2].kv.set(func(f *faultKV) { f.stale = true })
		sim.setPartition(func(a, b int) bool { return (a == 2) != (b == 2) })
		sim.run(MaxStaleness + time.Second)
		if n := sim.hosts[2]; n.Fresh() || n.Current().Revision != 1 {
			t.Errorf("stale reads: got fresh %v at revision %d, want not fresh at revision 1", n.Fresh(), n.Current().Revision)
		}
		sim.setPartition(func(int, int) bool { return false })
		for i, n := range sim.hosts {
			sim.stopHost(n)
			sim.startHost(i, func(f *faultKV) { f.outage = true })
		}
		sim.run(startPeerTimeout + MaxStaleness)
		for _, n := range sim.hosts {
			if n.Fresh() {
				t.Errorf("host %d accepts new work at revision %d after a start without the store", n.id, n.Current().Revision)
			}
			n.kv.set(func(f *faultKV) { f.outage = false })
		}
		sim.run(startPeerTimeout)
		for _, n := range sim.hosts {
			if !n.Fresh() || n.Current().Revision != 1 {
				t.Errorf("host %d after the outage: got fresh %v at revision %d, want fresh at revision 1", n.id, n.Fresh(), n.Current().Revision)
			}
		}
	})
}

// TestInvalidValuesAreRejected guards against a malformed or invalid value from a
// peer that replaces the configuration, and against a small compressed value that
// exhausts the memory.
func TestInvalidValuesAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(1, 3)
		defer sim.stop()
		invalid := envelope{Revision: 9, ChangeID: "c", Resources: []resource.Resource{
			{Kind: resource.KindVersion, Name: "v", Spec: &resource.Version{Model: "absent"}}}}
		bomb := envelope{Revision: 9, ChangeID: string(make([]byte, maxDecodedBytes))}
		for name, env := range map[string]envelope{"invalid": invalid, "bomb": bomb} {
			value, err := encode(env)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range [][]byte{value, value[:len(value)/2], nil} {
				err := sim.hosts[0].Call(t.Context(), "0", MethodPush, pushRequest{Revision: 9, Value: v}, nil)
				if !errors.Is(err, ErrValue) || sim.hosts[0].Current().Revision != 0 {
					t.Errorf("%s: got %v at revision %d, want ErrValue at revision 0", name, err, sim.hosts[0].Current().Revision)
				}
			}
		}
	})
}
