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

// blockingPeers lets a test decide when each message is answered, and how.
type blockingPeers struct {
	arrived chan Copies
	answers chan error

	mu   sync.Mutex
	held map[ID]string
}

func (p *blockingPeers) Pick(exclude ...string) string { return fmt.Sprintf("peer-%d", len(exclude)) }

func (p *blockingPeers) Hold(_ context.Context, peer string, c Copies) error {
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

func (p *blockingPeers) Release(context.Context, string, Released) error { return nil }

// TestGroupedRecordsAreHeldBeforeOpenReturns guards against a request that
// proceeds before a peer has its record, and against records that are lost or
// sent one by one instead of in a shared message, also if that message fails.
func TestGroupedRecordsAreHeldBeforeOpenReturns(t *testing.T) {
	const others = 20
	for _, failed := range []bool{false, true} {
		t.Run(fmt.Sprintf("failed=%t", failed), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			clock := clockwork.NewFakeClock()
			p := &blockingPeers{arrived: make(chan Copies), answers: make(chan error), held: make(map[ID]string)}
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
						t.Errorf("Open of request %s returned before a peer had its record", key)
					}
				})
			}
			open("first")
			first := <-p.arrived
			for i := range others {
				open(fmt.Sprint(i))
			}
			for waitingRecords(l, "peer-0") < others && ctx.Err() == nil {
				runtime.Gosched()
			}
			p.answers <- nil
			second := <-p.arrived
			if len(first.Records) != 1 || len(second.Records) != others || second.Sequence <= first.Sequence {
				t.Fatalf("messages %d and %d hold %d and %d records, want 1 and %d with rising sequence",
					first.Sequence, second.Sequence, len(first.Records), len(second.Records), others)
			}
			if failed {
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
			for queueCount(l) > 0 && ctx.Err() == nil {
				runtime.Gosched()
			}
			if n := queueCount(l); n > 0 {
				t.Errorf("%d hold queues left after all messages were answered, want 0", n)
			}
		})
	}
}

func queueCount(l *Ledger) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.holdQueues)
}

func waitingRecords(l *Ledger, peer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.holdQueues[peer]; q != nil && q.waiting != nil {
		return len(q.waiting.ids)
	}
	return 0
}
