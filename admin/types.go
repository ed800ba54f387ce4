// Package admin is the operators' interface of an entry host and its client.
package admin

import (
	"encoding/json"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/resource"
)

// Action says what a change does to a resource.
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
	// Diff shows the change for people.
	Diff string `json:"diff,omitempty"`
}

// ApplyRequest asks for a change of the configuration. It takes effect whole
// or not at all.
type ApplyRequest struct {
	// ExpectRevision is the revision the operator has seen.
	ExpectRevision int64               `json:"expect_revision"`
	Set            []resource.Resource `json:"set,omitempty"`
	Delete         []resource.Key      `json:"delete,omitempty"`
	Author         string              `json:"author"`
	// DryRun checks the change and reports the differences only.
	DryRun bool `json:"dry_run,omitempty"`
}

// ApplyResponse answers an ApplyRequest.
type ApplyResponse struct {
	Revision    int64        `json:"revision"`
	Differences []Difference `json:"differences"`
}

// Conflict is the body of a refusal because another operator was first.
type Conflict struct {
	// Error has the form of every refusal, with code conflict.
	Error    *api.Error `json:"error"`
	Message  string     `json:"message"`
	Revision int64      `json:"revision"`
	// Differences are those between the revision the operator has seen and
	// the one in force.
	Differences []Difference `json:"differences"`
}

// ListResponse holds resources and the revision they belong to.
type ListResponse struct {
	Revision  int64               `json:"revision"`
	Resources []resource.Resource `json:"resources"`
}

// HostStatus is what is known of one entry host.
type HostStatus struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// Revision is the configuration revision in force on the host.
	Revision int64  `json:"revision"`
	Entry    string `json:"entry"`
}

// StatusResponse answers GET /admin/v1/status.
type StatusResponse struct {
	// Host answered the call.
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

// BillRow is one line of the bill.
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

// BillResponse answers GET /admin/v1/bill.
type BillResponse struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	Rows []BillRow `json:"rows"`
	// BusiestMinute is the start of the minute of highest cost.
	BusiestMinute time.Time `json:"busiest_minute"`
	BusiestCost   float64   `json:"busiest_cost"`
}

// Compare returns the differences from one list of resources to another.
func Compare(before, after []resource.Resource) []Difference {
	old := make(map[resource.Key]resource.Resource)
	for _, r := range before {
		old[r.Key()] = r
	}
	var out []Difference
	for _, r := range after {
		was, ok := old[r.Key()]
		delete(old, r.Key())
		switch {
		case !ok:
			out = append(out, Difference{Kind: r.Kind, Name: r.Name, Action: ActionAdd, Diff: cmp.Diff(nil, r.Spec)})
		case !cmp.Equal(was.Spec, r.Spec):
			out = append(out, Difference{Kind: r.Kind, Name: r.Name, Action: ActionChange, Diff: cmp.Diff(was.Spec, r.Spec)})
		}
	}
	for _, r := range before {
		if _, gone := old[r.Key()]; gone {
			out = append(out, Difference{Kind: r.Kind, Name: r.Name, Action: ActionDelete})
		}
	}
	return out
}

// Merge returns the list that results from a change.
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

// Explanation is what one host decided about a request and why.
type Explanation = json.RawMessage
