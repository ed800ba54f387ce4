package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections on loopback and disturbs them.
type Proxy struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	delay   time.Duration
	silent  bool // bytes from the target are held back for good
	refuse  bool
	conns   map[net.Conn]struct{}
	stopped bool
}

// NewProxy forwards to target.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Delay adds a delay to each chunk of bytes.
func (p *Proxy) Delay(d time.Duration) { p.set(func() { p.delay = d }) }

// Silence holds back all answers on open and new connections.
func (p *Proxy) Silence() { p.set(func() { p.silent = true }) }

// Refuse resets open and new connections.
func (p *Proxy) Refuse() {
	p.set(func() { p.refuse = true })
	p.Reset()
}

// Heal ends the disturbances. Connections that were silent stay so.
func (p *Proxy) Heal() { p.set(func() { p.delay, p.silent, p.refuse = 0, false, false }) }

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

// Close ends the proxy.
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
	delay          time.Duration
	silent, refuse bool
}

func (p *Proxy) settings() proxySettings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return proxySettings{p.delay, p.silent, p.refuse}
}

const proxyBuffer = 16 << 10

// copy forwards bytes. A connection that has been silenced stays silent.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	buf := make([]byte, proxyBuffer)
	silenced := false
	for {
		n, err := from.Read(buf)
		s := p.settings()
		silenced = silenced || answers && s.silent
		if s.delay > 0 {
			time.Sleep(s.delay)
		}
		if n > 0 && !silenced {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF && !silenced {
				_ = to.Close()
			}
			return
		}
	}
}
