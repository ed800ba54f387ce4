package daemon_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/resource"
)

// TestRejectedRequestNeitherRunsNorBills guards against a request that is rejected
// with outcome not_run although it ran at an endpoint or is on the bill. It covers
// the whole path through a host.
func TestRejectedRequestNeitherRunsNorBills(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := demo.StartCluster(ctx, demo.ClusterOptions{
		Hosts: 1, Engines: 1, Rand: rand.New(rand.NewPCG(1, 2)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := c.Stop(ctx); err != nil {
			t.Error(err)
		}
	}()
	const restrictedKey = "poor-team-key"
	restrictedTeam := resource.Resource{Kind: resource.KindTeam, Name: "poor", Spec: &resource.Team{
		KeyHashes: []string{demo.KeyHash(restrictedKey)}, Weight: 1, Ranks: []string{"batch"},
	}}
	if err := c.Apply(ctx, []resource.Resource{restrictedTeam}); err != nil {
		t.Fatal(err)
	}
	addr := c.Hosts[0].EntryAddress()
	teamClient := demo.DirectClient(addr, demo.TeamKey)
	chat := func(cl *client.Client, meta client.Request, model string) error {
		_, err := cl.Chat(ctx, meta, api.ChatRequest{Model: model, Messages: []api.Message{{Role: "user", Content: "hi"}}})
		return err
	}
	call := func(cl *client.Client, id, service, operation string) error {
		_, err := cl.Call(ctx, client.Request{ID: id}, service, operation, struct{}{})
		return err
	}
	otherSession, err := demo.DirectClient(addr, demo.OtherTeamKey).NewSession(ctx, "small")
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		err    error
		status int
		code   string
	}{
		"unknown key":       {chat(demo.DirectClient(addr, "x"), client.Request{}, "small"), 401, api.CodeUnauthorized},
		"unknown model":     {chat(teamClient, client.Request{}, "none"), 404, api.CodeUnknownModel},
		"unknown rank":      {chat(teamClient, client.Request{Rank: "none"}, "small"), 400, api.CodeUnknownRank},
		"no rights":         {chat(demo.DirectClient(addr, restrictedKey), client.Request{Rank: "batch"}, "small"), 403, api.CodeForbidden},
		"no rights, auto":   {chat(demo.DirectClient(addr, restrictedKey), client.Request{Rank: "batch"}, "auto"), 403, api.CodeForbidden},
		"rank not allowed":  {chat(demo.DirectClient(addr, restrictedKey), client.Request{Rank: "urgent"}, "small"), 403, api.CodeForbidden},
		"no service rights": {call(demo.DirectClient(addr, restrictedKey), "", "booking", "lookup"), 403, api.CodeForbidden},
		"unknown service":   {call(teamClient, "", "none", "book"), 404, api.CodeUnknownService},
		"unknown operation": {call(teamClient, "", "booking", "none"), 404, api.CodeUnknownService},
		"key without time":  {call(teamClient, "not-a-uuid", "booking", "book"), 400, api.CodeBadIdempotencyKey},
		"malformed session": {chat(teamClient, client.Request{Session: "x.y.z"}, "small"), 400, api.CodeBadSession},
		"session of others": {chat(teamClient, client.Request{Session: otherSession.Session}, "small"), 400, api.CodeBadSession},
	}
	for name, tc := range cases {
		var apiErr *api.Error
		if !errors.As(tc.err, &apiErr) || apiErr.Status != tc.status || apiErr.Code != tc.code || apiErr.Outcome != api.OutcomeNotRun {
			t.Errorf("%s: unexpected error %v", name, tc.err)
		}
	}
	if err := operatorCall(ctx, addr); err != nil {
		t.Error(err)
	}
	for _, e := range append(c.Endpoints.Engines, c.Endpoints.Booking) {
		if runs := e.Runs(); len(runs) != 0 {
			t.Errorf("rejected requests ran: %v", runs)
		}
	}
	bill, err := c.Admin().Bill(ctx, time.Time{}, time.Time{}, []string{"team"})
	if err != nil || len(bill.Rows) != 0 {
		t.Errorf("rejected requests are on the bill: %v, %v", bill.Rows, err)
	}
}

// operatorCall tries to change the configuration with a team's key.
func operatorCall(ctx context.Context, addr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/admin/v1/apply", strings.NewReader(`{}`))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+demo.TeamKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized || resp.Header.Get(api.HeaderOutcome) != string(api.OutcomeNotRun) {
		return errors.Newf("a team's key got status %d on the operators' interface, want 401 and outcome not_run", resp.StatusCode)
	}
	return nil
}
