package docscheck_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/ctl"
	"github.com/corianderlever/corianderlever/dispatch"
)

const root = "../.."

func page(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// named fails for each name that the page does not have in backquotes.
func named(t *testing.T, what string, names []string, atLeast int) {
	t.Helper()
	text := page(t)
	if len(names) < atLeast {
		t.Fatalf("found only %d of what should be documented: %s", len(names), what)
	}
	for _, name := range names {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not name the %s `%s`", what, name)
		}
	}
}

// sources calls f for each file of the project that is no test.
func sources(t *testing.T, f func(path, text string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		f(filepath.ToSlash(path), string(text))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against metrics that operators cannot look up.
func TestMetricsAreDocumented(t *testing.T) {
	registry := prometheus.NewRegistry()
	dispatch.New(dispatch.Options{Registry: registry, Clock: clockwork.NewFakeClock()})
	found := make(chan *prometheus.Desc, 100)
	registry.Describe(found)
	close(found)
	fqName := regexp.MustCompile(`fqName: "([^"]+)"`)
	var names []string
	for desc := range found {
		names = append(names, fqName.FindStringSubmatch(desc.String())[1])
	}
	elsewhere := regexp.MustCompile(`prometheus\.New(Counter|Gauge|Histogram|Summary|Desc)`)
	metricName := regexp.MustCompile(`Namespace: "([a-z]+)", Name: "([a-z_]+)"`)
	sources(t, func(path, text string) {
		if strings.HasSuffix(path, "/dispatch/metrics.go") || !elsewhere.MatchString(text) {
			return
		}
		made := metricName.FindAllStringSubmatch(text, -1)
		if len(made) != len(elsewhere.FindAllString(text, -1)) {
			t.Errorf("%s makes metrics whose names this test does not see", path)
		}
		for _, m := range made {
			names = append(names, m[1]+"_"+m[2])
		}
	})
	named(t, "metric", names, 8)
}

// Guards against error codes and headers without an explanation for callers.
func TestCodesAndHeadersAreDocumented(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "api", "api.go"), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		name := spec.Names[0].Name
		lit, ok := spec.Values[0].(*ast.BasicLit)
		if ok && (strings.HasPrefix(name, "Code") || strings.HasPrefix(name, "Header") || strings.HasPrefix(name, "Outcome")) {
			text, err := strconv.Unquote(lit.Value)
			if err != nil {
				t.Error(err)
			}
			names = append(names, text)
		}
		return true
	})
	named(t, "code, header or outcome", names, 28)
}

// Guards against log events that operators meet and cannot look up.
func TestLogEventsAreDocumented(t *testing.T) {
	call := regexp.MustCompile(`(?:[lL]og|[lL]ogger)\.(?:Info|Warn|Error|Debug)(?:Context)?\((?:ctx, |r\.Context\(\), )?"([^"]+)"(\+)?`)
	var names []string
	sources(t, func(path, text string) {
		if strings.Contains(path, "/internal/") {
			return
		}
		for _, m := range call.FindAllStringSubmatch(text, -1) {
			if m[2] == "" { // the end of the text is a state, which the page lists
				names = append(names, m[1])
			}
		}
	})
	named(t, "log event", names, 40)
}

// Guards against settings that cannot be looked up.
func TestSettingsAreDocumented(t *testing.T) {
	var names []string
	var walk func(prefix string, typ reflect.Type)
	walk = func(prefix string, typ reflect.Type) {
		if typ.Kind() == reflect.Pointer {
			typ = typ.Elem()
		}
		if typ.Kind() != reflect.Struct || typ == reflect.TypeFor[config.Secret]() {
			names = append(names, prefix)
			return
		}
		for i := range typ.NumField() {
			tag := typ.Field(i).Tag.Get("json")
			walk(strings.TrimPrefix(prefix+"."+tag, "."), typ.Field(i).Type)
		}
	}
	walk("", reflect.TypeFor[config.Settings]())
	named(t, "setting", names, 20)
}

// Guards against commands of leverctl without an example.
func TestCommandsAreDocumented(t *testing.T) {
	text := page(t)
	for _, c := range ctl.New(io.Discard).Subcommands {
		if !regexp.MustCompile(`(?m)^leverctl .*\b` + c.Name + `\b`).MatchString(text) {
			t.Errorf("docs/OPERATIONS.md has no example of leverctl %s", c.Name)
		}
	}
}

// Guards against a product that knows the users' platform: its names belong in
// platform/ alone.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	foreign := regexp.MustCompile(`Corianderlever-|/corianderlever/(resolution|readiness|report|kv-|hold-)|"op/|"servers/|"status/rollout`)
	sources(t, func(path, text string) {
		if strings.Contains(path, "/platform/") {
			return
		}
		if found := foreign.FindString(text); found != "" {
			t.Errorf("%s has the platform's name %q", path, found)
		}
	})
}
