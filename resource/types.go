// Package resource defines the resources that operators declare, their checks,
// and the immutable Snapshot that the request path reads.
package resource

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind names a kind of resource.
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
)

// ErrInvalid reports a resource that fails a check.
var ErrInvalid = errors.New("resource: invalid")

// Duration is a time.Duration written as text, such as 1.5s.
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

// Model is a family of versions with one purpose.
type Model struct {
	// Description is shown to operators.
	Description string `json:"description,omitempty"`
}

// VersionState tells whether a version may receive new work.
type VersionState string

// The states of a version.
const (
	// VersionServing receives work.
	VersionServing VersionState = "serving"
	// VersionSuspect receives only a trickle, after a bad-version verdict.
	VersionSuspect VersionState = "suspect"
	// VersionWithdrawn receives no new work.
	VersionWithdrawn VersionState = "withdrawn"
)

// Version is one deployable version of a model.
type Version struct {
	// Model is the name of the model this is a version of.
	Model string `json:"model"`
	// State tells whether the version may receive new work.
	State VersionState `json:"state,omitempty"`
	// InputCost is the supplier's price units per 1,000 prompt tokens.
	InputCost float64 `json:"input_cost"`
	// OutputCost is the supplier's price units per 1,000 generated tokens.
	OutputCost float64 `json:"output_cost"`
	// PassRate is the prior probability that an answer is good enough.
	PassRate float64 `json:"pass_rate,omitempty"`
	// MemoryGB is the engine memory that the version occupies; zero means none
	// worth counting.
	MemoryGB float64 `json:"memory_gb,omitempty"`
}

// Cascade tries cheap models first and escalates on a poor rating.
type Cascade struct {
	// Models are tried in this order.
	Models []string `json:"models"`
	// QualityTarget is the share of answers that must be good enough.
	QualityTarget float64 `json:"quality_target"`
}

// Team is a group of callers with its own keys and rights.
type Team struct {
	// KeyHashes are hex SHA-256 hashes of the team's bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// Models are the names of the models the team may use.
	Models []string `json:"models,omitempty"`
	// Versions, if not empty, restricts the team to these versions.
	Versions []string `json:"versions,omitempty"`
	// Services are the names of the plain services the team may call.
	Services []string `json:"services,omitempty"`
	// Ranks are the ranks the team may ask for; empty means all.
	Ranks []string `json:"ranks,omitempty"`
	// Weight is the team's share within a rank, relative to other teams.
	Weight float64 `json:"weight,omitempty"`
}

// Rank is a level of urgency.
type Rank struct {
	// Priority orders the ranks; 0 is the most urgent.
	Priority int `json:"priority"`
	// Floor is the share of capacity the rank keeps during a flood of others.
	Floor float64 `json:"floor"`
	// Deadline bounds the time from arrival to the whole answer.
	Deadline Duration `json:"deadline"`
	// MaxWait bounds the time in the admission queue.
	MaxWait Duration `json:"max_wait"`
	// Worth is the value of one served request in price units; it decides
	// whether a request may raise the busiest minute.
	Worth float64 `json:"worth,omitempty"`
	// Default marks the rank of requests that name none.
	Default bool `json:"default,omitempty"`
}

// EndpointState tells whether an endpoint may receive new work.
type EndpointState string

// The states of an endpoint.
const (
	EndpointActive  EndpointState = "active"
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint is a model engine or an instance of a plain service.
type Endpoint struct {
	// Address is host:port of the endpoint, the host an IP number.
	Address string `json:"address"`
	// FailureDomain and Region locate the endpoint.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	// Versions are the versions that an engine may serve.
	Versions []string `json:"versions,omitempty"`
	// Service is set for an instance of a plain service.
	Service string `json:"service,omitempty"`
	// State tells whether the endpoint may receive new work.
	State EndpointState `json:"state,omitempty"`
	// Concurrency is the number of requests the endpoint runs at once.
	Concurrency int `json:"concurrency,omitempty"`
	// ChecksFencing tells whether the endpoint refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// MemoryGB is what the loaded versions may occupy together; zero means
	// not limited.
	MemoryGB float64 `json:"memory_gb,omitempty"`
}

// Operation is one call of a plain service.
type Operation struct {
	// Name is the last part of the path.
	Name string `json:"name"`
	// Idempotent operations may be repeated safely.
	Idempotent bool `json:"idempotent"`
	// Cost is the billed price units of one call.
	Cost float64 `json:"cost,omitempty"`
	// Timeout bounds one attempt; zero means the rank's deadline. An idempotent
	// operation is tried elsewhere after it.
	Timeout Duration `json:"timeout,omitempty"`
}

// Service is a plain service beside the engines.
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

// Rollout moves new sessions of a model from one version to another by steps.
type Rollout struct {
	Model string `json:"model"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Steps are rising shares of new work for To; the last is 1.
	Steps []float64 `json:"steps"`
	// StepDuration is the shortest time on one step.
	StepDuration Duration `json:"step_duration"`
	// Step is the index of the step in force.
	Step int `json:"step"`
	// State is set by the controller and by operators who halt or resume.
	State RolloutState `json:"state,omitempty"`
	// Reason says why the state was last changed.
	Reason string `json:"reason,omitempty"`
}

// Terms are the supplier's terms. There is at most one, named "terms".
type Terms struct {
	// PeakPrice is the price per unit of the month's busiest minute.
	PeakPrice float64 `json:"peak_price"`
	// StandingPeak is the busiest minute so far this month, in cost units.
	StandingPeak float64 `json:"standing_peak"`
	// Allowance is the cost units a minute may use without a stated reason.
	Allowance float64 `json:"allowance"`
}
