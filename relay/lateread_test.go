package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/relay"
)

// helperLeasesEnv holds the address at which that host asks for leases.
const helperLeasesEnv = "LATE_READ_LEASES"

// helperEndpointsEnv holds the addresses of the endpoints of the host that TestHelperProcess is.
const helperEndpointsEnv = "LATE_READ_ENDPOINTS"

// TestHelperProcess is the host that other tests pause; it guards against nothing by itself.
func TestHelperProcess(t *testing.T) {
	addresses := os.Getenv(helperEndpointsEnv)
	if addresses == "" {
		t.Skip("runs as a process of its own only")
	}
	r := newRigWith(t, func(o *relay.Options) { o.Logger = slog.New(slog.NewTextHandler(os.Stdout, nil)) }, streamRoute(true))
	r.holdLeases(askAt(os.Getenv(helperLeasesEnv)))
	for i, address := range strings.Split(addresses, ",") {
		r.fleet.Set(fleet.Endpoint{
			ID: fmt.Sprint("first-", i), Service: "s", Address: address, FailureDomain: "a", Version: "v1", Slots: 4, Revision: int64(i + 1),
		})
	}
	fmt.Println("address=" + r.listen(nil))
	_, _ = io.Copy(io.Discard, os.Stdin) // until the parent closes it
}

// helperProcess is a host in a process of its own.
type helperProcess struct {
	cmd     *exec.Cmd
	address string
	// ended counts the requests whose end is in its log.
	ended atomic.Int64
}

func startHelper(t *testing.T, endpoints []string, leases string) *helperProcess {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	h := &helperProcess{cmd: exec.CommandContext(ctx, os.Args[0], "-test.run=^TestHelperProcess$")}
	h.cmd.Env = append(os.Environ(), helperEndpointsEnv+"="+strings.Join(endpoints, ","), helperLeasesEnv+"="+leases)
	stdin, err := h.cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := h.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = stdin.Close()
		cancel() // also ends a process that is paused
		_ = h.cmd.Wait()
	})
	lines := bufio.NewScanner(stdout)
	for lines.Scan() && h.address == "" {
		if address, ok := strings.CutPrefix(lines.Text(), "address="); ok {
			h.address = address
			break
		}
	}
	if h.address == "" {
		t.Fatal("the process did not start")
	}
	go func() {
		for lines.Scan() {
			if strings.Contains(lines.Text(), "msg=request ") {
				h.ended.Add(1)
			}
		}
	}()
	return h
}

func (h *helperProcess) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := h.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// stopped reports whether all threads of the process are stopped. A signal takes its time on a busy
// machine, and the process receives requests until then.
func (h *helperProcess) stopped() bool {
	stats, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", h.cmd.Process.Pid))
	for _, path := range stats {
		stat, err := os.ReadFile(path)
		if _, state, _ := strings.Cut(string(stat), ") "); err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(stats) > 0
}

// run is a run of a stream at an endpoint.
type run struct {
	id         string
	began, end time.Time // end is zero while it runs
}

// runLog records when streams run at the endpoints of one host.
type runLog struct {
	mu      sync.Mutex
	runs    []*run
	release chan struct{}
}

// serve runs a stream of one event until it is released or its connection is closed.
func (l *runLog) serve(w http.ResponseWriter, hr *http.Request) {
	l.mu.Lock()
	current, release := &run{id: hr.Header.Get("X-Id"), began: time.Now()}, l.release
	l.runs = append(l.runs, current)
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		current.end = time.Now()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Signature", "signed")
	w.Header().Set("X-Id", current.id)
	fmt.Fprint(w, "id: 0\ndata: e\n\n")
	w.(http.Flusher).Flush()
	select {
	case <-release:
	case <-hr.Context().Done():
	}
}

// reset forgets the runs and holds later ones until the returned function is called.
func (l *runLog) reset() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs, l.release = nil, make(chan struct{})
	held := l.release
	return sync.OnceFunc(func() { close(held) })
}

// copy returns the runs until now.
func (l *runLog) copy() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs {
		out = append(out, *r)
	}
	return out
}

// silentProxy passes on what it receives, but not the close of a connection.
func silentProxy(t *testing.T, to string) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	})
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			mu.Lock()
			conns = append(conns, near, far)
			mu.Unlock()
			go func() { _, _ = io.Copy(far, struct{ io.Reader }{near}) }()
			go func() { _, _ = io.Copy(near, struct{ io.Reader }{far}) }()
		}
	}()
	return ln.Addr().String()
}

// lateRead is a host, one in a process of its own that it passes requests on to, and a third one.
type lateRead struct {
	t      *testing.T
	origin *rig
	helper *helperProcess
	// first and second are the runs for the helper and for the third host.
	first, second *runLog
	calls         sync.WaitGroup
}

// lateRequests is the number of requests that the helper reads late.
const lateRequests = 8

// newLateRead returns the hosts; through, if set, returns the address at which the helper is
// reached. The host has an open connection to the helper for each request.
func newLateRead(t *testing.T, through func(t *testing.T, address string) string) *lateRead {
	t.Helper()
	origin, links := newCutRig(t, streamRoute(true))
	third := newRig(t, streamRoute(true))
	l := &lateRead{t: t, origin: origin, first: &runLog{}, second: &runLog{}}
	var addresses []string
	for i := range lateRequests {
		engine := origin.newServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			_, _ = io.Copy(io.Discard, hr.Body)
			l.first.serve(w, hr)
		}))
		t.Cleanup(engine.Close)
		addresses = append(addresses, strings.TrimPrefix(engine.URL, "http://"))
		third.endpoint(fmt.Sprint("second-", i), l.second.serve)
	}
	shareEndpoints(origin, third)
	leases := links.grantLeases(t, func(context.Context, string, string, any, any) error { return errPathCut })
	l.helper = startHelper(t, addresses, leases)
	address := l.helper.address
	if through != nil {
		address = through(t, address)
	}
	links.hosts = []string{address, third.listen(nil)}
	release := l.first.reset()
	l.send()
	l.await("requests run for the helper", func() bool { return len(l.first.copy()) == lateRequests })
	release()
	l.calls.Wait()
	l.await("the helper has logged them", func() bool { return l.helper.ended.Load() == lateRequests })
	// A host logs a request after it has put its connection back.
	l.await("the host has logged them", func() bool { return strings.Count(origin.logged(), "msg=request ") == lateRequests })
	return l
}

// send sends requests that l.calls awaits.
func (l *lateRead) send() {
	for i := range lateRequests {
		l.calls.Go(func() {
			req, _ := http.NewRequestWithContext(context.Background(), "POST", l.origin.server.URL+"/p/x", strings.NewReader("question"))
			req.Header.Set("X-Id", fmt.Sprint("r", i))
			req.Header.Set("X-Key", l.origin.key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				l.t.Error(err)
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
		})
	}
}

// await polls a condition.
func (l *lateRead) await(what string, done func() bool) {
	l.t.Helper()
	const limit = 20 * time.Second
	for end := time.Now().Add(limit); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			l.t.Fatalf("not within %v: %s\n%s", limit, what, l.origin.logged())
		}
	}
}

// pauseAndResume sends requests while the helper is paused, resumes it once they run for the third
// host, and returns when the helper has ended them.
func (l *lateRead) pauseAndResume() {
	l.t.Helper()
	l.t.Cleanup(l.first.reset())
	release := l.second.reset()
	l.helper.signal(l.t, syscall.SIGSTOP)
	l.await("the helper is stopped", l.helper.stopped)
	l.send()
	l.await("requests run for the third host", func() bool { return len(l.second.copy()) == lateRequests })
	l.helper.signal(l.t, syscall.SIGCONT)
	l.await("the helper has ended the requests that it has read late", func() bool { return l.helper.ended.Load() == 2*lateRequests })
	release()
	l.calls.Wait()
}

// TestRunOfRequestThatIsReadLateEnds guards against a run that goes on for a sender which had
// closed its connection before this host, which was paused, read the request.
func TestRunOfRequestThatIsReadLateEnds(t *testing.T) {
	l := newLateRead(t, nil)
	l.pauseAndResume()
	runs := l.first.copy()
	for _, r := range runs {
		t.Logf("%s ran for %v", r.id, r.end.Sub(r.began))
	}
	l.await("the endpoints have ended the runs", func() bool {
		return !slices.ContainsFunc(l.first.copy(), func(r run) bool { return r.end.IsZero() })
	})
}

// TestRequestThatIsReadLateDoesNotRun guards against a host that was paused and begins to run a
// request which its sender has given up and sent to another host meanwhile. The close of the
// connection does not reach the host.
func TestRequestThatIsReadLateDoesNotRun(t *testing.T) {
	l := newLateRead(t, silentProxy)
	l.pauseAndResume()
	for _, elsewhere := range l.second.copy() {
		for _, late := range l.first.copy() {
			if late.id == elsewhere.id && late.began.After(elsewhere.began) {
				t.Errorf("request %s began to run %v after it had begun elsewhere, and ran for %v", late.id, late.began.Sub(elsewhere.began), late.end.Sub(late.began))
			}
		}
	}
}
