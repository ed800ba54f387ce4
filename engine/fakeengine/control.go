package fakeengine

import (
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/engine"
)

// PrefixBlockBytes is the length of the prompt text in one prefix block.
const PrefixBlockBytes = 256

// PrefixBlocks returns the hashes of the prefix blocks of a prompt. Each hash
// covers the whole prompt up to the end of its block.
func PrefixBlocks(prompt string) []uint64 {
	var out []uint64
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		out = append(out, xxhash.Sum64String(prompt[:end]))
	}
	return out
}

// updateCache adds the prefix blocks of a prompt to the cache and returns the
// number of prompt tokens that were cached before.
func (e *Endpoint) updateCache(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached, prefixCached := 0, true
	for _, block := range PrefixBlocks(prompt) {
		if _, ok := e.cache.Get(block); ok {
			if prefixCached {
				cached++
			}
			continue
		}
		prefixCached = false
		e.cache.Add(block, struct{}{})
		e.events = append(e.events, engine.CacheEvent{Sequence: int64(len(e.events) + 1), Block: block})
	}
	return cached * countTokens(prompt) * PrefixBlockBytes / max(len(prompt), 1)
}

// order executes an order, unless the endpoint checks fencing and the token is
// stale.
func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && order.Fencing < e.fencing {
		reject(w, http.StatusPreconditionFailed, "stale fencing token")
		return
	}
	e.fencing = max(e.fencing, order.Fencing)
	switch order.Kind {
	case engine.OrderLoad:
		if !slices.Contains(e.versions, order.Version) {
			e.versions = append(e.versions, order.Version)
		}
	case engine.OrderUnload:
		e.versions = slices.DeleteFunc(slices.Clone(e.versions), func(v string) bool { return v == order.Version })
	case engine.OrderRole:
		e.role = order.Role
	default:
		reject(w, http.StatusBadRequest, "unknown order")
		return
	}
	writeJSON(w, struct{}{})
}

// Role returns the role that the last order set.
func (e *Endpoint) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// Versions returns the loaded versions.
func (e *Endpoint) Versions() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.versions)
}

// RateRequest is the body of POST /v1/rate.
type RateRequest struct {
	RequestID string `json:"request_id"`
	Answer    string `json:"answer"`
}

// RateResponse is the response to POST /v1/rate.
type RateResponse struct {
	Passed bool `json:"passed"`
}

func rate(w http.ResponseWriter, r *http.Request) {
	var req RateRequest
	if !readJSON(w, r, &req) {
		return
	}
	writeJSON(w, RateResponse{Passed: strings.HasPrefix(req.Answer, goodAnswer)})
}

// Running returns the number of running requests.
func (e *Endpoint) Running() int { return len(e.slots) }
