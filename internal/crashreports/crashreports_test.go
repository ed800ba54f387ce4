package crashreports_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/broadcast"
	"github.com/corianderlever/corianderlever/internal/crashreports"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/peer"
)

// badPart is the prompt part that crashes endpoints in the tests.
const badPart = limiter.Hash(1)

var errDown = errors.New("host is down")

// network connects hosts. Each takes all others for alive, also those that are down.
type network struct {
	clock   *clockwork.FakeClock
	members []membership.Member
	hosts   map[string]*host
	down    []string
	told    chan string // the hosts that got MethodMarks
}

type host struct {
	guard    *limiter.PartGuard
	handlers map[string]peer.Handler
}

// Handle implements membership.Registrar.
func (h *host) Handle(method string, handler peer.Handler) { h.handlers[method] = handler }

func newNetwork(t *testing.T, names, down []string) *network {
	n := &network{clock: clockwork.NewFakeClockAt(time.Unix(1_000_000, 0)), hosts: make(map[string]*host), down: down, told: make(chan string, 100)}
	for _, name := range names {
		n.members = append(n.members, membership.Member{Host: name, PeerAddress: name, FailureDomain: name[:1]})
	}
	for i, name := range names {
		h := &host{guard: limiter.NewPartGuard(n.clock, slog.New(slog.DiscardHandler), true), handlers: make(map[string]peer.Handler)}
		n.hosts[name] = h
		calls := broadcast.New(broadcast.Options{
			Self: name, Members: n.allMembers, Call: n.caller(name), Rand: rand.New(rand.NewPCG(1, uint64(i))), Logger: slog.New(slog.DiscardHandler),
		})
		exchange := crashreports.New(crashreports.Options{
			Self: name, Members: n.allMembers, Call: n.caller(name), CallAll: calls.All, Guard: h.guard,
			Clock: n.clock, Logger: slog.New(slog.DiscardHandler),
		})
		exchange.Register(h)
		if !slices.Contains(down, name) {
			go func() { _ = exchange.Run(t.Context()) }()
		}
	}
	return n
}

func (n *network) allMembers() []membership.Member { return slices.Clone(n.members) }

// caller returns the function by which a host calls others.
func (n *network) caller(from string) func(ctx context.Context, address, method string, params, result any) error {
	return func(ctx context.Context, address, method string, params, _ any) error {
		if slices.Contains(n.down, address) {
			return errDown
		}
		data, err := json.Marshal(params)
		if err != nil {
			return err
		}
		_, err = n.hosts[address].handlers[method](ctx, from, data)
		if method == crashreports.MethodMarks {
			n.told <- address
		}
		return err
	}
}

// TestCrashesAreKnownAlthoughCollectorsAreDown guards against reports that are lost because
// the hosts that collect them are down and the others have not noticed yet: all hosts of
// one failure domain, or the first collectors of all.
func TestCrashesAreKnownAlthoughCollectorsAreDown(t *testing.T) {
	names := []string{"a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3", "b-4", "c-1", "c-2", "c-3", "c-4"}
	for name, down := range map[string][]string{
		"none":                 nil,
		"a failure domain":     {"a-1", "a-2", "a-3", "a-4"},
		"the first collectors": {"a-1", "b-1", "c-1"},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, names, down)
			for i, reporter := range []string{"b-2", "b-3", "b-4", "c-3", "c-4"} {
				endpoint := limiter.Hash(10 + i)
				n.hosts[reporter].guard.Start(endpoint, []limiter.Hash{badPart}).End()
				n.hosts[reporter].guard.RecordCrash(endpoint)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for {
				unaware := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
					_, rejects := n.hosts[name].guard.Rejects([]limiter.Hash{badPart})
					return rejects || slices.Contains(down, name)
				})
				if len(unaware) == 0 {
					return
				}
				select {
				case <-n.told:
				case <-ctx.Done():
					t.Fatalf("%v do not reject the part that five hosts have seen crash endpoints", unaware)
				}
			}
		})
	}
}
