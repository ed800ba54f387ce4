package rollout

import "time"

// Order asks for the traffic of a service to be moved to a version.
type Order struct {
	Service string
	// Target is the version to move to.
	Target string
	// TimeLimit is the time in which the move is to be done.
	TimeLimit time.Duration
	// Revision is the store revision of the order, which tells it from earlier
	// orders for the same service.
	Revision int64
}

// OrderState is how far an order is.
type OrderState int

// The states of an order.
const (
	// OrderPending is an order that nobody has taken up.
	OrderPending OrderState = iota
	// OrderRunning is an order under way.
	OrderRunning
	// OrderDone is an order whose target serves all traffic. The other versions
	// are stopped then.
	OrderDone
	// OrderReverted is an order whose target gets no traffic.
	OrderReverted
)

// String implements fmt.Stringer.
func (s OrderState) String() string {
	return [...]string{"none", "running", "done", "reverted"}[s]
}

// OrderStatus is what has been published about an order.
type OrderStatus struct {
	Service string
	Target  string
	State   OrderState
	// Revision is the store revision of the status.
	Revision int64
}

// Observation is how one attempt at a version ended.
type Observation struct {
	// Bad is set if it brought no usable answer.
	Bad bool
	// Latency is the time to the answer or its first event, and ExpectedLatency the time
	// that was expected from the load and the size of the request.
	Latency, ExpectedLatency time.Duration
}
