package dispatch

import (
	"context"
	"time"

	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/resource"
)

// Rater rates answers. *rating.Client implements it.
type Rater interface {
	Rate(ctx context.Context, requestID, answer string) (passed bool, err error)
}

const (
	// backgroundRatingTimeout bounds a rating in the background.
	backgroundRatingTimeout = 10 * time.Second
	// maxBackgroundRatings bounds the ratings that run in the background.
	maxBackgroundRatings = 64
)

// rate rates an answer and passes the rating to the chooser and the detector.
func (d *Dispatcher) rate(ctx context.Context, req ChatRequest, version string, escalated bool, text string) (bool, error) {
	passed, err := d.Rater.Rate(ctx, req.ID, text)
	if err != nil {
		return false, err
	}
	d.Chooser.ObserveRating(cascade.Rating{Version: version, Kind: req.Kind, Escalated: escalated, Passed: passed})
	d.Detector.Observe(version, req.Kind, passed)
	return passed, nil
}

// mustRate reports whether an answer must be rated even if the plan does not ask for a
// rating. This holds for all answers of a suspect version and of a version in roll-out,
// because the steps of a roll-out wait for ratings.
func (d *Dispatcher) mustRate(req ChatRequest, version string) bool {
	for _, r := range d.Config.Current().Rollouts {
		if r.To == version && r.State == resource.RolloutRunning {
			return true
		}
	}
	return d.Detector.RatingShare(version, req.Kind, 0) > 0
}

// rateInBackground rates an answer in the background. The answer stays unrated
// if maxBackgroundRatings are running already.
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
