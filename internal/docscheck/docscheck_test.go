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

// handbook returns the text of the operators' handbook.
func handbook(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// requireDocumented fails the test for each name that the handbook does not have
// in backquotes, and if there are fewer than atLeast names, which shows that the
// search for names is incomplete.
func requireDocumented(t *testing.T, kind string, names []string, atLeast int) {
	t.Helper()
	text := handbook(t)
	if len(names) < atLeast {
		t.Fatalf("found only %d names of kind %s", len(names), kind)
	}
	for _, name := range names {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md does not document the %s `%s`", kind, name)
		}
	}
}

// forEachSource calls f for each Go file of the project that is not a test.
func forEachSource(t *testing.T, f func(path, text string)) {
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

// TestMetricsAreDocumented guards against metrics that the handbook does not
// explain.
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
	constructor := regexp.MustCompile(`prometheus\.New(Counter|Gauge|Histogram|Summary|Desc)`)
	metricName := regexp.MustCompile(`Namespace: "([a-z]+)", Name: "([a-z_]+)"`)
	forEachSource(t, func(path, text string) {
		if strings.HasSuffix(path, "/dispatch/metrics.go") || !constructor.MatchString(text) {
			return
		}
		declared := metricName.FindAllStringSubmatch(text, -1)
		if len(declared) != len(constructor.FindAllString(text, -1)) {
			t.Errorf("%s declares metrics whose names this test cannot extract", path)
		}
		for _, m := range declared {
			names = append(names, m[1]+"_"+m[2])
		}
	})
	requireDocumented(t, "metric", names, 8)
}

// TestCodesAndHeadersAreDocumented guards against error codes, headers, outcomes and
// codes of findings that the handbook does not explain.
func TestCodesAndHeadersAreDocumented(t *testing.T) {
	requireDocumented(t, "code, header or outcome", namedConstants(t, "api", "api.go"), 28)
	requireDocumented(t, "code of a finding", namedConstants(t, "resource", "check", "check.go"), 26)
}

// namedConstants returns the values of the constants in a file whose names begin with
// Code, Header or Outcome.
func namedConstants(t *testing.T, path ...string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(append([]string{root}, path...)...), nil, 0)
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
	return names
}

// TestLogEventsAreDocumented guards against log messages that the handbook does
// not explain.
func TestLogEventsAreDocumented(t *testing.T) {
	call := regexp.MustCompile(`(?:[lL]og|[lL]ogger)\.(?:Info|Warn|Error|Debug)(?:Context)?\((?:ctx, |r\.Context\(\), )?"([^"]+)"(\+)?`)
	var names []string
	forEachSource(t, func(path, text string) {
		if strings.Contains(path, "/internal/") {
			return
		}
		for _, m := range call.FindAllStringSubmatch(text, -1) {
			if m[2] == "" { // a message that ends with a variable state is documented once for each state
				names = append(names, m[1])
			}
		}
	})
	requireDocumented(t, "log event", names, 40)
}

// TestSettingsAreDocumented guards against settings that the handbook does not
// explain.
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
	requireDocumented(t, "setting", names, 20)
}

// TestCommandsAreDocumented guards against commands of leverctl that have no
// example in the handbook.
func TestCommandsAreDocumented(t *testing.T) {
	text := handbook(t)
	for _, c := range ctl.New(io.Discard).Subcommands {
		if !regexp.MustCompile(`(?m)^leverctl .*\b` + c.Name + `\b`).MatchString(text) {
			t.Errorf("docs/OPERATIONS.md has no example of leverctl %s", c.Name)
		}
	}
}

// TestPlatformNamesStayInTheAdapter guards against code that depends on the
// users' platform outside the adapter: platform names belong in platform/ only.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	platformName := regexp.MustCompile(`Corianderlever-|/corianderlever/(resolution|readiness|report|kv-|hold-)|"op/|"servers/|"status/rollout`)
	forEachSource(t, func(path, text string) {
		if strings.Contains(path, "/platform/") {
			return
		}
		if found := platformName.FindString(text); found != "" {
			t.Errorf("%s contains the platform name %q outside platform/", path, found)
		}
	})
}
