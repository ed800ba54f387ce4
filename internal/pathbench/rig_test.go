package pathbench_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
	"github.com/corianderlever/corianderlever/kv/httpkv"
	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/resource"
)

const (
	version = "v-1"
	model   = "m"
	team    = "team"
	teamKey = demo.TeamKey
	// hostProcs is the number of cores that a host may use.
	hostProcs = 4
	// startTimeout bounds the start of a deployment.
	startTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// clusterKey is longer than the minimum length of a cluster key.
	clusterKey = "pathbench-cluster-key-of-32-byte"
	sessionKey = "pathbench-session-key-of-32-bytes"
)

// deployment is a set of hosts in child processes with fake engines in this
// process.
type deployment struct {
	engines []*fakeengine.Endpoint
	entries []string
	procs   []*exec.Cmd
}

// deploymentOptions configure a deployment.
type deploymentOptions struct {
	hosts, engines, concurrency int
	engine                      fakeengine.Options
	deadline                    time.Duration
	// binary is the path of the daemon; if empty, the current version is built.
	binary string
}

// fastEngines returns the options of a deployment whose engines answer without
// delay.
func fastEngines(hosts int) deploymentOptions {
	return deploymentOptions{
		hosts: hosts, engines: 2, concurrency: 256, deadline: time.Minute,
		engine: fakeengine.Options{Versions: []string{version}, Capacity: 1024, AnswerTokens: 8, CacheBlocks: 64},
	}
}

// daemonBinary builds the daemon once for all benchmarks of this process.
var daemonBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pathbench")
	if err != nil {
		return "", err
	}
	buildDir = dir
	file := filepath.Join(dir, "corianderlever")
	out, err := exec.Command("go", "build", "-o", file, "github.com/corianderlever/corianderlever/cmd/corianderlever").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the daemon: %w: %s", err, out)
	}
	return file, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir) // files left in the temporary directory are harmless
	}
	os.Exit(code)
}

// buildDir is the directory of the built daemon, or empty before the build.
var buildDir string

func newDeployment(tb testing.TB, opts deploymentOptions) *deployment {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	binary, err := opts.binary, error(nil)
	if binary == "" {
		binary, err = daemonBinary()
	}
	check(tb, err)
	store := &http.Server{Handler: httpkv.NewHandler(memkv.New(clockwork.NewRealClock())), ReadHeaderTimeout: startTimeout}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(tb, err)
	go func() { _ = store.Serve(ln) }() // Serve always returns an error; Close causes it
	tb.Cleanup(func() { _ = store.Close() })
	r := &deployment{}
	for range opts.engines {
		e := fakeengine.New(opts.engine)
		check(tb, e.Listen("127.0.0.1:0"))
		tb.Cleanup(func() { _ = e.Close() })
		r.engines = append(r.engines, e)
	}
	var peers []string
	for i := range opts.hosts {
		s := settings(tb, i, "http://"+ln.Addr().String(), peers)
		peers = append(peers, s.Listen.Peer)
		r.entries = append(r.entries, s.Listen.Entry)
		r.start(tb, binary, s)
	}
	r.configure(ctx, tb, opts)
	return r
}

func settings(tb testing.TB, i int, kv string, peers []string) config.Settings {
	tb.Helper()
	s := config.Default()
	s.Host = fmt.Sprintf("entry-%d", i+1)
	s.FailureDomain, s.Region = demo.FailureDomain(i), "bench"
	s.Peers = peers
	s.Platform.KV = kv
	s.ClusterKey = config.Secret{Value: clusterKey}
	s.OperatorKeyHashes = []string{demo.KeyHash(demo.OperatorKey)}
	s.Sessions.Keys = []config.SessionKey{{ID: "bench", Secret: config.Secret{Value: sessionKey}}}
	s.Drain.EntryTTL = resource.Duration(100 * time.Millisecond)
	s.Listen = config.Listen{Entry: freeAddress(tb), Peer: freeAddress(tb)}
	check(tb, s.Validate())
	return s
}

func freeAddress(tb testing.TB) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(tb, err)
	defer ln.Close()
	return ln.Addr().String()
}

// start runs one host on hostProcs cores. Its log goes to the null device, so
// that the measured cost includes writing log lines.
func (r *deployment) start(tb testing.TB, binary string, s config.Settings) {
	tb.Helper()
	data, err := json.Marshal(s)
	check(tb, err)
	file := filepath.Join(tb.TempDir(), s.Host+".yaml")
	check(tb, os.WriteFile(file, data, 0o600))
	cmd := exec.Command(binary, "-config", file)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", hostProcs))
	if os.Getenv("LEVER_TEST_LOG") != "" {
		cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	}
	check(tb, cmd.Start())
	r.procs = append(r.procs, cmd)
	tb.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the process has already exited
		_ = cmd.Wait()         // returns an error because the process was killed
	})
}

// configure applies the resources and waits until every host serves.
func (r *deployment) configure(ctx context.Context, tb testing.TB, opts deploymentOptions) {
	tb.Helper()
	operator := admin.NewClient("http://"+r.entries[0], demo.OperatorKey, nil)
	poll(ctx, tb, "configuration accepted", func() error {
		_, err := operator.Apply(ctx, admin.ApplyRequest{ExpectRevision: 0, Set: r.resources(opts), Author: "pathbench"})
		return err
	})
	c := newCaller(1)
	defer c.http.CloseIdleConnections()
	for _, entry := range r.entries {
		poll(ctx, tb, "host serves", func() error { return c.ready(ctx, entry) })
	}
	if opts.hosts > 1 {
		poll(ctx, tb, "all hosts are members", func() error { return checkMembership(ctx, operator, opts.hosts) })
	}
}

// checkMembership returns an error unless the host lists the given number of
// hosts.
func checkMembership(ctx context.Context, operator *admin.Client, hosts int) error {
	status, err := operator.Status(ctx)
	if err != nil {
		return err
	}
	if len(status.Hosts) != hosts {
		return fmt.Errorf("host lists %d hosts, want %d", len(status.Hosts), hosts)
	}
	return nil
}

func (r *deployment) resources(opts deploymentOptions) []resource.Resource {
	list := []resource.Resource{
		{Kind: resource.KindModel, Name: model, Spec: &resource.Model{}},
		{Kind: resource.KindVersion, Name: version, Spec: &resource.Version{
			Model: model, State: resource.VersionServing, InputCost: 1, OutputCost: 2, PassRate: 0.9,
		}},
		{Kind: resource.KindRank, Name: "normal", Spec: &resource.Rank{
			Priority: 0, Floor: 0.5, Deadline: resource.Duration(opts.deadline), MaxWait: resource.Duration(opts.deadline), Worth: 1, Default: true,
		}},
		{Kind: resource.KindTeam, Name: team, Spec: &resource.Team{
			KeyHashes: []string{demo.KeyHash(demo.TeamKey)}, Weight: 1, Models: []string{model},
		}},
	}
	for i, e := range r.engines {
		list = append(list, resource.Resource{Kind: resource.KindEndpoint, Name: fmt.Sprintf("engine-%d", i), Spec: &resource.Endpoint{
			Address: e.Addr(), FailureDomain: demo.FailureDomain(i), State: resource.EndpointActive,
			Versions: []string{version}, Concurrency: opts.concurrency,
		}})
	}
	return list
}

func check(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// poll calls try until it succeeds, and fails the test when ctx is done.
func poll(ctx context.Context, tb testing.TB, condition string, try func() error) {
	tb.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := try()
		if err == nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			tb.Fatalf("%s: %v", condition, err)
		}
	}
}

// newSeededRand returns a random generator with a fixed seed.
func newSeededRand() *rand.Rand { return rand.New(rand.NewPCG(7, 11)) }
