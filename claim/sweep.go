package claim

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// sweepLookback is how far beyond the retention time a sweep looks for pages that
// earlier sweeps missed or that a stalled host wrote late.
const sweepLookback = 7 * 24 * time.Hour

// CleanUp retries the undos that could not be stored yet and drops expired won
// claims that were never completed. Every host calls it about every 10 s.
func (c *Claimer) CleanUp() {
	c.mu.Lock()
	for id, o := range c.won {
		if c.age(o.location) > Retention {
			delete(c.won, id)
		}
	}
	pages := slices.Collect(maps.Keys(c.undos))
	c.mu.Unlock()
	slices.Sort(pages)
	for _, key := range pages {
		c.commitUndos(key)
	}
}

func (c *Claimer) commitUndos(key string) {
	c.mu.Lock()
	ops := c.undos[key]
	c.mu.Unlock()
	if len(ops) == 0 {
		return
	}
	shard := ops[0].shard
	c.flushing[shard].Lock()
	defer c.flushing[shard].Unlock()
	if c.age(ops[0].location) > Retention {
		c.mu.Lock()
		delete(c.undos, key)
		c.mu.Unlock()
		return
	}
	c.commitPage(key, nil)
}

// Sweep removes the expired pages, which takes up to 250 store calls. One host
// calls it about every hour; calls by several hosts do no harm.
func (c *Claimer) Sweep(ctx context.Context) error {
	cutoff := c.clock.Now().UTC().Add(-Retention - removalGrace)
	for _, span := range expiredSpans(cutoff) {
		for shard := range shardCount {
			if err := c.sweepSpan(ctx, shard, span, cutoff); err != nil {
				return err
			}
		}
	}
	return nil
}

// expiredSpans returns the key prefixes of the days that ended before cutoff and of
// the hours of the day of cutoff up to cutoff.
func expiredSpans(cutoff time.Time) []string {
	var spans []string
	cutoffDay := cutoff.Truncate(24 * time.Hour)
	for day := cutoffDay.Add(-sweepLookback); day.Before(cutoffDay); day = day.Add(24 * time.Hour) {
		spans = append(spans, day.Format(dayLayout))
	}
	for hour := cutoffDay; !hour.After(cutoff); hour = hour.Add(time.Hour) {
		spans = append(spans, hour.Format(hourLayout))
	}
	return spans
}

func (c *Claimer) sweepSpan(ctx context.Context, shard int, span string, cutoff time.Time) error {
	prefix := pagePrefix(shard)
	entries, _, err := c.store.List(ctx, prefix+span)
	if err != nil {
		return errors.Wrap(err, "claim: list expired pages")
	}
	for _, e := range entries {
		start, err := time.Parse(windowLayout, e.Key[len(prefix):])
		if err != nil || start.Add(pageWindow).After(cutoff) {
			continue
		}
		err = c.store.Delete(ctx, e.Key, e.Revision)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return errors.Wrap(err, "claim: remove expired page")
		}
	}
	return nil
}
