package dispatch

import (
	"context"
	"time"

	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/resource"
)

// Rater rates answers; *rating.Client is one.
type Rater interface {
	Rate(ctx context.Context, requestID, answer string) (passed bool, err error)
}

const (
	// sampleTimeout bounds the rating of an answer that nobody waits for.
	backgroundRatingTimeout = 10 * time.Second
	// maxSamples bounds the ratings under way that nobody waits for.
	maxBackgroundRatings = 64
)

// rate has an answer rated and feeds the estimates and the detector.
func (d *Dispatcher) rate(ctx context.Context, req ChatRequest, version string, escalated bool, text string) (bool, error) {
	passed, err := d.Rater.Rate(ctx, req.ID, text)
	if err != nil {
		return false, err
	}
	d.Chooser.ObserveRating(cascade.Rating{Version: version, Kind: req.Kind, Escalated: escalated, Passed: passed})
	d.Detector.Observe(version, req.Kind, passed)
	return passed, nil
}

// watch tells whether an answer is rated as evidence about its version, also
// when the choice of models needs no sample: all answers of a version under
// suspicion, and of one in roll-out, whose steps wait for rated answers.
func (d *Dispatcher) mustRate(req ChatRequest, version string) bool {
	for _, r := range d.Config.Current().Rollouts {
		if r.To == version && r.State == resource.RolloutRunning {
			return true
		}
	}
	return d.Detector.RatingShare(version, req.Kind, 0) > 0
}

// rateLater has an answer rated in the background. Beyond maxSamples under
// way the answer stays unrated.
func (d *Dispatcher) rateInBackground(req ChatRequest, version string, escalated bool, text string) {
	if d.Rater == nil {
		return
	}
	select {
	case d.ratingSlots <- struct{}{}:
	default:
		return
	}
	d.background.Go(func() {
		defer func() { <-d.ratingSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), backgroundRatingTimeout)
		defer cancel()
		if _, err := d.rate(ctx, req, version, escalated, text); err != nil {
			d.metrics.decisions.WithLabelValues("sample_rating", "missing").Inc()
			return
		}
		d.metrics.decisions.WithLabelValues("sample_rating", "rated").Inc()
	})
}
