package router

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/relay"
)

// TestPacesReachHostsBeyondTheirReader guards against paces of a reader's followers that do not
// reach the followers of another reader, and against answers that carry them to hosts of an
// older build, which do not ask for them.
func TestPacesReachHostsBeyondTheirReader(t *testing.T) {
	clock := clockwork.NewFakeClock()
	none := func() relay.LoadSums { return nil }
	first, second := newLoadHub(clock, none), newLoadHub(clock, none)
	follower := func(engine string) relay.LoadSums {
		e := balance.NewEngineChooser(clock, "a")
		e.SetEngines([]balance.EngineSpec{{ID: engine, Slots: 4, EventTokens: 1, CacheTokens: 1000}})
		f := e.Start(balance.EngineChoice{Endpoint: engine}, balance.EngineRequest{Parts: []balance.PromptPart{{ID: "p", Tokens: 500}}})
		f.Event(clock.Now())
		return relay.LoadSums{"s": {Hosts: 1, Paces: e.LocalPaces(100)}}
	}
	for i, hub := range []*loadHub{first, second} {
		if err := hub.observeFollower(fmt.Sprint("h", i), follower(fmt.Sprint("e", i))); err != nil {
			t.Fatal(err)
		}
	}
	partial, err := second.partial()
	if err != nil {
		t.Fatal(err)
	}
	if err := first.observeReader("second", partial); err != nil {
		t.Fatal(err)
	}
	total := first.total()
	if got := total["s"]; got.Hosts != 2 || len(got.Paces) != 2*len(partial["s"].Paces) {
		t.Errorf("sum of %d hosts with %d bytes of paces, want 2 and twice the %d of one engine", got.Hosts, len(got.Paces), len(partial["s"].Paces))
	}
	if got := withoutPaces(total)["s"]; got.Hosts != 2 || got.Paces != nil || total["s"].Paces == nil {
		t.Errorf("answer without paces %+v, of %+v", got, total["s"])
	}
	var old updateQuery
	if err := json.Unmarshal([]byte(`{"loads":{"s":{"hosts":1}}}`), &old); err != nil || old.Paces {
		t.Errorf("query of an older build %+v: %v, want no wish for paces", old, err)
	}
	if !first.asksPaces() || first.asksPaces() {
		t.Error("paces are not asked for once in a second")
	}
	clock.Advance(pacesInterval)
	if !first.asksPaces() {
		t.Error("paces are not asked for again after a second")
	}
}
