package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// line is one connection of a caller, kept until the host closes it. In contrast to
// http.Client it sends no request a second time.
type line struct {
	*Caller
	// short excludes streams; paused makes all calls streams with pauses.
	short  bool
	paused bool
	// only is the address of the only host that the line uses; empty for any.
	only   string
	host   string
	conn   net.Conn
	reader *bufio.Reader
}

// newLine returns a line that resolves addresses through the directories of the hosts.
func newLine(name string, hosts []*Host, seed uint64) *line {
	return &line{Caller: NewCaller(name, hosts, seed)}
}

const (
	// longCallTimeout bounds a stream on a line, plainCallTimeout the other calls.
	longCallTimeout  = 20 * time.Second
	plainCallTimeout = platformtest.RouteTimeout
	// answerSlack is the time after a call's timeout in which an answer is still read.
	answerSlack = time.Second
	// Before every idleEvery-th call on average the connection is idle for up to maxIdle.
	idleEvery   = 12
	maxIdle     = 3 * time.Second
	dialTimeout = time.Second
)

// Run sends requests until ctx is done, which interrupts the last one.
func (l *line) Run(ctx context.Context) {
	defer l.close()
	for n := 0; ctx.Err() == nil; n++ {
		if l.conn == nil && !l.connect(ctx) {
			l.expires = time.Time{} // try another address
			wait(ctx, 5*callPause)
			continue
		}
		call := l.send(ctx, l.draw(n))
		if ctx.Err() == nil {
			l.add(call)
		}
		if !call.Answered() {
			l.expires = time.Time{} // resolve again for the next connection
		}
		wait(ctx, l.pause())
	}
}

// pause draws the time until the next call, in which the connection is idle.
func (l *line) pause() time.Duration {
	if l.rng.IntN(idleEvery) == 0 {
		return time.Duration(l.rng.Int64N(int64(maxIdle)))
	}
	return time.Duration(l.rng.IntN(3)) * callPause
}

// draw returns the n-th call: a lookup, a booking that takes up to a second, or a stream
// of up to 12 s, at times from an engine that does not begin for seconds. A paused line draws
// streams with pauses only.
func (l *line) draw(n int) Call {
	ms := func(low, high int) time.Duration { return time.Duration(low+l.rng.IntN(high-low)) * time.Millisecond }
	call := Call{ID: fmt.Sprintf("%s-%d", l.name, n), Key: platformtest.ValidKey, Host: l.host, Timeout: plainCallTimeout}
	if l.paused {
		call.Kind, call.Timeout = Stream, longCallTimeout
		call.Work = platformtest.Work{Delay: ms(5, 200), Events: pausedEvents, EventInterval: ms(1100, 2500)}
		if l.only != "" {
			call.Work.Events, call.Work.EventInterval = helpedEvents, ms(1100, 1600)
		}
		return call
	}
	kinds := 10
	if l.short {
		kinds = 7
	}
	switch k := l.rng.IntN(kinds); {
	case k < 4:
		call.Kind, call.Work.Delay = Lookup, ms(1, 30)
	case k < 7:
		call.Kind, call.Work.Delay = Book, ms(5, 1000)
		if k == 6 {
			call.Upload = ms(1, 800)
		}
	default:
		call.Kind, call.Timeout = Stream, longCallTimeout
		call.Work = platformtest.Work{Delay: ms(5, 200), Events: longEvents, EventInterval: ms(2000, 12000) / longEvents}
		if k == 9 {
			call.Work.Delay = ms(1000, 4000)
		}
		if l.rng.IntN(3) == 0 {
			call.Work.EventInterval = shortInterval
		}
	}
	return call
}

// longEvents is the number of events of a stream on a line; shortInterval is the time
// between those of a short one. pausedEvents is the number of events of a stream with pauses, and
// helpedEvents that to the only host of a line.
const (
	pausedEvents  = 4
	helpedEvents  = 8
	longEvents    = 40
	shortInterval = 5 * time.Millisecond
)

// connect opens the connection to one of the resolved addresses.
func (l *line) connect(ctx context.Context) bool {
	if l.host = l.only; l.host == "" {
		l.host = l.address(ctx)
	}
	if l.host == "" {
		return false
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", l.host)
	if err != nil {
		return false
	}
	l.conn, l.reader = conn, bufio.NewReader(conn)
	return true
}

func (l *line) close() {
	if l.conn != nil {
		_ = l.conn.Close() // its calls have ended
		l.conn = nil
	}
}

func (l *line) send(ctx context.Context, call Call) Call {
	conn := l.conn
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	call.Sent = time.Now()
	keep, err := l.exchange(ctx, &call)
	call.Ended = time.Now()
	if err != nil {
		call.Incomplete, call.Err = true, err.Error()
	}
	if err != nil || !keep {
		l.close()
	}
	return call
}

// exchange sends a call and reads its response. It returns whether the connection can be
// used further.
func (l *line) exchange(ctx context.Context, call *Call) (bool, error) {
	method := http.MethodPost
	if call.Kind == Lookup {
		method = http.MethodGet
	}
	req, err := platformtest.NewRequest(ctx, method, call.Host, call.Kind.path(), call.ID, call.Key, call.Timeout)
	if err != nil {
		return false, err
	}
	platformtest.SetWork(req, call.Work)
	if call.Kind == Stream {
		platformtest.SetPromptParts(req, l.promptParts(*call)...)
	}
	if call.Upload > 0 {
		req.Body, req.ContentLength = io.NopCloser(&slowBody{left: uploadChunks, pause: call.Upload / uploadChunks}), uploadChunks*uploadChunk
	}
	if err := l.conn.SetDeadline(call.Sent.Add(call.Timeout + answerSlack)); err != nil {
		return false, err
	}
	if err := req.Write(unbuffered{l.conn}); err != nil {
		return false, err
	}
	call.Written = time.Now()
	resp, err := http.ReadResponse(l.reader, req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	call.Status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	call.Body = string(body)
	return !resp.Close, err
}

const (
	// uploadChunks is the number of parts in which a slow caller sends its body, and
	// uploadChunk their size in bytes.
	uploadChunks = 4
	uploadChunk  = 512
)

// slowBody is a request body that arrives in parts.
type slowBody struct {
	left  int
	pause time.Duration
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	time.Sleep(b.pause)
	return copy(p, make([]byte, uploadChunk)), nil
}

// unbuffered is a connection on which http.Request.Write sends each part at once.
type unbuffered struct{ net.Conn }

var _ io.ByteWriter = unbuffered{}

// WriteByte implements io.ByteWriter.
func (c unbuffered) WriteByte(b byte) error {
	_, err := c.Write([]byte{b})
	return err
}
