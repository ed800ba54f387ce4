// Package check finds faults in a configuration before it is sent to a host: what a
// host would reject, entries that never take effect, and limits that contradict each
// other. It is pure: resources in, findings out.
package check

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/corianderlever/corianderlever/resource"
)

// Severity tells whether a finding keeps the configuration from being accepted.
type Severity string

// The severities.
const (
	// SeverityError marks what a host rejects.
	SeverityError Severity = "error"
	// SeverityWarning marks what a host accepts, but what has no effect or
	// contradicts something else.
	SeverityWarning Severity = "warning"
)

// Code names a check. Codes are stable: programs may depend on them.
type Code string

// The codes of errors.
const (
	// CodeSyntax marks text that is not YAML.
	CodeSyntax Code = "syntax"
	// CodeDocument marks a document that is not a resource.
	CodeDocument Code = "document"
	// CodeField marks a field whose value is invalid.
	CodeField Code = "field"
	// CodeNumber marks a number that cannot be sent, such as an infinite one.
	CodeNumber Code = "number"
	// CodeRejected marks a change that the host rejects for a reason that is not
	// known here, such as a rule of a newer build.
	CodeRejected Code = "rejected"
)

// The codes of warnings.
const (
	CodeDuplicate        Code = "duplicate"
	CodeModelUnserved    Code = "model_unserved"
	CodeModelUnused      Code = "model_unused"
	CodeVersionUnserved  Code = "version_unserved"
	CodeVersionUnused    Code = "version_unused"
	CodeCascadeUnserved  Code = "cascade_unserved"
	CodeCascadeUnused    Code = "cascade_unused"
	CodeRankUnused       Code = "rank_unused"
	CodeDefaultIgnored   Code = "default_ignored"
	CodeTeamUnused       Code = "team_unused"
	CodeTeamIgnored      Code = "team_entry_ignored"
	CodeEndpointUnused   Code = "endpoint_unused"
	CodeServiceUnserved  Code = "service_unserved"
	CodeServiceUnused    Code = "service_unused"
	CodeRolloutTarget    Code = "rollout_target_withdrawn"
	CodeRolloutShadowed  Code = "rollout_shadowed"
	CodeWaitOverDeadline Code = "wait_over_deadline"
	CodeTimeoutTooLong   Code = "timeout_over_deadline"
	CodeQualityTooHigh   Code = "quality_out_of_reach"
	CodeVersionTooLarge  Code = "version_over_memory"
	CodeAllowanceUnused  Code = "allowance_without_price"
)

// Finding is one result of a check. The JSON form is stable.
type Finding struct {
	Code     Code     `json:"code"`
	Severity Severity `json:"severity"`
	// Line is the line in the file, from 1. Zero means that the file does not
	// declare the resource.
	Line int           `json:"line,omitempty"`
	Kind resource.Kind `json:"kind,omitempty"`
	Name string        `json:"name,omitempty"`
	// Field is the path of the field as in resource.FieldError, empty if the finding
	// concerns the whole resource.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	text := fmt.Sprintf("%s %s: ", f.Severity, f.Code)
	if f.Kind != "" || f.Name != "" {
		text += fmt.Sprintf("%s %q: ", f.Kind, f.Name)
	}
	if f.Field != "" {
		text += f.Field + ": "
	}
	return text + f.Message
}

// Run checks a whole configuration. Warnings are given only if there are no errors,
// because an unresolved reference makes them unreliable. Findings are ordered by kind
// and name.
func Run(resources []resource.Resource) []Finding {
	var out []Finding
	for _, r := range resources {
		if _, err := json.Marshal(r.Spec); err != nil {
			out = append(out, Finding{Code: CodeNumber, Severity: SeverityError, Kind: r.Kind, Name: r.Name, Message: err.Error()})
		}
	}
	for _, p := range resource.Problems(resources) {
		out = append(out, Finding{Code: CodeField, Severity: SeverityError, Kind: p.Kind, Name: p.Name, Field: p.Field, Message: p.Message})
	}
	if len(out) == 0 {
		if snap, err := resource.NewSnapshot(0, resources); err == nil {
			out = warnings(snap)
		}
	}
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == SeverityError })
}

// Introduced returns the findings of a change: those with a line in its file, and
// those that were not there before.
func Introduced(before, after []Finding) []Finding {
	return slices.DeleteFunc(slices.Clone(after), func(f Finding) bool { return f.Line == 0 && slices.Contains(before, f) })
}

// checker collects the warnings about a valid configuration.
type checker struct {
	*resource.Snapshot
	found []Finding
}

func warnings(snap *resource.Snapshot) []Finding {
	c := &checker{Snapshot: snap}
	for _, r := range snap.Resources() {
		switch spec := r.Spec.(type) {
		case *resource.Model:
			c.checkModel(r)
		case *resource.Version:
			c.checkVersion(r, spec)
		case *resource.Cascade:
			c.checkCascade(r, spec)
		case *resource.Team:
			c.checkTeam(r, spec)
		case *resource.Rank:
			c.checkRank(r, spec)
		case *resource.Endpoint:
			c.checkEndpoint(r, spec)
		case *resource.Service:
			c.checkService(r, spec)
		case *resource.Rollout:
			c.checkRollout(r, spec)
		case *resource.Terms:
			c.checkTerms(r, spec)
		}
	}
	return c.found
}

func (c *checker) warn(r resource.Resource, code Code, field, format string, args ...any) {
	c.found = append(c.found, Finding{
		Code: code, Severity: SeverityWarning, Kind: r.Kind, Name: r.Name, Field: field, Message: fmt.Sprintf(format, args...),
	})
}
