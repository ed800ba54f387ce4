package upstream

import (
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/corianderlever/corianderlever/internal/sockstate"
)

const (
	// sampleInterval is the time between two looks at a connection whose timeout is lifted.
	sampleInterval = 500 * time.Millisecond
	// tcpRTOMaxMS is the socket option TCP_RTO_MAX_MS of Linux 6.15 and later, which
	// golang.org/x/sys does not name yet. It bounds the time between two probes of a closed
	// window, which otherwise doubles up to 120 s.
	tcpRTOMaxMS = 44
	// probeInterval is the smallest value that the system accepts for tcpRTOMaxMS.
	probeInterval = time.Second
)

// unreadGuard replaces TCP_USER_TIMEOUT on a connection whose endpoint answers before it has
// read the request. The option also counts while the endpoint keeps its receive window closed,
// although it acknowledges each probe of the window, and would cut the answer.
type unreadGuard struct {
	raw     syscall.RawConn
	timeout time.Duration
	stopped chan struct{}
	// watched is closed when watch has ended.
	watched chan struct{}
	silent  atomic.Bool
}

// errSilent reports an endpoint that has fallen silent before it has acknowledged the request.
var errSilent = errors.New("upstream: endpoint silent, request not acknowledged")

// guardUnread lifts the timeout of a connection on which an answer has begun while the request
// is not acknowledged in full. It returns nil if there is nothing to lift.
func (e *exchange) guardUnread() *unreadGuard {
	raw, ok := sockstate.TCP(e.conn.Conn)
	if !ok || e.delivered(raw) {
		return nil
	}
	ms, err := getTCPOption(raw, unix.TCP_USER_TIMEOUT)
	if err != nil || ms == 0 || setTCPOption(raw, unix.TCP_USER_TIMEOUT, 0) != nil {
		return nil
	}
	// Older systems do not have the option. They notice a silent endpoint later.
	_ = setTCPOption(raw, tcpRTOMaxMS, int(probeInterval.Milliseconds()))
	g := &unreadGuard{raw: raw, timeout: time.Duration(ms) * time.Millisecond, stopped: make(chan struct{}), watched: make(chan struct{})}
	go g.watch(e)
	return g
}

// delivered reports whether the endpoint has acknowledged the whole request.
func (e *exchange) delivered(raw syscall.RawConn) bool {
	select {
	case <-e.sent:
		left, err := sockstate.Unacknowledged(raw)
		return err == nil && left == 0
	default:
		return false
	}
}

// watch ends the exchange if the endpoint falls silent before it has acknowledged the
// request. After that, keepalive finds a silent endpoint.
func (g *unreadGuard) watch(e *exchange) {
	defer close(g.watched)
	clock := e.client.opts.Clock
	s := silence{timeout: g.timeout}
	for {
		select {
		case <-clock.After(sampleInterval):
		case <-g.stopped:
			return
		}
		info, err := sockstate.Info(g.raw)
		if err != nil || e.delivered(g.raw) {
			return
		}
		unanswered := info.Probes > 0 || info.Retransmits > 0
		if s.observe(clock.Now(), unanswered, time.Duration(info.Last_ack_recv)*time.Millisecond) {
			g.silent.Store(true)
			_ = e.conn.Close() // fails the reader
			return
		}
	}
}

// explain returns errSilent in place of the error of a connection that watch has closed.
func (g *unreadGuard) explain(err error) error {
	if g != nil && err != nil && g.silent.Load() {
		return errSilent
	}
	return err
}

// stop ends the guard and restores the timeout, for the next request on the connection.
func (g *unreadGuard) stop() error {
	if g == nil {
		return nil
	}
	close(g.stopped)
	<-g.watched // it must not close a connection that carries the next request
	return setTCPOption(g.raw, unix.TCP_USER_TIMEOUT, int(g.timeout.Milliseconds()))
}

// silence decides whether a peer that is probed has fallen silent. Probes of a closed window
// may be far apart, so the time since the last acknowledgement alone says nothing: the peer is
// silent if it has left a probe or a retransmission unanswered for the timeout.
type silence struct {
	timeout time.Duration
	// since is the time of the first look that found something unanswered, or zero.
	since time.Time
}

// observe takes in a look at the connection. sinceAck is the time since the last
// acknowledgement.
func (s *silence) observe(now time.Time, unanswered bool, sinceAck time.Duration) bool {
	if !unanswered {
		s.since = time.Time{}
		return false
	}
	if s.since.IsZero() || sinceAck < now.Sub(s.since) {
		s.since = now
	}
	return now.Sub(s.since) >= s.timeout
}

func getTCPOption(raw syscall.RawConn, option int) (value int, err error) {
	ctlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) })
	return value, errors.CombineErrors(ctlErr, err)
}

func setTCPOption(raw syscall.RawConn, option, value int) (err error) {
	ctlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, value) })
	return errors.CombineErrors(ctlErr, err)
}
