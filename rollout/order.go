package rollout

import "time"

// Order requests that the traffic of a service be moved to a version.
type Order struct {
	Service string
	// Target is the version to move to.
	Target string
	// TimeLimit is the time within which the move must be completed.
	TimeLimit time.Duration
	// Revision is the store revision of the order, which distinguishes it from
	// earlier orders for the same service.
	Revision int64
}

// OrderState is the state of an order.
type OrderState int

// The states of an order.
const (
	// OrderPending is an order that no coordinator has started.
	OrderPending OrderState = iota
	// OrderRunning is an order in progress.
	OrderRunning
	// OrderDone is an order whose target serves all traffic. The other versions
	// are stopped after it.
	OrderDone
	// OrderReverted is an order whose target receives no traffic.
	OrderReverted
)

// String implements fmt.Stringer.
func (s OrderState) String() string {
	return [...]string{"none", "running", "done", "reverted"}[s]
}

// OrderStatus is the published status of an order.
type OrderStatus struct {
	Service string
	Target  string
	State   OrderState
	// Revision is the store revision of the status.
	Revision int64
}

// Observation is the outcome of one attempt on a version.
type Observation struct {
	// Bad is set if the attempt produced no usable answer.
	Bad bool
	// Latency is the time to the answer or its first event. ExpectedLatency is
	// the estimate of that time from the load and the size of the request.
	Latency, ExpectedLatency time.Duration
	// Route is the name of the request's route.
	Route string
	// Model is the model that answered; empty for plain services.
	Model string
	// EventGap is a time between two events of the answer that prompts of other requests
	// have not delayed; zero if it had too few events.
	EventGap time.Duration
}

// Admission is the answer to whether an attempt may be sent to a version.
type Admission struct {
	Admitted bool
	// Instead is the version to use for an attempt that is not admitted; empty if there is
	// none. RetryAfter is then the time until the version may be used.
	Instead    string
	RetryAfter time.Duration
}
