package relay

import "github.com/corianderlever/corianderlever/balance"

// LoadSums holds, by service, the load that several hosts put on the engines.
type LoadSums map[string]balance.LoadSum

// maxUploadBytes bounds the load of this host on the engines of one service.
const maxUploadBytes = 2 << 10

// Paces holds, by service, the encoded paces of the engines that one host measures.
type Paces map[string][]byte

// Paces returns the paces of the engines that this host measures, together at most
// maxDigestBytes.
func (r *Relay) Paces() Paces {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(Paces)
	for name, p := range r.pools {
		if p.hasEngines() {
			out[name] = nil
		}
	}
	for name := range out {
		out[name] = r.pools[name].engines.LocalPaces(maxDigestBytes / len(out))
	}
	return out
}

// ObservePaces records the paces of the engines that another host measures.
func (r *Relay) ObservePaces(host string, paces Paces) {
	if !r.LearnPace {
		return
	}
	for service, digest := range paces {
		if err := r.pool(service).engines.ObservePaces(host, digest); err != nil {
			r.Logger.Warn("cannot decode the paces of a host", "from", host, "service", service, "error", err)
		}
	}
}

// OwnLoads returns the load of this host on the engines of each service.
func (r *Relay) OwnLoads() LoadSums {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(LoadSums)
	for name, p := range r.pools {
		if p.hasEngines() {
			out[name] = balance.LoadSum{
				Hosts: 1, Digest: balance.EncodeLoads(p.engines.LocalLoads(), maxUploadBytes), Paces: p.engines.LocalPaces(maxDigestBytes),
			}
		}
	}
	return out
}

// ObserveLoadSums records the load of the whole fleet. own is the load of this host that
// the sums include.
func (r *Relay) ObserveLoadSums(sums, own LoadSums) {
	for service, sum := range sums {
		if err := r.pool(service).engines.ObserveSum(sum, own[service].Digest, r.Settings().Hosts); err != nil {
			r.Logger.Warn("cannot decode the load of the fleet", "service", service, "error", err)
		}
		if len(sum.Paces) == 0 {
			continue
		}
		if err := r.pool(service).engines.ObservePaceSum(balance.PaceSum{Digest: sum.Paces}); err != nil {
			r.Logger.Warn("cannot decode the paces of the fleet", "service", service, "error", err)
		}
	}
}
