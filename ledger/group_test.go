package ledger

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv/memkv"
)

// gatedPeers lets a test decide when and how a message is answered.
type gatedPeers struct {
	arrived chan Copies
	answers chan error

	mu   sync.Mutex
	held map[ID]string
}

func (p *gatedPeers) Pick(not ...string) string { return fmt.Sprintf("peer-%d", len(not)) }

func (p *gatedPeers) Hold(_ context.Context, peer string, c Copies) error {
	p.arrived <- c
	if err := <-p.answers; err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range c.Records {
		p.held[r.ID] = peer
	}
	return nil
}

func (p *gatedPeers) Release(context.Context, string, Released) error { return nil }

// TestGroupedRecordsAreHeldBeforeOpenReturns guards against a request that
// goes on before its peer has the record, and against records that are lost or
// sent one by one when they share a message, also when the peer refuses it.
func TestGroupedRecordsAreHeldBeforeOpenReturns(t *testing.T) {
	const others = 20
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused=%t", refused), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			clock := clockwork.NewFakeClock()
			p := &gatedPeers{arrived: make(chan Copies), answers: make(chan error), held: make(map[ID]string)}
			l := New(memkv.New(clock), clock, p, Config{Host: "h", Logger: quiet})
			var wg sync.WaitGroup
			open := func(key string) {
				wg.Go(func() {
					id := RecordID("team", key)
					if err := l.Open(ctx, Record{ID: id}); err != nil {
						t.Error(err)
					}
					p.mu.Lock()
					defer p.mu.Unlock()
					if p.held[id] == "" {
						t.Errorf("request %s goes on before a peer has its record", key)
					}
				})
			}
			open("first")
			first := <-p.arrived
			for i := range others {
				open(fmt.Sprint(i))
			}
			for waiting(l, "peer-0") < others && ctx.Err() == nil {
				runtime.Gosched()
			}
			p.answers <- nil
			second := <-p.arrived
			if len(first.Records) != 1 || len(second.Records) != others || second.Sequence <= first.Sequence {
				t.Fatalf("messages %d and %d with %d and %d records, want 1 and %d in order",
					first.Sequence, second.Sequence, len(first.Records), len(second.Records), others)
			}
			if refused {
				p.answers <- errors.New("injected: no reply")
				retried := 0
				for retried < others {
					retried += len((<-p.arrived).Records)
					p.answers <- nil
				}
			} else {
				p.answers <- nil
			}
			wg.Wait()
			for queues(l) > 0 && ctx.Err() == nil {
				runtime.Gosched()
			}
			if n := queues(l); n > 0 {
				t.Errorf("%d queues are left without messages", n)
			}
		})
	}
}

func queues(l *Ledger) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.holds)
}

func waiting(l *Ledger, peer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.holds[peer]; q != nil && q.waiting != nil {
		return len(q.waiting.ids)
	}
	return 0
}
