// Package load is a small open-loop load generator. Requests are sent at
// their planned times even if earlier answers are late, and latency counts
// from the planned time, which corrects for coordinated omission.
package load

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/corianderlever/corianderlever/resource"
)

// ErrInvalid marks errors about a mix that fails validation.
var ErrInvalid = errors.New("load: invalid mix")

// Mix describes the requests that a generator sends.
type Mix struct {
	// Seeds are the entry addresses that the clients contact first.
	Seeds []string `json:"seeds"`
	// Rate is the total number of requests per second over all streams.
	Rate float64 `json:"rate"`
	// Duration is the time for which requests are sent.
	Duration resource.Duration `json:"duration"`
	// MaxRequests is the maximum number of requests; zero means no limit.
	MaxRequests int `json:"max_requests"`
	// Seed seeds the random arrival times and stream choices.
	Seed uint64 `json:"seed"`
	// Streams are the parts of the mix.
	Streams []Stream `json:"streams"`
}

// Stream is one part of a mix.
type Stream struct {
	// Team names the team in the summary; Key is its bearer key.
	Team string `json:"team"`
	Key  string `json:"key"`
	Rank string `json:"rank"`
	// Weight is the stream's share of the rate, relative to the other streams.
	Weight float64 `json:"weight"`
	// Model is the requested model; empty for calls to a plain service.
	Model string `json:"model"`
	// Prompt is the text of the request; a number is appended to it.
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Streamed asks for server-sent events.
	Streamed bool `json:"streamed"`
	// Service and Operation identify a call to a plain service.
	Service   string `json:"service"`
	Operation string `json:"operation"`
}

// ReadMix reads and validates a YAML mix file.
func ReadMix(file string) (Mix, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Mix{}, errors.Wrap(err, "load: read mix")
	}
	var m Mix
	if err := yaml.UnmarshalWithOptions(data, &m, yaml.Strict()); err != nil {
		return m, errors.Mark(errors.Newf("%s: %s", file, yaml.FormatError(err, false, true)), ErrInvalid)
	}
	return m, errors.Wrapf(m.Validate(), "%s", file)
}

// Validate returns an error marked ErrInvalid if a required value is missing
// or out of range.
func (m Mix) Validate() error {
	if len(m.Seeds) == 0 || m.Rate <= 0 || m.Duration <= 0 || len(m.Streams) == 0 {
		return errors.Wrap(ErrInvalid, "seeds, rate, duration and streams must be set")
	}
	for i, s := range m.Streams {
		if (s.Model == "") == (s.Service == "") {
			return errors.Wrapf(ErrInvalid, "stream %d: exactly one of model and service must be set", i)
		}
		if s.Weight <= 0 || s.Key == "" {
			return errors.Wrapf(ErrInvalid, "stream %d: weight must be positive and key set", i)
		}
	}
	return nil
}

// arrival is one planned request.
type arrival struct {
	at     time.Duration
	stream int
}

// plan draws the arrivals of a Poisson process and the stream of each, chosen
// by weight.
func (m Mix) plan(rng *rand.Rand) []arrival {
	total := 0.0
	for _, s := range m.Streams {
		total += s.Weight
	}
	var out []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / m.Rate * float64(time.Second))
		if at > m.Duration.AsDuration() || (m.MaxRequests > 0 && len(out) >= m.MaxRequests) {
			return out
		}
		pick := rng.Float64() * total
		stream := 0
		for pick >= m.Streams[stream].Weight && stream < len(m.Streams)-1 {
			pick -= m.Streams[stream].Weight
			stream++
		}
		out = append(out, arrival{at: at, stream: stream})
	}
}
