// Package control holds one host's view of the deployment: the routing table,
// the endpoints and the roll-outs, as read from the key-value store and reported
// by peers.
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
	// ErrUnrelatedKey reports a key that the router does not use.
	ErrUnrelatedKey = errors.New("control: unrelated key")
	// ErrMalformedEntry reports an entry that cannot be decoded or is invalid.
	ErrMalformedEntry = errors.New("control: malformed entry")
)

// Kind is the kind of entry that a key holds.
type Kind int

// The kinds of keys.
const (
	// KindUnrelated keys are not used by the router.
	KindUnrelated Kind = iota
	// KindConfig holds the routing configuration.
	KindConfig
	// KindEndpoint holds the registration of an endpoint.
	KindEndpoint
	// KindOrder holds the order for a roll-out, written by an operator.
	KindOrder
	// KindStatus holds the published status of a roll-out.
	KindStatus
	// KindStep holds the current step of a roll-out.
	KindStep
	// KindCrashRecord holds the prompt parts that crash endpoints.
	KindCrashRecord
	// KindEvacuation holds the order that a failure domain gets no requests. Only the
	// existence of the key counts.
	KindEvacuation
)

// Codec maps store keys to kinds and converts entries from and to the format of
// the platform that writes them.
type Codec interface {
	// Classify returns the kind of a key, and the endpoint ID, the service name or the
	// failure domain in it.
	Classify(key string) (Kind, string)
	// DecodeConfig, DecodeEndpoint, DecodeOrder and DecodeStatus decode entries of
	// these kinds.
	DecodeConfig(e kv.Entry) (route.Config, error)
	DecodeEndpoint(e kv.Entry) (fleet.Endpoint, error)
	DecodeOrder(e kv.Entry) (rollout.Order, error)
	DecodeStatus(e kv.Entry) (rollout.OrderStatus, error)
	// EncodeStatus returns the key and the value under which a status is published.
	EncodeStatus(s rollout.OrderStatus) (key string, value []byte, err error)
	// StepKey returns the key that holds the step of the service's roll-out.
	StepKey(service string) string
	// CrashRecordKey returns the key of the prompt parts that crash endpoints.
	CrashRecordKey() string
}
