// Package backend is the client for back ends: it sends query attempts, health
// probes and cancellations over HTTP/1.1, following the contract in package
// backendapi.
//
// Each server has a connection pool that never exceeds the router's share of
// the server's connection limit. An attempt is written to at most one
// connection and never resent implicitly, and every failure carries a verdict.
// The verdict is "not run" only if no byte of the query can have left this
// process, or if the back end's refusal states it.
package backend

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Config sets the limits of a Client.
type Config struct {
	// Zone is sent with every query.
	Zone string
	// MaxReplyBytes limits the size of a reply body.
	MaxReplyBytes int64
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// DefaultConnections is the pool limit of a server until Resize sets one.
	DefaultConnections int
}

// Defaults of Config.
const (
	DefaultMaxReplyBytes = 8 << 20
	DefaultDialTimeout   = time.Second
	DefaultConnections   = 16
)

// maxHead limits the size of a reply's status line and headers, in bytes.
const maxHead = 64 << 10

// Client sends requests to back ends. It is safe for concurrent use.
type Client struct {
	config    Config
	logger    logrus.FieldLogger
	metrics   *clientMetrics
	transport *http.Transport
	dialer    net.Dialer

	mutex   sync.RWMutex
	servers map[netip.AddrPort]*server
}

// server is the client's state for one back end.
type server struct {
	address netip.AddrPort
	host    string
	// requestTemplate is copied for each query to the server.
	requestTemplate *http.Request
	queries         *pool
	// control is a separate pool for probes and cancellations, so that they
	// neither wait for queries nor use their connections. It takes one
	// connection of the router's share.
	control *pool
	// wantedConnections is the number of query connections to keep open.
	wantedConnections atomic.Int32
}

type socketKey struct{}

// New returns a client that has no open connections yet.
func New(config Config, dependencies Dependencies) *Client {
	config = withDefaults(config)
	client := &Client{
		config:  config,
		logger:  dependencies.Logger,
		metrics: newClientMetrics(dependencies.Registerer),
		dialer:  net.Dialer{Timeout: config.DialTimeout},
		servers: make(map[netip.AddrPort]*server),
	}
	client.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHead,
		// The socket is already connected; the transport only speaks HTTP on it.
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			socket, ok := ctx.Value(socketKey{}).(*trackedSocket)
			if !ok {
				return nil, errors.New("transport dialed on its own")
			}
			return socket, nil
		},
	}
	return client
}

func withDefaults(config Config) Config {
	config.MaxReplyBytes = cmp.Or(config.MaxReplyBytes, DefaultMaxReplyBytes)
	config.DialTimeout = cmp.Or(config.DialTimeout, DefaultDialTimeout)
	config.DefaultConnections = cmp.Or(config.DefaultConnections, DefaultConnections)
	return config
}

// dial opens one connection to a server.
func (c *Client) dial(ctx context.Context, address netip.AddrPort) (*clientConnection, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		c.metrics.dialFailures.Inc()
		return nil, err
	}
	c.metrics.dials.Inc()
	return c.newClientConnection(ctx, raw, address)
}

// newClientConnection wraps an open socket in an HTTP/1.1 client connection.
func (c *Client) newClientConnection(ctx context.Context, raw net.Conn, address netip.AddrPort) (*clientConnection, error) {
	socket := &trackedSocket{Conn: raw}
	client, err := c.transport.NewClientConn(context.WithValue(ctx, socketKey{}, socket), "http", address.String())
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &clientConnection{client: client, socket: socket}, nil
}

// serverAt returns the state for an address, creating it on first use.
func (c *Client) serverAt(address netip.AddrPort) *server {
	c.mutex.RLock()
	found, ok := c.servers[address]
	c.mutex.RUnlock()
	if ok {
		return found
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if found, ok = c.servers[address]; ok {
		return found
	}
	dial := func(ctx context.Context) (*clientConnection, error) { return c.dial(ctx, address) }
	found = &server{
		address: address,
		host:    address.String(),

		requestTemplate: newRequestTemplate(address.String()),

		queries: newPool(queryConnections(c.config.DefaultConnections), dial),
		control: newPool(controlConnections(c.config.DefaultConnections), dial),
	}
	c.servers[address] = found
	return found
}

// queryConnections and controlConnections split a share: one connection is
// reserved for probes and cancellations, unless the share is a single one.
func queryConnections(share int) int {
	if share <= 1 {
		return share
	}
	return share - 1
}

func controlConnections(share int) int { return share - queryConnections(share) }

// Resize sets this router's share of a server's connections.
func (c *Client) Resize(address netip.AddrPort, connections int) {
	target := c.serverAt(address)
	target.queries.resize(queryConnections(connections))
	target.control.resize(controlConnections(connections))
}

// Warm opens connections up to the given number, within the share, and makes
// that number the target of Maintain.
func (c *Client) Warm(ctx context.Context, address netip.AddrPort, connections int) {
	c.serverAt(address).wantedConnections.Store(int32(connections))
	c.Maintain(ctx, address)
}

// Maintain discards connections that the server closed and opens new ones up
// to the number last passed to Warm.
func (c *Client) Maintain(ctx context.Context, address netip.AddrPort) {
	target := c.serverAt(address)
	target.queries.warm(ctx, int(target.wantedConnections.Load()))
}

// Connections returns how many connections to a server are open, and how many
// of these are idle.
func (c *Client) Connections(address netip.AddrPort) (open, idle int) {
	target := c.serverAt(address)
	open, idle = target.queries.size()
	controlOpen, controlIdle := target.control.size()
	return open + controlOpen, idle + controlIdle
}

// Forget closes the connections to a server that is no longer configured.
func (c *Client) Forget(address netip.AddrPort) {
	c.mutex.Lock()
	removed, ok := c.servers[address]
	delete(c.servers, address)
	c.mutex.Unlock()
	if ok {
		removed.close()
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, closing := range c.servers {
		closing.close()
		delete(c.servers, address)
	}
}

func (s *server) close() {
	s.queries.close()
	s.control.close()
}
