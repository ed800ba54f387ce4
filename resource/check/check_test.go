package check

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// base is a configuration without findings. A case adds documents to it, or replaces
// some of its text.
const base = `kind: Model
name: m
---
kind: Version
name: m-1
spec: {model: m, input_cost: 1, output_cost: 1, pass_rate: 0.5, memory_gb: 10}
---
kind: Version
name: m-2
spec: {model: m, input_cost: 1, output_cost: 1, pass_rate: 0.8, state: serving}
---
kind: Service
name: s
spec: {operations: [{name: call, timeout: 1s}]}
---
kind: Rank
name: r
spec: {deadline: 2s, max_wait: 1s, default: true}
---
kind: Team
name: t
spec: {key_hashes: ["` + keyHash + `"], models: [m], services: [s]}
---
kind: Endpoint
name: e
spec: {address: "127.0.0.1:1", failure_domain: a, versions: [m-1, m-2], memory_gb: 20}
---
kind: Endpoint
name: f
spec: {address: "127.0.0.1:2", failure_domain: a, service: s}
`

const keyHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func run(t *testing.T, text string) []Finding {
	t.Helper()
	f, err := ReadFile(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	if HasErrors(f.Findings) {
		return f.Findings
	}
	return append(f.Findings, f.Locate(Run(f.Resources))...)
}

// TestEachFindingIsReported guards against a check that misses its smallest case,
// reports it at another place, or adds findings that do not follow from it.
func TestEachFindingIsReported(t *testing.T) {
	const (
		m, version, rank = "\n---\nkind: Model\nname: n\n", "\n---\nkind: Version\nname: n-1\nspec: {model: n}\n", "\n---\nkind: Rank\nname: q\nspec: "
		rollout          = "\n---\nkind: Rollout\nname: x\nspec: {model: m, from: m-1, to: m-2, steps: [1], state: "
	)
	cases := map[string]struct{ old, replacement, add, want string }{
		"syntax":            {add: "\n---\nname: [\n", want: "syntax"},
		"unknown kind":      {add: "\n---\nkind: Modle\nname: n\n", want: "document Modle n"},
		"unknown field":     {old: "failure_domain: a, s", replacement: "domain: a, s", want: "document Endpoint f domain"},
		"field":             {old: "[m-1, m-2]", replacement: "[m-1, m-3]", want: "field Endpoint e versions[1]"},
		"floors":            {old: "max_wait: 1s,", replacement: "floor: 0.6, max_wait: 1s,", add: rank + "{floor: 0.6, deadline: 1s, max_wait: 1s}\n", want: "field Rank r floor"},
		"number":            {add: "\n---\nkind: Terms\nname: terms\nspec: {peak_price: .inf}\n", want: "number Terms terms"},
		"duplicate":         {add: "\n---\nkind: Model\nname: m\n", want: "duplicate Model m"},
		"no version":        {old: "models: [m]", replacement: "models: [m, n]", add: m, want: "model_unserved Model n"},
		"model of no team":  {old: "[m-1, m-2]", replacement: "[m-1, m-2, n-1]", add: m + version, want: "model_unused Model n"},
		"version nowhere":   {old: "[m-1, m-2]", replacement: "[m-1]", want: "version_unserved Version m-2"},
		"endpoint leaves":   {old: "service: s}", replacement: "service: s, state: leaving}", want: "service_unserved Service s"},
		"version of none":   {old: "models: [m]", replacement: "models: [m], versions: [m-1]", want: "version_unused Version m-2"},
		"cascade in part":   {old: "models: [m]", replacement: "models: [m, n]", add: m + "---\nkind: Cascade\nname: c\nspec: {models: [m, n]}\n", want: "cascade_unserved Cascade c models[1], model_unserved Model n"},
		"cascade of none":   {old: "[m-1, m-2]", replacement: "[m-1, m-2, n-1]", add: m + version + "---\nkind: Cascade\nname: c\nspec: {models: [n]}\n", want: "cascade_unused Cascade c models, model_unused Model n"},
		"rank of none":      {old: "services: [s]", replacement: "services: [s], ranks: [r]", add: rank + "{deadline: 1s, max_wait: 1s}\n", want: "rank_unused Rank q"},
		"two defaults":      {add: rank + "{priority: 1, deadline: 1s, max_wait: 1s, default: true}\n", want: "default_ignored Rank r default"},
		"no key":            {old: `["` + keyHash + `"]`, replacement: "[]", want: "team_unused Team t key_hashes"},
		"no rights":         {add: "\n---\nkind: Team\nname: u\nspec: {key_hashes: [\"" + strings.Repeat("a", 64) + "\"]}\n", want: "team_unused Team u models, services"},
		"team's version":    {old: "models: [m], services", replacement: "models: [m], versions: [m-1, m-2, n-1], services", add: m + version, want: "model_unused Model n, team_entry_ignored Team t versions[2], version_unserved Version n-1"},
		"team's model":      {old: "models: [m], services", replacement: "models: [m, n], versions: [m-1, m-2], services", add: m + version, want: "model_unused Model n, team_entry_ignored Team t models[1], version_unserved Version n-1"},
		"endpoint unused":   {old: "state: serving", replacement: "state: withdrawn", add: "\n---\nkind: Endpoint\nname: g\nspec: {address: \"127.0.0.1:3\", failure_domain: a, versions: [m-2]}\n", want: "endpoint_unused Endpoint g versions"},
		"service of none":   {old: "services: [s]", replacement: "services: []", want: "service_unused Service s"},
		"no operations":     {old: "[{name: call, timeout: 1s}]", replacement: "[]", want: "service_unused Service s operations"},
		"target withdrawn":  {old: "state: serving", replacement: "state: withdrawn", add: rollout + "running}\n", want: "rollout_target_withdrawn Rollout x to"},
		"finished roll-out": {add: rollout + "done}\n" + strings.Replace(rollout, "x", "y", 1) + "running}\n", want: "rollout_shadowed Rollout y model"},
		"wait":              {old: "max_wait: 1s", replacement: "max_wait: 3s", want: "wait_over_deadline Rank r max_wait"},
		"timeout":           {old: "timeout: 1s", replacement: "timeout: 3s", want: "timeout_over_deadline Service s operations[0].timeout"},
		"quality":           {add: "\n---\nkind: Cascade\nname: c\nspec: {models: [m], quality_target: 0.9}\n", want: "quality_out_of_reach Cascade c quality_target"},
		"memory":            {old: "memory_gb: 20", replacement: "memory_gb: 5", want: "version_over_memory Endpoint e versions[0]"},
		"allowance":         {add: "\n---\nkind: Terms\nname: terms\nspec: {allowance: 5}\n", want: "allowance_without_price Terms terms allowance, standing_peak"},
	}
	if found := run(t, base); len(found) > 0 {
		t.Fatalf("base has findings: %v", found)
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := base + c.add
			if c.old != "" {
				if strings.Count(text, c.old) != 1 {
					t.Fatalf("base has %q %d times", c.old, strings.Count(text, c.old))
				}
				text = strings.Replace(text, c.old, c.replacement, 1)
			}
			var got []string
			for _, f := range run(t, text) {
				got = append(got, strings.TrimSpace(fmt.Sprintf("%s %s %s %s", f.Code, f.Kind, f.Name, f.Field)))
				checkLine(t, text, f)
			}
			slices.Sort(got)
			if diff := cmp.Diff(c.want, strings.Join(got, ", ")); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

// checkLine fails the test unless the line belongs to the resource and has the field.
func checkLine(t *testing.T, text string, f Finding) {
	t.Helper()
	lines := strings.Split(text, "\n")[:f.Line]
	line := lines[len(lines)-1]
	field := strings.FieldsFunc(f.Field, func(r rune) bool { return strings.ContainsRune("[, ", r) })
	switch {
	case f.Kind == "":
	case len(field) == 0 && line != "name: "+f.Name && line != "kind: "+string(f.Kind):
		t.Errorf("line %d is %q, want that of the name or kind in %v", f.Line, line, f)
	case len(field) > 0 && (!strings.Contains(line, field[0]+":") && f.Code != CodeTeamUnused || lines[len(lines)-2] != "name: "+f.Name):
		t.Errorf("line %d is %q, want that of the field in %v", f.Line, line, f)
	}
}
