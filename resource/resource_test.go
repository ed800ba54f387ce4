package resource

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

const validYAML = `kind: Model
name: small
spec:
  description: cheap
---
kind: Version
name: small-1
spec: {model: small, input_cost: 1, output_cost: 2}
---
kind: Rank
name: urgent
spec: {priority: 0, floor: 0.5, deadline: 2s, max_wait: 500ms, default: true}
`

// TestCodecRoundTrip guards against a codec that drops or changes fields in YAML or
// JSON.
func TestCodecRoundTrip(t *testing.T) {
	list, err := ParseYAML(strings.NewReader(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	var decoded []Resource
	if err := json.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(list, decoded); diff != "" {
		t.Errorf("JSON round trip (-want +got):\n%s", diff)
	}
	var out strings.Builder
	if err := FormatYAML(&out, list); err != nil {
		t.Fatal(err)
	}
	reparsed, err := ParseYAML(strings.NewReader(out.String()))
	if err != nil {
		t.Fatalf("parse of the formatted YAML: %v in\n%s", err, out.String())
	}
	if diff := cmp.Diff(list, reparsed); diff != "" {
		t.Errorf("YAML round trip (-want +got):\n%s", diff)
	}
}

// TestInvalidResourcesAreRejected guards against accepting resources that would fail
// on the request path.
func TestInvalidResourcesAreRejected(t *testing.T) {
	cases := map[string]struct{ yaml, want string }{
		"unknown field": {"kind: Model\nname: a\nspec: {descr: x}\n", "descr"},
		"unknown kind":  {"kind: Modle\nname: a\n", "Modle"},
		"unknown model": {"kind: Version\nname: v\nspec: {model: nope}\n", "nope"},
		"bad name":      {"kind: Model\nname: A B\n", "name"},
		"duplicate":     {"kind: Model\nname: a\n---\nkind: Model\nname: a\n", "twice"},
		"host name":     {"kind: Service\nname: s\n---\nkind: Endpoint\nname: e\nspec: {address: 'localhost:1', failure_domain: a, service: s}\n", "address"},
		"floors":        {"kind: Rank\nname: a\nspec: {floor: 0.6, deadline: 1s, max_wait: 1s}\n---\nkind: Rank\nname: b\nspec: {floor: 0.6, deadline: 1s, max_wait: 1s}\n", "floors"},
		"bad duration":  {"kind: Rank\nname: a\nspec: {deadline: soon, max_wait: 1s}\n", "soon"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list, err := ParseYAML(strings.NewReader(c.yaml))
			if err == nil {
				_, err = NewSnapshot(1, list)
			}
			if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want ErrInvalid that names %q", err, c.want)
			}
		})
	}
}

// TestDocumentsAfterEmptyOnesAreRead guards against the loss of the resources that
// follow an empty document or one of comments only, which apply then left out.
func TestDocumentsAfterEmptyOnesAreRead(t *testing.T) {
	for _, between := range []string{"---\n---\n", "---\n# comment\n---\n", "--- # x\n--- # y\n", "...\n---\n\n---\n", "---\n~\n---\n"} {
		list, err := ParseYAML(strings.NewReader("kind: Model\nname: a\n" + between + "kind: Model\nname: b\n"))
		if err != nil || len(list) != 2 || list[1].Name != "b" {
			t.Errorf("%q between two documents: got %v, error %v; want both", between, list, err)
		}
	}
}

// TestFloorsThatAddUpToOneAreValid guards against a verdict that depends on the order
// in which floors are added: 0.33 + 0.56 + 0.11 is above 1 by a rounding error.
func TestFloorsThatAddUpToOneAreValid(t *testing.T) {
	var list []Resource
	for i, floor := range []float64{0.33, 0.56, 0.11} {
		list = append(list, Resource{Kind: KindRank, Name: string(rune('a' + i)), Spec: &Rank{Priority: i, Floor: floor, Deadline: 1, MaxWait: 1}})
	}
	if found := Problems(list); len(found) > 0 {
		t.Errorf("got %v, want no problem", found)
	}
}

// TestProblemsNameEveryField guards against a validation that stops at the first
// field, and against a document whose fields have the wrong line.
func TestProblemsNameEveryField(t *testing.T) {
	docs, err := ParseDocuments(strings.NewReader("# c\nkind: Rank\nname: a\nspec:\n  floor: 2\n  deadline: 1s\n---\n" +
		"kind: Cascade\nname: c\nspec:\n  models:\n    - x\n    - y\n---\n" +
		"kind: Rank\nname: b\nspec:\n  deadline: soon\n  flor: 1\n"))
	if err != nil || len(docs) != 3 {
		t.Fatalf("got %d documents, error %v", len(docs), err)
	}
	lines := map[string]int{}
	for i, d := range docs[:2] {
		for _, p := range Problems([]Resource{d.Resource}) {
			lines[p.Field] = docs[i].Line(p.Field)
		}
	}
	for _, p := range docs[2].Problems() {
		lines[p.Field] = p.Line
	}
	want := map[string]int{"floor": 5, "deadline, max_wait": 6, "models[0]": 12, "models[1]": 13, "deadline": 18, "flor": 19}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("lines of the fields (-want +got):\n%s", diff)
	}
}
