package relay

// Crashed reports whether an endpoint that has lost the connection of an attempt has crashed.
func (r *Relay) Crashed(id string) bool {
	e, _ := r.Fleet.Endpoint(id)
	ps := r.pool(e.Service).paths
	return ps.crashed(e, ps.investigate(e))
}
