package dispatch_test

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/entry"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/session"
)

type staticConfig struct{ snap *resource.Snapshot }

func (c staticConfig) Current() *resource.Snapshot { return c.snap }
func (c staticConfig) Fresh() bool                 { return true }

// Guards against a broken path from the client through the entry to an engine.
func TestWholePath(t *testing.T) {
	endpoints, err := demo.StartEndpoints(2)
	if err != nil {
		t.Fatal(err)
	}
	defer endpoints.Close()
	list, err := demo.Resources(endpoints)
	if err != nil {
		t.Fatal(err)
	}
	snap, err := resource.NewSnapshot(1, list)
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewRealClock()
	signer, err := session.NewSigner(clock, time.Hour, []session.Key{{ID: "k", Secret: []byte(strings.Repeat("s", session.MinKeyBytes))}})
	if err != nil {
		t.Fatal(err)
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	d := dispatch.New(dispatch.Options{Config: staticConfig{snap}, Engines: engine.NewClient(nil), Signer: signer, Clock: clock, Logger: logger, Registry: prometheus.NewRegistry()})
	h := entry.New(entry.Options{
		Dispatcher: d, Config: staticConfig{snap}, Logger: logger,
		Entries:      func() api.EntriesResponse { return api.EntriesResponse{} },
		Ready:        func() bool { return true },
		MaxBodyBytes: 1 << 20, BodyTimeout: time.Second, WriteTimeout: time.Second,
	})
	server := httptest.NewServer(h)
	defer server.Close()
	c := client.New(client.Options{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}, Key: demo.TeamKey})
	body := api.ChatRequest{Model: "small", Messages: []api.Message{{Role: "user", Content: "draft a letter"}}}
	whole, err := c.Chat(context.Background(), client.Request{}, body)
	if err != nil {
		t.Fatal(err)
	}
	if whole.Receipt.Version != "small-2" || whole.Receipt.Cost <= 0 {
		t.Errorf("receipt %+v, want the newest version and a cost", whole.Receipt)
	}
	var text strings.Builder
	if _, err := c.Stream(context.Background(), client.Request{}, body, func(s string) error {
		text.WriteString(s)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if text.String() != whole.Choices[0].Message.Content {
		t.Errorf("streamed %q, whole %q", text.String(), whole.Choices[0].Message.Content)
	}
}
