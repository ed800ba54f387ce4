package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections on loopback and injects network faults.
type Proxy struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	delay   time.Duration
	stalled bool // data from the target is discarded
	refuse  bool
	conns   map[net.Conn]struct{}
	stopped bool
}

// NewProxy starts a proxy on a free port that forwards to target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Delay adds a delay to each chunk of data in both directions.
func (p *Proxy) Delay(d time.Duration) { p.set(func() { p.delay = d }) }

// Stall discards all data from the target on open and new connections.
func (p *Proxy) Stall() { p.set(func() { p.stalled = true }) }

// Refuse resets open and new connections.
func (p *Proxy) Refuse() {
	p.set(func() { p.refuse = true })
	p.Reset()
}

// ClearFaults ends delay, stall and refusal. Connections on which data was
// discarded remain stalled.
func (p *Proxy) ClearFaults() { p.set(func() { p.delay, p.stalled, p.refuse = 0, false, false }) }

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops listening and resets all open connections.
func (p *Proxy) Close() {
	p.set(func() { p.stopped = true })
	_ = p.ln.Close()
	p.Reset()
}

func (p *Proxy) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(in net.Conn) {
	defer in.Close()
	if p.settings().refuse {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	p.set(func() { p.conns[in], p.conns[out] = struct{}{}, struct{}{} })
	defer p.set(func() { delete(p.conns, in); delete(p.conns, out) })
	done := make(chan struct{}, 2)
	go func() { p.copy(out, in, false); done <- struct{}{} }()
	go func() { p.copy(in, out, true); done <- struct{}{} }()
	<-done
}

type proxySettings struct {
	delay           time.Duration
	stalled, refuse bool
}

func (p *Proxy) settings() proxySettings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return proxySettings{p.delay, p.stalled, p.refuse}
}

const proxyBuffer = 16 << 10

// copy forwards data until one side ends. Once it has discarded responses, the
// connection remains stalled.
func (p *Proxy) copy(to, from net.Conn, responses bool) {
	buf := make([]byte, proxyBuffer)
	connStalled := false
	for {
		n, err := from.Read(buf)
		s := p.settings()
		connStalled = connStalled || responses && s.stalled
		if s.delay > 0 {
			time.Sleep(s.delay)
		}
		if n > 0 && !connStalled {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF && !connStalled {
				_ = to.Close()
			}
			return
		}
	}
}
