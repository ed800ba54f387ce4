package claim

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// sweepDepth is how far behind the retention a sweep looks for pages that
// earlier sweeps missed or that a stalled host wrote late.
const sweepDepth = 7 * 24 * time.Hour

// CleanUp retries the undos that could not be stored yet and drops expired won
// claims that were never completed. Every host calls it about every 10 s.
func (c *Claimer) CleanUp() {
	c.mu.Lock()
	for id, o := range c.won {
		if c.age(o.place) > Retention {
			delete(c.won, id)
		}
	}
	pages := slices.Collect(maps.Keys(c.undos))
	c.mu.Unlock()
	slices.Sort(pages)
	for _, key := range pages {
		c.settlePage(key)
	}
}

func (c *Claimer) settlePage(key string) {
	c.mu.Lock()
	ops := c.undos[key]
	c.mu.Unlock()
	if len(ops) == 0 {
		return
	}
	shard := ops[0].shard
	c.flushing[shard].Lock()
	defer c.flushing[shard].Unlock()
	if c.age(ops[0].place) > Retention {
		c.mu.Lock()
		delete(c.undos, key)
		c.mu.Unlock()
		return
	}
	c.settle(key, nil)
}

// Sweep removes the expired pages, which takes up to 250 calls. One host calls
// it, about every hour; more hosts do no harm.
func (c *Claimer) Sweep(ctx context.Context) error {
	limit := c.clock.Now().UTC().Add(-Retention - removalSlack)
	for _, span := range expiredSpans(limit) {
		for shard := range shards {
			if err := c.sweepSpan(ctx, shard, span, limit); err != nil {
				return err
			}
		}
	}
	return nil
}

// expiredSpans returns the prefixes of the days that have expired as a whole
// and of the hours of the last one.
func expiredSpans(limit time.Time) []string {
	var spans []string
	today := limit.Truncate(24 * time.Hour)
	for day := today.Add(-sweepDepth); day.Before(today); day = day.Add(24 * time.Hour) {
		spans = append(spans, day.Format(dayFormat))
	}
	for hour := today; !hour.After(limit); hour = hour.Add(time.Hour) {
		spans = append(spans, hour.Format(hourFormat))
	}
	return spans
}

func (c *Claimer) sweepSpan(ctx context.Context, shard int, span string, limit time.Time) error {
	prefix := pagePrefix(shard)
	entries, _, err := c.store.List(ctx, prefix+span)
	if err != nil {
		return errors.Wrap(err, "claim: list expired pages")
	}
	for _, e := range entries {
		start, err := time.Parse(windowFormat, e.Key[len(prefix):])
		if err != nil || start.Add(window).After(limit) {
			continue
		}
		err = c.store.Delete(ctx, e.Key, e.Revision)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return errors.Wrap(err, "claim: remove expired page")
		}
	}
	return nil
}
