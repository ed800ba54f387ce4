package httpkv_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/httpkv"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

var bg = context.Background()

// eventTimeout turns a lost event into a test failure instead of a hang.
const eventTimeout = 10 * time.Second

// implementations holds a constructor for each implementation of kv.KV. It returns
// the implementation and its underlying store, which uses the clock.
var implementations = map[string]func(testing.TB, clockwork.Clock) (kv.KV, *memkv.Store){
	"memkv": func(_ testing.TB, clock clockwork.Clock) (kv.KV, *memkv.Store) {
		s := memkv.New(clock)
		return s, s
	},
	"httpkv": func(t testing.TB, clock clockwork.Clock) (kv.KV, *memkv.Store) {
		s := memkv.New(clock)
		srv := httptest.NewServer(httpkv.NewHandler(s))
		t.Cleanup(srv.Close)
		return httpkv.NewClient(srv.URL, srv.Client()), s
	},
}

// model is the oracle: a map with revisions and leases.
type model struct {
	rev     int64
	entries map[string]kv.Entry
	leases  map[kv.LeaseID]time.Time
}

func (m *model) expire(now time.Time) {
	for id, end := range m.leases {
		if !now.Before(end) {
			m.endLease(id)
		}
	}
}

func (m *model) endLease(id kv.LeaseID) {
	delete(m.leases, id)
	for key, e := range m.entries {
		if e.Lease == id {
			m.rev++
			delete(m.entries, key)
		}
	}
}

// TestConformance guards against an implementation whose compare-and-swap, leases
// or reads differ from those of a map with revisions, and against a watch that
// loses, duplicates or reorders changes.
func TestConformance(t *testing.T) {
	for name, newKV := range implementations {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { checkConformance(t, rt, newKV) })
		})
	}
}

func checkConformance(t *testing.T, rt *rapid.T, newKV func(testing.TB, clockwork.Clock) (kv.KV, *memkv.Store)) {
	const ttl = 10 * time.Second
	clock := clockwork.NewFakeClock()
	client, _ := newKV(t, clock)
	m := &model{entries: map[string]kv.Entry{}, leases: map[kv.LeaseID]time.Time{}}
	key := rapid.SampledFrom([]string{"a/1", "a/2", "b/1"})
	lease := rapid.Int64Range(0, 3)
	rt.Repeat(map[string]func(*rapid.T){
		"": func(rt *rapid.T) {
			m.expire(clock.Now())
			entries, rev, err := client.List(bg, "a/")
			want := m.list("a/")
			if diff := cmp.Diff(want, entries, cmpopts.EquateEmpty()); err != nil || rev != m.rev || diff != "" {
				rt.Fatalf("List: error %v, revision %d, want revision %d, diff (-want +got) %s", err, rev, m.rev, diff)
			}
		},
		"cas": func(rt *rapid.T) {
			k, id := key.Draw(rt, "key"), kv.LeaseID(lease.Draw(rt, "lease"))
			expect := rapid.SampledFrom([]int64{0, m.entries[k].Revision, m.rev}).Draw(rt, "expect")
			value := []byte(fmt.Sprint("v", m.rev))
			rev, err := client.CompareAndSwap(bg, k, expect, value, id)
			_, live := m.leases[id]
			switch {
			case expect != m.entries[k].Revision:
				expectErr(rt, err, kv.ErrConflict)
			case id != 0 && !live:
				expectErr(rt, err, kv.ErrLeaseNotFound)
			default:
				m.rev++
				m.entries[k] = kv.Entry{Key: k, Value: value, Revision: m.rev, Lease: id}
				if err != nil || rev != m.rev {
					rt.Fatalf("CompareAndSwap: revision %d, error %v, want the next revision", rev, err)
				}
			}
		},
		"delete": func(rt *rapid.T) {
			k := key.Draw(rt, "key")
			expect := rapid.SampledFrom([]int64{m.entries[k].Revision, m.rev}).Draw(rt, "expect")
			err := client.Delete(bg, k, expect)
			e, ok := m.entries[k]
			switch {
			case !ok:
				expectErr(rt, err, kv.ErrNotFound)
			case e.Revision != expect:
				expectErr(rt, err, kv.ErrConflict)
			default:
				expectErr(rt, err, nil)
				m.rev++
				delete(m.entries, k)
			}
		},
		"get": func(rt *rapid.T) {
			k := key.Draw(rt, "key")
			e, err := client.Get(bg, k)
			want, ok := m.entries[k]
			if !ok {
				expectErr(rt, err, kv.ErrNotFound)
			} else if diff := cmp.Diff(want, e); err != nil || diff != "" {
				rt.Fatalf("Get: error %v, diff (-want +got) %s", err, diff)
			}
		},
		"grant": func(rt *rapid.T) {
			id, err := client.GrantLease(bg, ttl)
			expectErr(rt, err, nil)
			m.leases[id] = clock.Now().Add(ttl)
		},
		"keep": func(rt *rapid.T) {
			id := kv.LeaseID(lease.Draw(rt, "lease"))
			err := client.KeepAlive(bg, id)
			if _, ok := m.leases[id]; !ok {
				expectErr(rt, err, kv.ErrLeaseNotFound)
				return
			}
			expectErr(rt, err, nil)
			m.leases[id] = clock.Now().Add(ttl)
		},
		"revoke": func(rt *rapid.T) {
			id := kv.LeaseID(lease.Draw(rt, "lease"))
			err := client.RevokeLease(bg, id)
			if _, ok := m.leases[id]; !ok {
				expectErr(rt, err, kv.ErrLeaseNotFound)
				return
			}
			expectErr(rt, err, nil)
			m.endLease(id)
		},
		"advance": func(*rapid.T) { clock.Advance(3 * time.Second) },
		"watch": func(rt *rapid.T) {
			if m.rev == 0 {
				return
			}
			from := rapid.Int64Range(0, m.rev-1).Draw(rt, "from")
			checkWatch(rt, client, from, m.rev)
		},
	})
}

func (m *model) list(prefix string) []kv.Entry {
	var out []kv.Entry
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// checkWatch fails unless a watch sends every revision in (from, to] in order.
func checkWatch(rt *rapid.T, client kv.KV, from, to int64) {
	ctx, cancel := context.WithTimeout(bg, eventTimeout)
	defer cancel()
	ch, err := client.Watch(ctx, "", from)
	expectErr(rt, err, nil)
	for rev := from + 1; rev <= to; rev++ {
		ev, ok := <-ch
		if !ok || ev.Entry.Revision != rev {
			rt.Fatalf("watch from %d: got %v %v, want revision %d", from, ev, ok, rev)
		}
	}
}

func expectErr(rt *rapid.T, err, want error) {
	if !errors.Is(err, want) {
		rt.Fatalf("error %v, want %v", err, want)
	}
}

// TestWatchLifecycle guards against a replay that drops events when there are more
// than the buffer holds, a watch that silently skips compacted revisions, and a
// channel that stays open after its context ended.
func TestWatchLifecycle(t *testing.T) {
	const writes = 600 // more than the buffer of a watch
	for name, newKV := range implementations {
		t.Run(name, func(t *testing.T) {
			client, store := newKV(t, clockwork.NewFakeClock())
			for i := range writes {
				if _, err := client.CompareAndSwap(bg, fmt.Sprint("k", i), 0, []byte("v"), 0); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithTimeout(bg, eventTimeout)
			ch, err := client.Watch(ctx, "k", 0)
			if err != nil {
				t.Fatal(err)
			}
			for i := range writes {
				if ev := <-ch; ev.Entry.Revision != int64(i+1) {
					t.Fatalf("event %d has revision %d, want events with consecutive revisions", i, ev.Entry.Revision)
				}
			}
			cancel()
			ctx, cancel = context.WithTimeout(bg, eventTimeout)
			defer cancel()
			if _, ok := <-ch; ok {
				t.Fatal("watch sent an event after its context was cancelled")
			}
			store.Compact(5)
			if _, err := client.Watch(ctx, "k", 4); !errors.Is(err, kv.ErrCompacted) {
				t.Fatalf("watch below the compacted revision: got error %v, want ErrCompacted", err)
			}
			ok, stop := context.WithTimeout(bg, eventTimeout)
			defer stop()
			if ch, err = client.Watch(ok, "k", 5); err != nil || (<-ch).Entry.Revision != 6 {
				t.Fatalf("watch at the compacted revision: got error %v, want the event of revision 6", err)
			}
		})
	}
}

// TestErrorClass guards against a lost reply that is reported as ErrUnavailable, after
// which a write that took effect would be retried, and against a refused connection
// that is reported as ErrUnknown, after which a request that certainly did not run
// would be rejected as unknown.
func TestErrorClass(t *testing.T) {
	store := memkv.New(clockwork.NewRealClock())
	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		httpkv.NewHandler(store).ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer cut.Close()
	otherServer := httptest.NewServer(http.NotFoundHandler())
	defer otherServer.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := "http://" + ln.Addr().String()
	ln.Close()
	for name, c := range map[string]struct {
		url         string
		write, read error
	}{
		"reply cut":     {cut.URL, kv.ErrUnknown, kv.ErrUnavailable},
		"foreign reply": {otherServer.URL, kv.ErrUnknown, kv.ErrUnavailable},
		"refused":       {refused, kv.ErrUnavailable, kv.ErrUnavailable},
	} {
		client := httpkv.NewClient(c.url, nil)
		if _, err := client.CompareAndSwap(bg, "k", 0, []byte("v"), 0); !errors.Is(err, c.write) {
			t.Errorf("%s: write: got error %v, want %v", name, err, c.write)
		}
		if _, err := client.Get(bg, "k"); !errors.Is(err, c.read) {
			t.Errorf("%s: read: got error %v, want %v", name, err, c.read)
		}
	}
	if _, err := store.Get(bg, "k"); err != nil {
		t.Errorf("Get after the write whose reply was cut: got error %v, want the entry", err)
	}
}
