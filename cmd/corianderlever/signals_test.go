package main_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// TestSignalsUntilTheExitDoNotCutTheDrain guards against in-flight requests that are cut
// because a further signal ends the process during its drain.
func TestSignalsUntilTheExitDoNotCutTheDrain(t *testing.T) {
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGTERM, syscall.SIGHUP},
		{syscall.SIGTERM},
		{syscall.SIGINT},
		{syscall.SIGINT, syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			t.Parallel()
			p := startHost(t, newDeployment(t))
			p.signalUntilExit(t, signals...)
			p.waitCleanExit(t)
			if !p.hasLogged(t, "msg=stopped") {
				t.Error("the process ended before its drain")
			}
		})
	}
}

// TestSignalsWithoutConfigurationDoNotCutTheDrain guards against a host that ends at once
// while it waits for its first configuration.
func TestSignalsWithoutConfigurationDoNotCutTheDrain(t *testing.T) {
	settings, _ := hostSettings(t, "127.0.0.1:1")
	cmd, log := command(t, hostEnv(settings), "host")
	p := start(t, cmd, log)
	p.wait(t, "started", func() bool { return p.hasLogged(t, "msg=started") })
	p.signalUntilExit(t, syscall.SIGHUP, syscall.SIGTERM)
	p.waitCleanExit(t)
}

// TestInFlightRequestsAreAnsweredDespiteSignals guards against connections that are closed
// without an answer because signals come while a host drains.
func TestInFlightRequestsAreAnsweredDespiteSignals(t *testing.T) {
	const requests = 20
	d, err := platformtest.NewDeployment(0, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	e := &platformtest.Endpoint{ID: "desk-slow", Service: platformtest.PlainService, Version: "v1", ProcessingTime: time.Second, Slots: 2 * requests}
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	go d.SendHeartbeats(e)
	settings, addresses := hostSettings(t, d.StoreAddress())
	cmd, log := command(t, hostEnv(settings), "host")
	p := start(t, cmd, log)
	p.waitReady(t, addresses.Readiness)
	p.wait(t, "aware of the endpoint", func() bool { return p.hasLogged(t, `msg="endpoint found"`) })
	var callers errgroup.Group
	for i := range requests {
		callers.Go(func() error { return book(t, addresses.Frontend, fmt.Sprint("booking-", i)) })
	}
	p.wait(t, "busy", func() bool { return len(e.Runs()) == requests })
	p.signalUntilExit(t, syscall.SIGTERM, syscall.SIGHUP)
	p.waitCleanExit(t)
	if err := callers.Wait(); err != nil {
		t.Error(err)
	}
}

// book sends a booking and returns an error unless it is answered with success.
func book(t *testing.T, frontend, id string) error {
	req, err := platformtest.NewRequest(t.Context(), http.MethodPost, frontend, platformtest.BookPath, id, platformtest.ValidKey, 4*time.Second)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %s", id, resp.Status)
	}
	return nil
}
