// Package admin provides the HTTP interface of an entry host for operators, and
// a client for it.
package admin

import (
	"encoding/json"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/resource"
)

// Action is what a change does to a resource.
type Action string

// The actions of a change.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionDelete Action = "delete"
)

// Difference is the change of one resource.
type Difference struct {
	Kind   resource.Kind `json:"kind"`
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	// Diff is a human-readable form of the change.
	Diff string `json:"diff,omitempty"`
}

// ApplyRequest requests a change of the configuration. The change is atomic.
type ApplyRequest struct {
	// ExpectRevision is the revision that the change is based on.
	ExpectRevision int64               `json:"expect_revision"`
	Set            []resource.Resource `json:"set,omitempty"`
	Delete         []resource.Key      `json:"delete,omitempty"`
	Author         string              `json:"author"`
	// DryRun validates the change and reports the differences without applying it.
	DryRun bool `json:"dry_run,omitempty"`
}

// ApplyResponse is the response to an ApplyRequest.
type ApplyResponse struct {
	Revision    int64        `json:"revision"`
	Differences []Difference `json:"differences"`
}

// Conflict is the body of the response to a change that was rejected because
// another operator changed the configuration first.
type Conflict struct {
	// Error is the error as in api.ErrorBody, with the code conflict.
	Error    *api.Error `json:"error"`
	Message  string     `json:"message"`
	Revision int64      `json:"revision"`
	// Differences are the changes from the expected revision to the one in force.
	Differences []Difference `json:"differences"`
}

// ListResponse holds resources and the revision they belong to.
type ListResponse struct {
	Revision  int64               `json:"revision"`
	Resources []resource.Resource `json:"resources"`
}

// HostStatus describes one entry host.
type HostStatus struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// Revision is the configuration revision in force on the host.
	Revision int64  `json:"revision"`
	Entry    string `json:"entry"`
}

// StatusResponse is the response to GET /admin/v1/status.
type StatusResponse struct {
	// Host is the host that served the call.
	Host  string       `json:"host"`
	Fresh bool         `json:"fresh"`
	Hosts []HostStatus `json:"hosts"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision int64          `json:"revision"`
	Author   string         `json:"author"`
	Time     time.Time      `json:"time"`
	Changed  []resource.Key `json:"changed"`
}

// BillRow is one row of the bill.
type BillRow struct {
	Team         string  `json:"team,omitempty"`
	Model        string  `json:"model,omitempty"`
	Version      string  `json:"version,omitempty"`
	Rank         string  `json:"rank,omitempty"`
	Minute       string  `json:"minute,omitempty"`
	Requests     int64   `json:"requests"`
	InputTokens  int64   `json:"input_tokens"`
	OutputTokens int64   `json:"output_tokens"`
	Cost         float64 `json:"cost"`
}

// BillResponse is the response to GET /admin/v1/bill.
type BillResponse struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	Rows []BillRow `json:"rows"`
	// BusiestMinute is the start of the minute with the highest cost.
	BusiestMinute time.Time `json:"busiest_minute"`
	BusiestCost   float64   `json:"busiest_cost"`
}

// Compare returns the differences between two lists of resources.
func Compare(before, after []resource.Resource) []Difference {
	unmatched := make(map[resource.Key]resource.Resource)
	for _, r := range before {
		unmatched[r.Key()] = r
	}
	var out []Difference
	for _, r := range after {
		previous, ok := unmatched[r.Key()]
		delete(unmatched, r.Key())
		switch {
		case !ok:
			out = append(out, Difference{Kind: r.Kind, Name: r.Name, Action: ActionAdd, Diff: cmp.Diff(nil, r.Spec)})
		case !cmp.Equal(previous.Spec, r.Spec):
			out = append(out, Difference{Kind: r.Kind, Name: r.Name, Action: ActionChange, Diff: cmp.Diff(previous.Spec, r.Spec)})
		}
	}
	for _, r := range before {
		if _, ok := unmatched[r.Key()]; ok {
			out = append(out, Difference{Kind: r.Kind, Name: r.Name, Action: ActionDelete})
		}
	}
	return out
}

// Merge returns the sorted list that results from setting and removing resources.
func Merge(list, set []resource.Resource, remove []resource.Key) []resource.Resource {
	byKey := make(map[resource.Key]resource.Resource)
	for _, r := range append(append([]resource.Resource{}, list...), set...) {
		byKey[r.Key()] = r
	}
	for _, k := range remove {
		delete(byKey, k)
	}
	var out []resource.Resource
	for _, r := range byKey {
		out = append(out, r)
	}
	resource.Sort(out)
	return out
}

// Explanation holds the decisions of one host about a request and their reasons.
type Explanation = json.RawMessage
