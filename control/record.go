// Package control holds what a host believes of the deployment: the routing
// table, the endpoints and the roll-outs, as they stand in the key-value
// service and as peers report them.
package control

import (
	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/route"
)

// Errors of a Codec.
var (
	// ErrUnrelatedKey reports a key that does not concern the system.
	ErrUnrelatedKey = errors.New("control: foreign key")
	// ErrMalformedEntry reports an entry that cannot be understood.
	ErrMalformedEntry = errors.New("control: unreadable entry")
)

// Kind says what a key holds.
type Kind int

// The kinds of keys.
const (
	// KindUnrelated keys are not read.
	KindUnrelated Kind = iota
	// KindConfig holds the routing configuration.
	KindConfig
	// KindEndpoint holds the entry of an endpoint.
	KindEndpoint
	// KindOrder holds the order of a roll-out.
	KindOrder
	// KindStatus holds what was published about a roll-out.
	KindStatus
	// KindStep holds how far a roll-out is.
	KindStep
)

// Codec knows the keys and the formats of what others write.
type Codec interface {
	// Classify returns what a key holds, and the endpoint's ID or the service it
	// is about.
	Classify(key string) (Kind, string)
	// DecodeConfig, DecodeEndpoint, DecodeOrder and DecodeStatus read entries.
	DecodeConfig(e kv.Entry) (route.Config, error)
	DecodeEndpoint(e kv.Entry) (fleet.Endpoint, error)
	DecodeOrder(e kv.Entry) (rollout.Order, error)
	DecodeStatus(e kv.Entry) (rollout.OrderStatus, error)
	// EncodeStatus returns the key and the value that publish a status.
	EncodeStatus(s rollout.OrderStatus) (key string, value []byte, err error)
	// StepKey returns the key under which the step of a roll-out is kept.
	StepKey(service string) string
}
