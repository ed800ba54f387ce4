package control

import "github.com/corianderlever/corianderlever/rollout"

// Successor implements relay.Versions: it returns the version that serves in place of one whose
// roll-out has ended against it, if there are endpoints of that version.
func (r *Rollouts) Successor(name, version string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	if !s.hasOrder || version == "" {
		return "", false
	}
	next, isTarget := "", version == s.order.Target
	switch state := s.current().State; {
	case state == rollout.OrderDone && !isTarget:
		next = r.versionIfServed(name, s.order.Target)
	case state == rollout.OrderReverted && isTarget:
		next = r.baselineVersion(name, s.order.Target)
	}
	return next, next != ""
}
