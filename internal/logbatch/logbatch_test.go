package logbatch

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// line is one line of the log.
type line struct {
	at      time.Time
	message string
	attrs   map[string]string
}

// items returns the changes that a line reports.
func (l line) items() []string {
	if ids, ok := l.attrs["endpoints"]; ok {
		return strings.Split(ids, " ")
	}
	return []string{l.attrs["endpoint"] + "@" + l.attrs["revision"]}
}

// recorder is a log handler that keeps the lines.
type recorder struct {
	slog.Handler
	mu    sync.Mutex
	lines []line
	// during, if set, is called by each write.
	during func()
}

func (r *recorder) Handle(_ context.Context, record slog.Record) error {
	if r.during != nil {
		r.during()
	}
	l := line{at: time.Now(), message: record.Message, attrs: make(map[string]string)}
	record.Attrs(func(a slog.Attr) bool {
		l.attrs[a.Key] = a.Value.String()
		return true
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, l)
	return nil
}

func newLog() (*Log, *recorder) {
	r := &recorder{Handler: slog.NewTextHandler(nil, nil)}
	return New(clockwork.NewRealClock(), slog.New(r), "endpoint"), r
}

var (
	found = Kind{Level: slog.LevelInfo, Message: "endpoint found"}
	gone  = Kind{Level: slog.LevelInfo, Message: "endpoint gone"}
)

func change(k Kind, id string, revision int, service string) Change {
	return Change{Kind: k, ID: id, Common: []slog.Attr{slog.String("service", service)}, Own: []slog.Attr{slog.Int("revision", revision)}}
}

// TestSingleChangeHasItsOwnLine guards against single changes that are logged late, and
// against lines that lack the attributes of the change.
func TestSingleChangeHasItsOwnLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, r := newLog()
		time.Sleep(time.Minute)
		l.Add(change(found, "a", 7, "s"))
		time.Sleep(gatherTime)
		synctest.Wait()
		if len(r.lines) != 1 {
			t.Fatalf("%d lines after %s, want 1", len(r.lines), gatherTime)
		}
		want := map[string]string{"endpoint": "a", "revision": "7", "service": "s", "age_ms": "50"}
		if diff := cmp.Diff(want, r.lines[0].attrs); diff != "" {
			t.Error(diff)
		}
	})
}

// TestBurstSharesLines guards against one line for each change of a burst, and against
// lines of unbounded length.
func TestBurstSharesLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, r := newLog()
		const changes = 1000
		for i := range changes {
			l.Add(change(found, fmt.Sprintf("i-%08x", i), i, "s"))
		}
		l.Flush()
		count := 0
		for _, line := range r.lines {
			count += len(line.items())
			if got := len(line.attrs["endpoints"]); got > maxSubjectsBytes {
				t.Errorf("a list of %d bytes, want at most %d", got, maxSubjectsBytes)
			}
			if got := fmt.Sprint(len(line.items())); got != line.attrs["count"] {
				t.Errorf("count is %s of %s", line.attrs["count"], got)
			}
		}
		if count != changes || len(r.lines) > 5 {
			t.Errorf("%d changes in %d lines, want %d in at most 5", count, len(r.lines), changes)
		}
	})
}

// TestAddDoesNotWaitForWrites guards against a registry that stands still while its changes
// are logged.
func TestAddDoesNotWaitForWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, r := newLog()
		r.during = func() { time.Sleep(interval / 2) }
		l.Add(change(found, "a", 1, "s"))
		time.Sleep(gatherTime)
		synctest.Wait() // the write has begun
		before := time.Now()
		l.Add(change(gone, "a", 2, "s"))
		if waited := time.Since(before); waited != 0 {
			t.Errorf("a change waited %s for a write", waited)
		}
		time.Sleep(2 * interval)
		synctest.Wait()
		if got := len(r.lines); got != 2 {
			t.Errorf("%d lines, want 2", got)
		}
	})
}

// added is a change that a test has passed to the log.
type added struct {
	at   time.Time
	kind string
	item string
}

// TestEachChangeIsLoggedOnceAndInOrder guards against changes that are lost, repeated, late
// or out of order for their endpoint, and against more lines than the bursts need.
func TestEachChangeIsLoggedOnceAndInOrder(t *testing.T) {
	services := []string{"s", "t"}
	kinds := []Kind{found, gone}
	rapid.Check(t, func(rt *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,900}`), 1, 20, rapid.ID).Draw(rt, "ids")
		waits := rapid.SliceOf(rapid.IntRange(-2000, 1200)).Draw(rt, "waits")
		draws := make([]Change, len(waits))
		for i := range draws {
			draws[i] = change(rapid.SampledFrom(kinds).Draw(rt, "kind"), rapid.SampledFrom(ids).Draw(rt, "id"), i, rapid.SampledFrom(services).Draw(rt, "service"))
		}
		synctest.Test(t, func(*testing.T) {
			l, r := newLog()
			start := time.Now()
			want := make(map[string][]added)
			for i, c := range draws {
				time.Sleep(max(0, time.Duration(waits[i])*time.Millisecond))
				want[c.ID] = append(want[c.ID], added{at: time.Now(), kind: c.Kind.Message, item: c.item()})
				l.Add(c)
			}
			l.Flush()
			checkChanges(rt, want, r.lines)
			checkLines(rt, r.lines, len(services)*len(kinds), time.Since(start))
		})
	})
}

// checkChanges compares the changes of each endpoint with those that were logged.
func checkChanges(rt *rapid.T, want map[string][]added, lines []line) {
	got := make(map[string][]added)
	for _, l := range lines {
		for _, item := range l.items() {
			id, _, _ := strings.Cut(item, "@")
			got[id] = append(got[id], added{at: l.at, kind: l.message, item: item})
		}
	}
	for id, changes := range want {
		if len(got[id]) != len(changes) {
			rt.Fatalf("%d changes of %s logged, want %d", len(got[id]), id, len(changes))
		}
		for i, c := range changes {
			logged := got[id][i]
			if logged.kind != c.kind || logged.item != c.item {
				rt.Fatalf("change %d of %s logged as %s %s, want %s %s", i, id, logged.kind, logged.item, c.kind, c.item)
			}
			if late := logged.at.Sub(c.at); late > interval {
				rt.Fatalf("change %s logged after %s", c.item, late)
			}
		}
		delete(got, id)
	}
	if len(got) > 0 {
		rt.Fatalf("changes of other endpoints logged: %v", got)
	}
}

// checkLines checks how often and how much was written.
func checkLines(rt *rapid.T, lines []line, groups int, took time.Duration) {
	flushes := make(map[time.Time][]line)
	for _, l := range lines {
		flushes[l.at] = append(flushes[l.at], l)
		if items := l.items(); len(items) > 1 && len(strings.Join(items, " ")) > maxSubjectsBytes {
			rt.Fatalf("a line of %d changes is too long", len(items))
		}
	}
	if most := int(took/interval) + 2; len(flushes) > most {
		rt.Fatalf("written %d times in %s, want at most %d", len(flushes), took, most)
	}
	for _, written := range flushes {
		repeats, bytes := make(map[string]int), 0
		most := 0
		for _, l := range written {
			for _, item := range l.items() {
				id, _, _ := strings.Cut(item, "@")
				repeats[id]++
				most = max(most, repeats[id])
				bytes += len(item) + 1
			}
		}
		if limit := groups*most + 2*bytes/maxSubjectsBytes; len(written) > limit {
			rt.Fatalf("%d lines for %d bytes and at most %d changes of an endpoint, want at most %d", len(written), bytes, most, limit)
		}
	}
}
