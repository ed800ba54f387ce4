package route_test

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/route"
)

// newTable returns a table of routes, which go to the service s by default, and
// a team with two keys.
func newTable(t testing.TB, routes ...route.Route) *route.Table {
	t.Helper()
	for i := range routes {
		if routes[i].Shares == nil {
			routes[i].Shares = []route.Share{{Service: "s", Weight: 1}}
		}
	}
	tab, err := route.NewTable(route.Config{Routes: routes, Teams: []route.Team{{Name: "a", Keys: []string{"k1", "k2"}}}})
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

// TestLongestPrefixWins guards against a request that is routed to the service
// of a shorter prefix.
func TestLongestPrefixWins(t *testing.T) {
	tab := newTable(t,
		route.Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		route.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		route.Route{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	)
	for path, want := range map[string]string{
		"/x/1": "short", "/x/y/z/1": "long", "/x/y": "short", "/x": "", "/": "",
	} {
		got := ""
		if r, ok := tab.Match("A.example:80", path); ok {
			got = r.Name
		}
		if got != want {
			t.Errorf("path %q: route %q, want %q", path, got, want)
		}
	}
}

// TestMatchAgreesWithLinearSearch guards against an index that differs from a
// linear search through all routes.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		part := rapid.SampledFrom([]string{"", "a/", "b/", "a/b/", "a/a/"})
		var routes []route.Route
		seen := map[string]bool{}
		for range rapid.IntRange(1, 6).Draw(rt, "routes") {
			prefix := "/" + part.Draw(rt, "prefix")
			if !seen[prefix] {
				seen[prefix] = true
				routes = append(routes, route.Route{Name: prefix, Host: "h", Prefix: prefix})
			}
		}
		path := "/" + part.Draw(rt, "path") + "c"
		want := ""
		for p := range seen {
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}
		got := ""
		if r, ok := newTable(t, routes...).Match("h", path); ok {
			got = r.Name
		}
		if got != want {
			rt.Errorf("path %q: route %q, want %q", path, got, want)
		}
	})
}

// TestTeamForKey guards against a key that is attributed to the wrong team.
func TestTeamForKey(t *testing.T) {
	tab := newTable(t, route.Route{Host: "h", Prefix: "/"})
	if team, ok := tab.TeamForKey("k2"); !ok || team.Name != "a" {
		t.Errorf("got team %v, %v, want a, true", team, ok)
	}
	if _, ok := tab.TeamForKey("k"); ok {
		t.Error("a prefix of a key was accepted")
	}
}

// TestPickServiceFollowsWeights guards against a split that gives a service more
// requests than its weight, or any request to a service of weight 0.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := route.Route{Shares: []route.Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	counts := map[string]int{}
	const points = 1000
	for i := range points {
		counts[r.PickService(float64(i)/points)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["none"] != 0 {
		t.Errorf("got counts %v, want 900 for a, 100 for b and none for the service of weight 0", counts)
	}
}

// TestInvalidRoutesAreRejected guards against a prefix that matches part of a
// path element, and against a route without services.
func TestInvalidRoutesAreRejected(t *testing.T) {
	for _, r := range []route.Route{
		{Host: "h", Prefix: "x/", Shares: []route.Share{{"s", 1}}},
		{Host: "h", Prefix: "/x", Shares: []route.Share{{"s", 1}}},
		{Host: "h", Prefix: "/x/"},
	} {
		if _, err := route.NewTable(route.Config{Routes: []route.Route{r}}); !errors.Is(err, route.ErrInvalid) {
			t.Errorf("route %+v: got error %v, want ErrInvalid", r, err)
		}
	}
}
