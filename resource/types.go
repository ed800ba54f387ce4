// Package resource defines the resources that operators declare, their validation,
// and the immutable Snapshot that the request path reads.
package resource

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the name of a kind of resource.
type Kind string

// The kinds of resource.
const (
	KindModel    Kind = "Model"
	KindVersion  Kind = "Version"
	KindCascade  Kind = "Cascade"
	KindTeam     Kind = "Team"
	KindRank     Kind = "Rank"
	KindEndpoint Kind = "Endpoint"
	KindService  Kind = "Service"
	KindRollout  Kind = "Rollout"
	KindTerms    Kind = "Terms"
	// KindEvacuation is the kind of Evacuation.
	KindEvacuation Kind = "Evacuation"
)

// ErrInvalid reports a resource that fails validation.
var ErrInvalid = errors.New("resource: invalid")

// Duration is a time.Duration that is encoded as text, such as 1.5s.
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrapf(ErrInvalid, "duration %q", text)
	}
	*d = Duration(v)
	return nil
}

// Model is a set of versions that serve one purpose.
type Model struct {
	// Description is shown to operators.
	Description string `json:"description,omitempty"`
}

// VersionState determines whether a version may receive new work.
type VersionState string

// The states of a version.
const (
	// VersionServing receives work.
	VersionServing VersionState = "serving"
	// VersionSuspect receives 1% of its usual work after a bad-version verdict.
	VersionSuspect VersionState = "suspect"
	// VersionWithdrawn receives no new work.
	VersionWithdrawn VersionState = "withdrawn"
)

// Version is one deployable version of a model.
type Version struct {
	// Model is the name of the model that the version belongs to.
	Model string `json:"model"`
	// State determines whether the version may receive new work.
	State VersionState `json:"state,omitempty"`
	// InputCost is the supplier's price per 1,000 prompt tokens, in price units.
	InputCost float64 `json:"input_cost"`
	// OutputCost is the supplier's price per 1,000 generated tokens, in price units.
	OutputCost float64 `json:"output_cost"`
	// PassRate is the prior probability that an answer is good enough.
	PassRate float64 `json:"pass_rate,omitempty"`
	// MemoryGB is the engine memory that the version occupies, in GB. Zero means a
	// negligible amount.
	MemoryGB float64 `json:"memory_gb,omitempty"`
}

// Cascade tries cheap models first and escalates if an answer is rated poorly.
type Cascade struct {
	// Models are the names of the models in the order in which they are tried.
	Models []string `json:"models"`
	// QualityTarget is the share of answers that must be good enough.
	QualityTarget float64 `json:"quality_target"`
}

// Team is a group of callers with its own keys and permissions.
type Team struct {
	// KeyHashes are hex SHA-256 hashes of the team's bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// Models are the names of the models the team may use.
	Models []string `json:"models,omitempty"`
	// Versions, if not empty, restricts the team to these versions.
	Versions []string `json:"versions,omitempty"`
	// Services are the names of the plain services the team may call.
	Services []string `json:"services,omitempty"`
	// Ranks are the ranks the team may request. Empty means all.
	Ranks []string `json:"ranks,omitempty"`
	// Weight is the team's share within a rank, relative to other teams.
	Weight float64 `json:"weight,omitempty"`
}

// Rank is a level of urgency.
type Rank struct {
	// Priority orders the ranks; 0 is the most urgent.
	Priority int `json:"priority"`
	// Floor is the minimum share of capacity, from 0 to 1, that the rank keeps
	// when other ranks flood the queue.
	Floor float64 `json:"floor"`
	// Deadline bounds the time from arrival to the complete answer.
	Deadline Duration `json:"deadline"`
	// MaxWait bounds the time in the admission queue.
	MaxWait Duration `json:"max_wait"`
	// Worth is the value of one served request in price units. It decides whether
	// a request may raise the usage of the month's busiest minute.
	Worth float64 `json:"worth,omitempty"`
	// Default marks the rank of requests that do not name one.
	Default bool `json:"default,omitempty"`
}

// EndpointState determines whether an endpoint may receive new work.
type EndpointState string

// The states of an endpoint.
const (
	EndpointActive  EndpointState = "active"
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint is a model engine or an instance of a plain service.
type Endpoint struct {
	// Address is the IP:port of the endpoint.
	Address string `json:"address"`
	// FailureDomain and Region locate the endpoint.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	// Versions are the versions that an engine may serve.
	Versions []string `json:"versions,omitempty"`
	// Service is the plain service of which the endpoint is an instance. It is
	// empty for an engine.
	Service string `json:"service,omitempty"`
	// State determines whether the endpoint may receive new work.
	State EndpointState `json:"state,omitempty"`
	// Concurrency is the number of requests the endpoint runs concurrently.
	Concurrency int `json:"concurrency,omitempty"`
	// ChecksFencing reports whether the endpoint rejects stale fencing tokens.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// MemoryGB is the memory that the loaded versions may occupy together, in GB.
	// Zero means no limit.
	MemoryGB float64 `json:"memory_gb,omitempty"`
}

// Evacuation is the order that the endpoints of a failure domain get no new work.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
}

// Operation is an operation of a plain service.
type Operation struct {
	// Name is the last segment of the URL path.
	Name string `json:"name"`
	// Idempotent reports whether the operation can be retried safely.
	Idempotent bool `json:"idempotent"`
	// Cost is the price of one call, in price units.
	Cost float64 `json:"cost,omitempty"`
	// Timeout bounds one attempt. Zero means the rank's deadline. When an attempt
	// times out, an idempotent operation is retried on another endpoint.
	Timeout Duration `json:"timeout,omitempty"`
}

// Service is a plain service: a back end that is not a model engine.
type Service struct {
	Operations []Operation `json:"operations"`
}

// RolloutState is the state of a roll-out.
type RolloutState string

// The states of a roll-out.
const (
	RolloutRunning    RolloutState = "running"
	RolloutHalted     RolloutState = "halted"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Rollout moves new sessions of a model from one version to another in steps.
type Rollout struct {
	Model string `json:"model"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Steps are increasing shares of new work for To. The last is 1.
	Steps []float64 `json:"steps"`
	// StepDuration is the minimum duration of a step.
	StepDuration Duration `json:"step_duration"`
	// Step is the index of the current step.
	Step int `json:"step"`
	// State is set by the roll-out controller, and by operators who halt or resume
	// the roll-out.
	State RolloutState `json:"state,omitempty"`
	// Reason is the reason for the last change of State.
	Reason string `json:"reason,omitempty"`
}

// Terms holds the supplier's terms. There is at most one such resource, named
// "terms".
type Terms struct {
	// PeakPrice is the price, in price units, of each cost unit used in the month's
	// busiest minute.
	PeakPrice float64 `json:"peak_price"`
	// StandingPeak is the usage of the busiest minute so far this month, in cost
	// units.
	StandingPeak float64 `json:"standing_peak"`
	// Allowance is the number of cost units that all hosts together may use per
	// minute without justification.
	Allowance float64 `json:"allowance"`
}
