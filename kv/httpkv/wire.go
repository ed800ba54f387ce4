// Package httpkv carries kv.KV over HTTP: a client for hosts and a
// handler that serves any implementation. Each call is a POST of one JSON
// object; a watch is answered by a stream of one JSON object a line.
package httpkv

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// The paths of the calls.
const (
	pathPrefix = "/v1/kv/"
	opGet      = "get"
	opList     = "list"
	opCAS      = "compare-and-swap"
	opDelete   = "delete"
	opGrant    = "grant-lease"
	opKeep     = "keep-alive"
	opRevoke   = "revoke-lease"
	opWatch    = "watch"
)

// request holds the arguments of every call.
type request struct {
	Key    string     `json:"key,omitempty"`
	Expect int64      `json:"expect,omitempty"`
	Value  []byte     `json:"value,omitempty"`
	Lease  kv.LeaseID `json:"lease,omitempty"`
	TTLMs  int64      `json:"ttl_ms,omitempty"`
	From   int64      `json:"from,omitempty"`
}

// response holds the results of every call; Code is empty on success.
type response struct {
	Code     string     `json:"code,omitempty"`
	Message  string     `json:"message,omitempty"`
	Entry    *kv.Entry  `json:"entry,omitempty"`
	Entries  []kv.Entry `json:"entries,omitempty"`
	Revision int64      `json:"revision,omitempty"`
	Lease    kv.LeaseID `json:"lease,omitempty"`
}

// failure ties an error to its code and HTTP status.
type failure struct {
	err    error
	code   string
	status int
}

var failures = []failure{
	{kv.ErrNotFound, "not_found", http.StatusNotFound},
	{kv.ErrConflict, "conflict", http.StatusConflict},
	{kv.ErrLeaseNotFound, "lease_not_found", http.StatusGone},
	{kv.ErrCompacted, "compacted", http.StatusGone},
	{kv.ErrTooLarge, "too_large", http.StatusRequestEntityTooLarge},
	{kv.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
	{kv.ErrUnknown, "unknown", http.StatusGatewayTimeout},
}

// failureOf classifies err. An error of another kind counts as unknown.
func failureOf(err error) failure {
	for _, f := range failures {
		if errors.Is(err, f.err) {
			return f
		}
	}
	return failures[len(failures)-1]
}

// errorOf returns the error that code stands for, or nil for an unheard-of code.
func errorOf(code string) error {
	for _, f := range failures {
		if f.code == code {
			return f.err
		}
	}
	return nil
}
