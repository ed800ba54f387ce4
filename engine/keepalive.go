package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/sockstate"
)

// endpointKeepAlive ends a connection whose packets are lost about 6 s after the last one.
// This also finds connections of endpoints that turn probes away.
var endpointKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// withKeepAlive returns a copy of a transport that checks its connections by endpointKeepAlive.
func withKeepAlive(transport *http.Transport) *http.Transport {
	transport = transport.Clone()
	if transport.DialContext == nil {
		transport.DialContext = new(net.Dialer).DialContext
	}
	transport.DialContext = keepAlive(transport.DialContext)
	if transport.DialTLSContext != nil {
		transport.DialTLSContext = keepAlive(transport.DialTLSContext)
	}
	return transport
}

func keepAlive(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		tcp, ok := sockstate.Conn(conn)
		if !ok {
			return conn, nil
		}
		if err := tcp.SetKeepAliveConfig(endpointKeepAlive); err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "engine: set keep-alive"), conn.Close())
		}
		return conn, nil
	}
}
