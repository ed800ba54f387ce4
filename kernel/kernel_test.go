package kernel

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

type fakeService struct {
	name     string
	requires []string
	failing  bool
	log      *[]string
}

func (s *fakeService) Name() string       { return s.name }
func (s *fakeService) Requires() []string { return s.requires }
func (s *fakeService) Start(context.Context) error {
	if s.failing {
		return errors.New("injected failure")
	}
	*s.log = append(*s.log, "start "+s.name)
	return nil
}
func (s *fakeService) Stop(context.Context) error {
	*s.log = append(*s.log, "stop "+s.name)
	return nil
}

// TestOrder guards against a start order that ignores dependencies, a stop order
// that is not its reverse, and started services that stay up after a failed start.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "services")
		var log []string
		var services []Service
		for i := range n {
			s := &fakeService{name: fmt.Sprint(i), log: &log}
			for j := range i { // edges to lower numbers only: no cycle
				if rapid.Bool().Draw(t, "edge") {
					s.requires = append(s.requires, fmt.Sprint(j))
				}
			}
			services = append(services, s)
		}
		failing := rapid.IntRange(-1, n-1).Draw(t, "failing")
		if failing >= 0 {
			services[failing].(*fakeService).failing = true
		}
		k := New()
		if err := k.Register(rapid.Permutation(services).Draw(t, "order")...); err != nil {
			t.Fatal(err)
		}
		err := k.Start(context.Background())
		if (err != nil) != (failing >= 0) {
			t.Fatalf("start returned error %v, want an error only if the failing service, %d, is not -1", err, failing)
		}
		if err == nil {
			checkDependencies(t, services, log)
			if err := k.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		checkReversed(t, log)
	})
}

func checkDependencies(t *rapid.T, services []Service, log []string) {
	for _, s := range services {
		for _, dep := range s.(*fakeService).requires {
			if slices.Index(log, "start "+dep) > slices.Index(log, "start "+s.Name()) {
				t.Fatalf("%s started before %s: %v", s.Name(), dep, log)
			}
		}
	}
}

func checkReversed(t *rapid.T, log []string) {
	for i, entry := range log[:len(log)/2] {
		want := "stop " + entry[len("start "):]
		if log[len(log)-1-i] != want {
			t.Fatalf("services did not stop in reverse start order: %v", log)
		}
	}
	if len(log)%2 != 0 {
		t.Fatalf("a started service was not stopped: %v", log)
	}
}

// TestStartUpErrors guards against a kernel that starts although a service is missing
// or dependencies form a cycle, and against accepting a duplicate name or a lookup
// with the wrong type.
func TestStartUpErrors(t *testing.T) {
	var log []string
	service := func(name string, requires ...string) Service {
		return &fakeService{name: name, requires: requires, log: &log}
	}
	cases := map[string]struct {
		services []Service
		want     error
	}{
		"missing": {[]Service{service("a", "b")}, ErrMissing},
		"cycle":   {[]Service{service("a", "b"), service("b", "a")}, ErrCycle},
		"self":    {[]Service{service("a", "a")}, ErrCycle},
	}
	for name, c := range cases {
		k := New()
		if err := k.Register(c.services...); err != nil {
			t.Fatal(err)
		}
		if err := k.Start(context.Background()); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", name, err, c.want)
		}
	}
	k := New()
	if err := k.Register(service("a"), service("a")); !errors.Is(err, ErrDuplicate) {
		t.Errorf("duplicate: got error %v, want ErrDuplicate", err)
	}
	if _, err := Lookup[Validator](k, "a"); !errors.Is(err, ErrType) {
		t.Errorf("type: got error %v, want ErrType", err)
	}
	if _, err := Lookup[Starter](k, "a"); err != nil {
		t.Errorf("lookup: got error %v, want none", err)
	}
}

// waitingService waits in Start until its context ends.
type waitingService struct{ fakeService }

func (s *waitingService) Start(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// stoppingService records the state of the context of Stop.
type stoppingService struct {
	fakeService
	stopped error
}

func (s *stoppingService) Stop(ctx context.Context) error {
	s.stopped = ctx.Err()
	if _, ok := ctx.Deadline(); !ok && s.stopped == nil {
		s.stopped = errors.New("no bound")
	}
	return nil
}

// TestStopDuringStartLeavesTimeToStop guards against services that get no time to stop
// because the start was cancelled.
func TestStopDuringStartLeavesTimeToStop(t *testing.T) {
	var log []string
	first := &stoppingService{fakeService: fakeService{name: "first", log: &log}, stopped: errors.New("not stopped")}
	second := &waitingService{fakeService{name: "second", requires: []string{"first"}, log: &log}}
	k := New()
	if err := k.Register(first, second); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := k.Start(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("start returned %v, want the cancellation", err)
	}
	if first.stopped != nil {
		t.Errorf("the service that had started was stopped with: %v", first.stopped)
	}
}
