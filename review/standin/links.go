package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

const (
	linksHosts     = 3
	linksEndpoints = 3
	// cutTime is how long one host is cut off from all endpoints, contactTime is ContactMs.
	cutTime     = 9 * time.Second
	contactTime = 3 * time.Second
	// calmTime is the time of service before the cut.
	calmTime = 3 * time.Second
)

// link is the path from one host to one endpoint.
type link struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.carry(c)
	}
}

// carry passes the bytes of a connection on. While the link is cut, it resets the connection
// at the first of them.
func (l *link) carry(in net.Conn) {
	defer in.Close()
	l.add(in)
	defer l.remove(in)
	if l.isCut() {
		_, _ = in.Read(make([]byte, 1)) // the connection is reset in any case
		reset(in)
		return
	}
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(in)
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1]) // its end ends both directions
			done <- struct{}{}
		}()
	}
	<-done
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (l *link) add(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// setCut cuts the link or mends it. A cut resets the open connections.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		reset(c)
	}
}

// storeView is the store as one host sees it: the addresses of the endpoints are those of the
// links from that host.
type storeView struct {
	store http.Handler
	links map[string]*link // by the address of the endpoint
}

// ServeHTTP implements http.Handler.
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	v.store.ServeHTTP(answer, r)
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	var body map[string]any
	if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil {
		_, _ = w.Write(answer.Body.Bytes()) // a caller that has gone needs none
		return
	}
	for _, field := range []string{"Entries", "events"} {
		items, _ := body[field].([]any)
		for _, item := range items {
			v.rewrite(item.(map[string]any))
		}
	}
	_ = json.NewEncoder(w).Encode(body) // a caller that has gone needs none
}

// rewrite replaces the address in the entry of an endpoint.
func (v *storeView) rewrite(item map[string]any) {
	key, _ := item["Key"].(string)
	text, _ := item["Value"].(string)
	if kind, _ := (platform.Records{}).Classify(key); kind != control.KindEndpoint {
		return
	}
	value, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return
	}
	for address, l := range v.links {
		value = []byte(strings.ReplaceAll(string(value), `"`+address+`"`, `"`+l.ln.Addr().String()+`"`))
	}
	item["Value"] = base64.StdEncoding.EncodeToString(value)
}

// serveStore serves the view and returns its address.
func (v *storeView) serve() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, v) }() //nolint:gosec // ends with the process
	return ln.Addr().String(), nil
}

// lostLinks cuts one host off from all endpoints: its open connections are reset, and new ones
// at their first bytes. Rule RECOVER: its callers are served like those of the other hosts.
func lostLinks(ctx context.Context, rec *recorder) (held bool, err error) {
	d, err := platformtest.NewDeployment(linksEndpoints, 0)
	if err != nil {
		return false, err
	}
	defer d.Close()
	go d.SendHeartbeats(d.PlainEndpoints...)
	view := &storeView{store: d.Store, links: make(map[string]*link)}
	for _, e := range d.PlainEndpoints {
		if view.links[e.Address()], err = newLink(e.Address()); err != nil {
			return false, err
		}
	}
	address, err := view.serve()
	if err != nil {
		return false, err
	}
	c, err := startCluster(ctx, d, linksHosts, func(i int) string {
		if i == 0 {
			return address
		}
		return d.StoreAddress()
	})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	sleep(ctx, time.Second)
	tries := &tries{answered: make(map[string]int), failed: make(map[string]int)}
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var callers sync.WaitGroup
	for _, h := range c.hosts {
		callers.Go(func() { tries.send(callCtx, h, rec) })
	}
	sleep(ctx, calmTime)
	if troubled() {
		rec.add("%s is partitioned from all endpoints", c.hosts[0].name)
		for _, l := range view.links {
			l.setCut(true)
		}
	}
	sleep(ctx, contactTime)
	tries.begin()
	rec.add("ContactMs later: first tries count from now on")
	sleep(ctx, cutTime-contactTime)
	stopCalls()
	callers.Wait()
	return tries.check(c, rec)
}

// tries counts the first tries of callers by host.
type tries struct {
	mu               sync.Mutex
	answered, failed map[string]int
}

func (t *tries) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.answered)
	clear(t.failed)
}

// send sends lookups to a host until ctx ends. None is repeated.
func (t *tries) send(ctx context.Context, h *host, rec *recorder) {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", h.name, n)
		sent := time.Now()
		status := lookUp(client, h, id, platformtest.ValidKey)
		rec.addAt(sent, "sent %s answered %s", id, status)
		t.mu.Lock()
		if status == fmt.Sprint(http.StatusOK) {
			t.answered[h.name]++
		} else {
			t.failed[h.name]++
		}
		t.mu.Unlock()
		sleep(ctx, callPause)
	}
}

// check compares the host that was cut off, the first one, with the others.
func (t *tries) check(c *cluster, rec *recorder) (held bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cut := c.hosts[0].name
	served, failed, othersServed, othersFailed := t.answered[cut], t.failed[cut], 0, 0
	for _, h := range c.hosts[1:] {
		othersServed, othersFailed = othersServed+t.answered[h.name], othersFailed+t.failed[h.name]
	}
	rec.add("first tries served: %d of %d at %s, %d of %d at the others", served, served+failed, cut, othersServed, othersServed+othersFailed)
	if served+failed == 0 || othersServed == 0 {
		return false, fmt.Errorf("no request was answered by the other hosts")
	}
	share := float64(served) / float64(served+failed)
	othersShare := float64(othersServed) / float64(othersServed+othersFailed)
	allowed := 10 + float64(served+failed+othersServed+othersFailed)/50
	return share >= othersShare*2/3 || float64(failed) <= allowed, nil
}
