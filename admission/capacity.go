package admission

import "math"

// Capacity returns the number of requests that a host may run at once, so that all hosts
// together run about as many as the endpoints have slots. It is the host's equal share,
// or what it runs and its equal part of the slots that no host uses: hosts that see the same
// idle slots must not all take them. own and others are the requests that run at this
// host and that the others have reported.
func Capacity(slots float64, hosts, own, others int) float64 {
	hosts = max(hosts, 1)
	idle := max(0, slots-float64(own+others))
	return max(slots/float64(hosts), math.Ceil(float64(own)+idle/float64(hosts)))
}
