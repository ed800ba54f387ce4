package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dropPackets makes the connections of this process that have a local or remote port drop all
// that arrives, as if the path between their ends were cut.
func dropPackets(t *testing.T, port int) {
	t.Helper()
	has := func(address unix.Sockaddr, err error) bool {
		in, ok := address.(*unix.SockaddrInet4)
		return err == nil && ok && in.Port == port
	}
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Error(err)
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	found := 0
	for _, entry := range list {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		peer, err := unix.Getpeername(fd)
		if err != nil || !has(peer, nil) && !has(unix.Getsockname(fd)) {
			continue // not a connection, or another one
		}
		if err := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop}); err != nil {
			t.Error(err)
		}
		found++
	}
	const ends = 2 // of one connection
	if found < ends {
		t.Errorf("%d connections have port %d, want %d", found, port, ends)
	}
}

// TestStreamGoesOnOnceItsRunHasEnded guards against a stream that goes on at another host while
// the one that served it before, to which the path is cut, still has it run at an endpoint.
func TestStreamGoesOnOnceItsRunHasEnded(t *testing.T) {
	const eventGap = 50 * time.Millisecond
	for name, lastEvent := range map[string]int{"events flow": 1 << 30, "nothing is sent": 0} {
		t.Run(name, func(t *testing.T) {
			origin, links := newCutRig(t, streamRoute(true))
			helper, third := newRig(t, streamRoute(true)), newRig(t, streamRoute(true))
			var cut atomic.Bool
			leases := links.grantLeases(t, func(context.Context, string, string, any, any) error { return errPathCut })
			ask := askAt(leases)
			helper.holdLeases(func(ctx context.Context, host, method string, params, result any) error {
				if cut.Load() {
					return errPathCut
				}
				return ask(ctx, host, method, params, result)
			})
			address := helper.listen(nil)
			_, port, err := net.SplitHostPort(address)
			if err != nil {
				t.Fatal(err)
			}
			helperPort, err := strconv.Atoi(port)
			if err != nil {
				t.Fatal(err)
			}
			ended, stop := make(chan struct{}), make(chan struct{})
			helper.endpoint("first", func(w http.ResponseWriter, hr *http.Request) {
				defer close(ended)
				w.Header().Set("X-Signature", "signed")
				ticker := time.NewTicker(eventGap)
				defer ticker.Stop()
				for i := 0; ; i++ {
					if i <= lastEvent {
						_, _ = fmt.Fprintf(w, "id: %d\ndata: e\n\n", i)
						w.(http.Flusher).Flush()
					}
					select {
					case <-ticker.C:
					case <-stop:
						return
					case <-hr.Context().Done():
						return
					}
				}
			})
			third.endpoint("second", func(w http.ResponseWriter, hr *http.Request) {
				select {
				case <-ended:
				default:
					t.Error("the endpoint before still works on the stream")
				}
				last := 0
				_, _ = fmt.Sscan(hr.Header.Get("X-Last-Event"), &last)
				events(w, last+1, last+1, false)
			})
			shareEndpoints(origin, helper)
			shareEndpoints(origin, third)
			links.hosts = []string{address, third.listen(nil)}
			req, _ := http.NewRequestWithContext(t.Context(), "POST", origin.server.URL+"/p/x", http.NoBody)
			req.Header.Set("X-Id", "attempt-1")
			req.Header.Set("X-Key", origin.key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			cut.Store(true)
			dropPackets(t, helperPort)
			buf := make([]byte, 4<<10)
			for err == nil {
				_, err = resp.Body.Read(buf)
			}
			if n := len(third.arrivals()); n != 1 {
				t.Errorf("the third host sent %d requests to its endpoint, want 1", n)
			}
			close(stop)
		})
	}
}
