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

// FuzzParseYAML guards against panics on malformed files, and against accepted
// resources that change when they are stored as JSON and read again.
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
			checkJSONRoundTrip(t, r)
		}
		_, _ = NewSnapshot(1, list) // must not panic; most lists are rejected
	})
}

// FuzzUnmarshalJSON guards against panics on malformed JSON, and against accepted
// resources that change when they are stored and read again.
func FuzzUnmarshalJSON(f *testing.F) {
	f.Add([]byte(`{"kind":"Endpoint","name":"e","spec":{"address":"127.0.0.1:1","failure_domain":"a"}}`))
	f.Add([]byte(`{"kind":"Service","name":"s","spec":{"operations":[{"name":"book","idempotent":false}]}}`))
	f.Add([]byte(`{"kind":"Terms","name":"terms","spec":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r Resource
		if err := json.Unmarshal(data, &r); err != nil {
			return
		}
		checkJSONRoundTrip(t, r)
		_, _ = NewSnapshot(1, []Resource{r}) // must not panic
	})
}

func checkJSONRoundTrip(t *testing.T, r Resource) {
	t.Helper()
	if r.Spec == nil {
		t.Fatalf("accepted %s %q without a spec", r.Kind, r.Name)
	}
	text, err := json.Marshal(r)
	if err != nil {
		return // YAML allows infinities, which JSON cannot encode
	}
	var decoded Resource
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatalf("decode of the encoded resource %s: %v", text, err)
	}
	if second, err := json.Marshal(decoded); err != nil || !bytes.Equal(second, text) {
		t.Errorf("round trip changed %s to %s, %v", text, second, err)
	}
}
