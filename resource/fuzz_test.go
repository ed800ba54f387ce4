package resource

import (
	"bytes"
	"encoding/json"
	"testing"
)

const fuzzSeedYAML = `kind: Version
name: small-1
spec: {model: small, input_cost: 1, output_cost: 2}
---
kind: Rank
name: urgent
spec: {priority: 0, floor: 0.5, deadline: 10s, max_wait: 1s, default: true}
---
kind: Rollout
name: r
spec: {model: small, from: small-1, to: small-2, steps: [0.1, 1], step_duration: 1m}
`

// Guards against panics on hostile files, and against resources that are
// accepted but change when they are stored as JSON and read again.
func FuzzParseYAML(f *testing.F) {
	f.Add([]byte(fuzzSeedYAML))
	f.Add([]byte("kind: Team\nname: t\nspec: null\n---\n"))
	f.Add([]byte("kind: Model\nname: [a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := ParseYAML(bytes.NewReader(data))
		if err != nil {
			return
		}
		for _, r := range list {
			checkStable(t, r)
		}
		_, _ = NewSnapshot(1, list) // must not panic; most lists are refused
	})
}

// Guards against panics on hostile JSON, and against resources that change
// when they are stored and read again.
func FuzzUnmarshalJSON(f *testing.F) {
	f.Add([]byte(`{"kind":"Endpoint","name":"e","spec":{"address":"127.0.0.1:1","failure_domain":"a"}}`))
	f.Add([]byte(`{"kind":"Service","name":"s","spec":{"operations":[{"name":"book","idempotent":false}]}}`))
	f.Add([]byte(`{"kind":"Terms","name":"terms","spec":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Resource
		if err := json.Unmarshal(data, &r); err != nil {
			return
		}
		checkStable(t, r)
		_, _ = NewSnapshot(1, []Resource{r}) // must not panic
	})
}

func checkStable(t *testing.T, r Resource) {
	t.Helper()
	if r.Spec == nil {
		t.Fatalf("accepted %s %q without a spec", r.Kind, r.Name)
	}
	text, err := json.Marshal(r)
	if err != nil {
		return // YAML has infinities, which JSON and so the checks refuse
	}
	var again Resource
	if err := json.Unmarshal(text, &again); err != nil {
		t.Fatalf("second parse of %s: %v", text, err)
	}
	if second, err := json.Marshal(again); err != nil || !bytes.Equal(second, text) {
		t.Errorf("%s became %s, %v", text, second, err)
	}
}
