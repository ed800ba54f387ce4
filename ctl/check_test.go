package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/resource"
)

// fakeBackend serves a configuration. The other methods of the backend are not called.
type fakeBackend struct {
	admin.Backend
	snap *resource.Snapshot
}

func (b fakeBackend) Current() *resource.Snapshot { return b.snap }

const (
	inForce = "kind: Model\nname: m\n---\nkind: Version\nname: m-1\nspec: {model: m, input_cost: 1, output_cost: 1}\n"
	better  = "kind: Version\nname: m-1\nspec: {model: m, input_cost: 2, output_cost: 1}\n"
	wrong   = "kind: Version\nname: m-1\nspec:\n  model: n\n"
	useless = "kind: Model\nname: m\n---\nkind: Cascade\nname: c\nspec:\n  models:\n  - m\n---\nkind: Model\nname: n\n"
)

func startHost(t *testing.T, text string) string {
	t.Helper()
	list, err := resource.ParseYAML(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	snap, err := resource.NewSnapshot(7, list)
	if err != nil {
		t.Fatal(err)
	}
	const key = "operator-key"
	t.Setenv(envPrefix+"_KEY", key)
	sum := sha256.Sum256([]byte(key))
	server := httptest.NewServer(admin.NewHandler(fakeBackend{snap: snap}, []string{hex.EncodeToString(sum[:])}, slog.New(slog.DiscardHandler)))
	t.Cleanup(server.Close)
	return server.URL
}

// runOn runs a command with a file, whose name is FILE in the output.
func runOn(t *testing.T, addr, text string, args ...string) (string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "change.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err := Run(context.Background(), append(append([]string{"-addr", addr}, args...), file), &out)
	return strings.ReplaceAll(out.String(), file, "FILE"), err
}

// TestExitStatusAndOutput guards against a status or a line that scripts and operators
// would misread, and against a finding about what the file does not touch.
func TestExitStatusAndOutput(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	newer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte(`{"revision":7,"resources":[]}`))
			return
		}
		w.WriteHeader(http.StatusBadRequest)
		_, _ = w.Write([]byte(`{"error":{"code":"invalid_resource","message":"new rule"}}`))
	}))
	defer newer.Close()
	newKind := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":7,"resources":[{"kind":"Later","name":"x","spec":{}}]}`))
	}))
	defer newKind.Close()
	unserved := inForce + "---\nkind: Model\nname: old\n"
	check, offline, diff := []string{"check"}, []string{"check", "-offline"}, []string{"diff", "-f"}
	cases := map[string]struct {
		addr, text string
		args       []string
		status     int
		want       string // a part of the output
	}{
		"no change":             {startHost(t, unserved), inForce, check, 0, "errors: 0, warnings: 0, differences: 0\n"},
		"change":                {startHost(t, unserved), better, check, 0, "differences to revision 7:\nchange Version m-1\n"},
		"error":                 {startHost(t, inForce), wrong, check, 1, "FILE:4: error field: Version \"m-1\": model: unknown model \"n\"\nerrors: 1, warnings: 0, differences: 0\n"},
		"warning":               {startHost(t, inForce), useless, check, 1, "FILE:11: warning model_unserved: Model \"n\": has no version"},
		"warning elsewhere":     {startHost(t, inForce), strings.Replace(better, "input_cost", "state: withdrawn, input_cost", 1), check, 1, "in force: warning model_unserved: Model \"m\""},
		"host's own rule":       {newer.URL, inForce, check, 1, "FILE: error rejected: new rule\n"},
		"file before host":      {gone.URL, "a: [\n", check, 1, "FILE:1: error syntax: "},
		"unknown kind in force": {newKind.URL, inForce, check, 2, ""},
		"no host":               {gone.URL, inForce, check, 2, ""},
		"wrong key":             {startHost(t, inForce), inForce, []string{"-key", "x", "check"}, 2, ""},
		"wrong flag":            {gone.URL, inForce, []string{"check", "-x"}, 2, ""},
		"two files":             {gone.URL, inForce, []string{"check", "a"}, 2, ""},
		"offline":               {gone.URL, inForce, offline, 0, "errors: 0, warnings: 0\n"},
		"offline, syntax":       {gone.URL, "a: [\n", offline, 1, "FILE:1: error syntax: "},
		"offline, wrong":        {gone.URL, wrong, offline, 1, "FILE:4: error field: "},
		"diff":                  {startHost(t, inForce), better, diff, 0, "change Version m-1\n"},
		"diff ignores warning":  {startHost(t, inForce), useless, diff, 0, "add Model n\n"},
		"diff of an error":      {startHost(t, inForce), wrong, diff, 1, "FILE:4: error field: "},
		"diff without a host":   {gone.URL, better, diff, 2, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out, err := runOn(t, c.addr, c.text, c.args...)
			if got := ExitStatus(err, false); got != c.status || !strings.Contains(out, c.want) {
				t.Errorf("got status %d, error %v, output:\n%s\nwant status %d and %q", got, err, out, c.status, c.want)
			}
		})
	}
	if err := Run(context.Background(), []string{"check", "-offline", filepath.Join(t.TempDir(), "absent")}, &bytes.Buffer{}); ExitStatus(err, false) != 2 {
		t.Errorf("got error %v for an absent file, want status 2", err)
	}
}

// TestInterruptedCheckHasNotPassed guards against a check that is interrupted and ends
// with the status of one that found nothing.
func TestInterruptedCheckHasNotPassed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	host := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	}))
	defer host.Close()
	file := filepath.Join(t.TempDir(), "change.yaml")
	if err := os.WriteFile(file, []byte(inForce), 0o600); err != nil {
		t.Fatal(err)
	}
	for status, args := range map[int][]string{2: {"check", file}, 0: {"watch"}} {
		if err := Run(ctx, append([]string{"-addr", host.URL}, args...), &bytes.Buffer{}); ExitStatus(err, true) != status {
			t.Errorf("%s: got error %v, status %d; want %d", args[0], err, ExitStatus(err, true), status)
		}
	}
}

// TestRevisionsOfAReportAgree guards against findings of one revision with differences
// to another, and against endless attempts while the configuration changes.
func TestRevisionsOfAReportAgree(t *testing.T) {
	for stableFrom, status := range map[int]int{3: 0, 100: 2} {
		calls := 0
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			_, _ = fmt.Fprintf(w, `{"revision":%d}`, min(calls, stableFrom))
		}))
		defer host.Close()
		out, err := runOn(t, host.URL, "", "check", "-json")
		if ExitStatus(err, false) != status || calls > 2*compareAttempts || status == 0 && !strings.Contains(out, `"revision": 3,`) {
			t.Errorf("revision stable from call %d: got error %v after %d calls, output %s; want status %d", stableFrom, err, calls, out, status)
		}
	}
}

// TestJSONReport guards against a change of the documented JSON form.
func TestJSONReport(t *testing.T) {
	out, err := runOn(t, startHost(t, inForce), useless, "check", "-json")
	if !errors.Is(err, ErrFindings) {
		t.Fatalf("got error %v, want ErrFindings", err)
	}
	var got any
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatal(err)
	}
	difference := func(kind, name string) any {
		return map[string]any{"kind": kind, "name": name, "action": "add", "diff": ""}
	}
	want := map[string]any{
		"file": "FILE", "revision": 7.0,
		"findings": []any{map[string]any{
			"code": "model_unserved", "severity": "warning", "line": 11.0, "kind": "Model", "name": "n",
			"message": "has no version that is not withdrawn, so all requests for it are rejected",
		}},
		"differences": []any{difference("Cascade", "c"), difference("Model", "n")},
	}
	// The text of a difference is for people and not stable.
	ignoreDiff := cmp.FilterPath(func(p cmp.Path) bool { return p.Last().String() == `["diff"]` }, cmp.Ignore())
	if diff := cmp.Diff(want, got, ignoreDiff); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
	out, err = runOn(t, "", inForce, "check", "-offline", "-json")
	if want := "{\n  \"file\": \"FILE\",\n  \"findings\": [],\n  \"differences\": []\n}\n"; err != nil || out != want {
		t.Errorf("got %s, error %v; want %s", out, err, want)
	}
}
