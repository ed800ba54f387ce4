package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/jsonrpc2"
)

// ServerOptions configure a Server. Only Key is required.
type ServerOptions struct {
	// Key is the shared cluster key, at least 16 bytes.
	Key []byte
	// TLS, if set, is used for all connections.
	TLS *tls.Config
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Logger defaults to slog.Default.
	Logger *slog.Logger
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes int
	// MaxServing bounds the concurrent calls; further calls are rejected.
	MaxServing int
	// MaxConns bounds the open connections; further ones are closed immediately.
	MaxConns int
	// HandshakeTimeout bounds the handshake.
	HandshakeTimeout time.Duration
	// IdleTimeout closes connections on which no call arrives.
	IdleTimeout time.Duration
}

// Server runs calls of other hosts.
type Server struct {
	opts    ServerOptions
	serving chan struct{}
	conns   chan struct{}

	mu       sync.RWMutex
	handlers map[string]Handler
}

// NewServer returns a server without handlers.
func NewServer(opts ServerOptions) (*Server, error) {
	if err := checkKey(opts.Key); err != nil {
		return nil, err
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	orDefault(&opts.Logger, slog.Default())
	orDefault(&opts.MaxMessageBytes, DefaultMaxMessageBytes)
	orDefault(&opts.MaxServing, DefaultMaxServing)
	orDefault(&opts.MaxConns, DefaultMaxConns)
	orDefault(&opts.HandshakeTimeout, DefaultDialTimeout)
	orDefault(&opts.IdleTimeout, DefaultServerIdleTimeout)
	return &Server{
		opts:     opts,
		serving:  make(chan struct{}, opts.MaxServing),
		conns:    make(chan struct{}, opts.MaxConns),
		handlers: make(map[string]Handler),
	}, nil
}

// Handle registers the handler of a method, replacing an earlier one.
func (s *Server) Handle(method string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = h
}

// acceptRetryDelay is the delay after a failed accept, for example while the
// process is out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections until ctx ends. Then it closes ln and all
// connections, and waits for running handlers.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "peer: accept")
		case err != nil:
			s.opts.Logger.Warn("peer accept failed", "err", err)
			s.wait(ctx, acceptRetryDelay)
			continue
		}
		select {
		case s.conns <- struct{}{}:
		default:
			s.opts.Logger.Warn("peer connection refused", "reason", "too many", "remote", conn.RemoteAddr())
			_ = conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-s.conns }()
			s.serveConn(ctx, conn)
		})
	}
}

func (s *Server) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.opts.Clock.After(d):
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if s.opts.TLS != nil {
		conn = tls.Server(conn, s.opts.TLS)
	}
	var from string
	var send, receive []byte
	err := withTimeout(s.opts.Clock, s.opts.HandshakeTimeout, conn, func() (err error) {
		from, send, receive, err = serverHandshake(conn, s.opts.Key)
		return err
	})
	if err != nil {
		s.opts.Logger.Warn("peer handshake failed", "remote", conn.RemoteAddr(), "err", err)
		return
	}
	st := newStream(conn, s.opts.Clock, s.opts.MaxMessageBytes, send, receive)
	idle := st.idleTimer(s.opts.IdleTimeout)
	defer idle.Stop()
	h := &connHandler{server: s, from: from}
	rpc := jsonrpc2.NewConn(ctx, st, h, discardLogs())
	<-rpc.DisconnectNotify()
	h.drain()
}

// discardLogs discards the log output of jsonrpc2, which reports ordinary
// disconnects.
func discardLogs() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }

// connHandler runs the calls of one connection.
type connHandler struct {
	server *Server
	from   string

	mu       sync.Mutex
	draining bool
	running  sync.WaitGroup
}

// drain discards calls that arrive from now on and waits for running ones.
func (h *connHandler) drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	h.running.Wait()
}

// startCall counts a running call, or returns false if the connection has
// ended. The lock prevents the count from rising while drain waits.
func (h *connHandler) startCall() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return false
	}
	h.running.Add(1)
	return true
}

// Handle implements jsonrpc2.Handler.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case h.server.serving <- struct{}{}:
	default:
		h.replyError(ctx, conn, req, CodeOverloaded, "too many calls in flight")
		return
	}
	if !h.startCall() {
		<-h.server.serving
		return
	}
	go func() {
		defer h.running.Done()
		defer func() { <-h.server.serving }()
		h.run(ctx, conn, req)
	}()
}

func (h *connHandler) run(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	s := h.server
	s.mu.RLock()
	handler := s.handlers[req.Method]
	s.mu.RUnlock()
	if handler == nil {
		h.replyError(ctx, conn, req, CodeMethodNotFound, "unknown method "+req.Method)
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := handler(ctx, h.from, params)
	var remote *RemoteError
	switch {
	case errors.As(err, &remote):
		h.replyError(ctx, conn, req, remote.Code, remote.Message)
	case err != nil:
		h.replyError(ctx, conn, req, CodeHandler, err.Error())
	default:
		h.reply(ctx, conn, req, result)
	}
}

func (h *connHandler) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any) {
	err := conn.Reply(ctx, req.ID, result)
	if errors.Is(err, ErrTooLarge) {
		h.replyError(ctx, conn, req, CodeTooLarge, err.Error())
		return
	}
	if err != nil {
		h.server.opts.Logger.Debug("peer reply failed", "method", req.Method, "from", h.from, "err", err)
	}
}

func (h *connHandler) replyError(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, msg string) {
	err := conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: msg})
	if err != nil {
		h.server.opts.Logger.Debug("peer reply failed", "method", req.Method, "from", h.from, "err", err)
	}
}
