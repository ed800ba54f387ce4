// Package httpkv provides kv.KV over HTTP: a client for hosts and a handler that
// serves any implementation. Each call is a POST of one JSON object. The reply to a
// watch is a stream with one JSON object per line.
package httpkv

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// Paths of the calls, below pathPrefix.
const (
	pathPrefix       = "/v1/kv/"
	opGet            = "get"
	opList           = "list"
	opCompareAndSwap = "compare-and-swap"
	opDelete         = "delete"
	opGrantLease     = "grant-lease"
	opKeepAlive      = "keep-alive"
	opRevokeLease    = "revoke-lease"
	opWatch          = "watch"
)

// request holds the arguments of a call; each kind of call uses some of them.
type request struct {
	Key    string     `json:"key,omitempty"`
	Expect int64      `json:"expect,omitempty"`
	Value  []byte     `json:"value,omitempty"`
	Lease  kv.LeaseID `json:"lease,omitempty"`
	TTLMs  int64      `json:"ttl_ms,omitempty"`
	From   int64      `json:"from,omitempty"`
}

// response holds the results of a call; each kind of call uses some of them. Code
// is empty on success.
type response struct {
	Code     string     `json:"code,omitempty"`
	Message  string     `json:"message,omitempty"`
	Entry    *kv.Entry  `json:"entry,omitempty"`
	Entries  []kv.Entry `json:"entries,omitempty"`
	Revision int64      `json:"revision,omitempty"`
	Lease    kv.LeaseID `json:"lease,omitempty"`
}

// failure maps an error to its code and HTTP status.
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

// failureFor returns the failure of err. Errors that are not listed count as
// kv.ErrUnknown.
func failureFor(err error) failure {
	for _, f := range failures {
		if errors.Is(err, f.err) {
			return f
		}
	}
	return failures[len(failures)-1]
}

// errorForCode returns the error of code, or nil if the code is not listed.
func errorForCode(code string) error {
	for _, f := range failures {
		if f.code == code {
			return f.err
		}
	}
	return nil
}
