package scale

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// traffic counts the bytes of all connections of a fleet, as they pass the
// socket: with the framing of HTTP/2, without that of TCP and IP.
type traffic struct {
	received    atomic.Int64
	sent        atomic.Int64
	connections atomic.Int64
}

// dial opens a counted connection.
func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	const dialTimeout = time.Second
	connection, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t.connections.Add(1)
	return &countedConnection{Conn: connection, traffic: t}, nil
}

type countedConnection struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.traffic.received.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c *countedConnection) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.traffic.sent.Add(int64(count))
	return count, err
}
