// Package demo holds the demonstration deployment that make run starts: entry hosts,
// model engines, which also rate answers, and a booking service on loopback.
package demo

import (
	"bytes"
	"crypto/sha256"
	_ "embed" // for the resources of the demonstration
	"encoding/hex"
	"time"

	"github.com/corianderlever/corianderlever/engine/fakeengine"
	"github.com/corianderlever/corianderlever/resource"
)

// TeamKey and OperatorKey are bearer keys of the demonstration.
const (
	TeamKey     = "demo-team-key"
	OperatorKey = "demo-operator-key"
)

// Names of the teams of the demonstration. Both use all models.
const (
	TeamName      = "workshop"
	OtherTeamName = "convent"
	OtherTeamKey  = "demo-other-team-key"
)

//go:embed resources.yaml
var resourcesYAML []byte

const (
	domains      = 3
	capacity     = 8
	answerTokens = 24
	tokenDelay   = 5 * time.Millisecond
	callDelay    = 5 * time.Millisecond
	cacheBlocks  = 4096
)

// KeyHash returns the hash by which resources and settings refer to a bearer key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FailureDomain returns the name of the i-th failure domain.
func FailureDomain(i int) string {
	return "domain-" + string(rune('a'+i%domains))
}

// Endpoints are the simulated endpoints of the demonstration.
type Endpoints struct {
	Engines []*fakeengine.Endpoint
	Booking *fakeengine.Endpoint
}

// StartEndpoints starts n engines, which also rate answers, and one booking
// service.
func StartEndpoints(n int) (*Endpoints, error) { return startEndpoints(n, answerTokens) }

func startEndpoints(n, answerTokens int) (*Endpoints, error) {
	out := &Endpoints{}
	for range n {
		e := fakeengine.New(fakeengine.Options{
			Versions:     []string{"small-1", "small-2", "large-1"},
			Quality:      map[string]float64{"small-1": 0.7, "small-2": 0.75, "large-1": 0.97},
			Capacity:     capacity,
			TokenDelay:   tokenDelay,
			AnswerTokens: answerTokens,
			CacheBlocks:  cacheBlocks,

			ChecksFencing: true,
		})
		if err := e.Listen("127.0.0.1:0"); err != nil {
			return out, err
		}
		out.Engines = append(out.Engines, e)
	}
	out.Booking = fakeengine.New(fakeengine.Options{
		Capacity:  capacity,
		Services:  map[string][]string{"booking": {"book", "lookup"}},
		CallDelay: callDelay,
	})
	return out, out.Booking.Listen("127.0.0.1:0")
}

// Close stops all endpoints.
func (e *Endpoints) Close() {
	for _, endpoint := range append(e.Engines, e.Booking) {
		if endpoint != nil {
			_ = endpoint.Close() // it may be closed already
		}
	}
}

// Resources returns the resources of the demonstration, including the endpoints.
func Resources(e *Endpoints) ([]resource.Resource, error) {
	list, err := resource.ParseYAML(bytes.NewReader(resourcesYAML))
	if err != nil {
		return nil, err
	}
	for i, endpoint := range e.Engines {
		list = append(list, resource.Resource{
			Kind: resource.KindEndpoint, Name: "engine-" + string(rune('a'+i)),
			Spec: &resource.Endpoint{
				Address: endpoint.Addr(), FailureDomain: FailureDomain(i), State: resource.EndpointActive,
				Versions: []string{"small-1", "small-2", "large-1"}, Concurrency: capacity, ChecksFencing: true,
			},
		})
	}
	list = append(list, resource.Resource{
		Kind: resource.KindEndpoint, Name: "desk-a",
		Spec: &resource.Endpoint{
			Address: e.Booking.Addr(), FailureDomain: FailureDomain(0), State: resource.EndpointActive,
			Service: "booking", Concurrency: capacity,
		},
	})
	for name, key := range map[string]string{TeamName: TeamKey, OtherTeamName: OtherTeamKey} {
		list = append(list, resource.Resource{
			Kind: resource.KindTeam, Name: name,
			Spec: &resource.Team{
				KeyHashes: []string{KeyHash(key)}, Weight: 1,
				Models: []string{"small", "large"}, Services: []string{"booking"},
			},
		})
	}
	resource.Sort(list)
	return list, nil
}
