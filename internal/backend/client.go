// Package backend is the client of back ends: it sends attempts, probes and
// cancellations over HTTP/1.1 according to the contract in package backendapi.
//
// Each server has a pool of connections that never exceeds the router's share
// of the server's connection limit. A query is written to one connection at
// most once: there is no hidden resend, and every failure carries a verdict.
// "Not run" is given only when no byte of the query can have left this
// process, or when the back end's own refusal says so.
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
	// MaxReplyBytes bounds a reply body.
	MaxReplyBytes int64
	// DialTimeout bounds the opening of a connection.
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

// maxHead bounds the head of a reply, in bytes.
const maxHead = 64 << 10

// Client sends to back ends. It is safe for concurrent use.
type Client struct {
	config    Config
	logger    logrus.FieldLogger
	metrics   *clientMetrics
	transport *http.Transport
	dialer    net.Dialer

	mutex   sync.RWMutex
	servers map[netip.AddrPort]*server
}

// server is what the client holds for one back end.
type server struct {
	address netip.AddrPort
	host    string
	// template is what all queries to the server have in common.
	template *http.Request
	queries  *pool
	// control carries probes and cancellations, so that they neither wait for
	// queries nor take their connections. It is one of the router's share.
	control *pool
	// wanted is the number of query connections to keep open.
	wanted atomic.Int32
}

type socketKey struct{}

// New returns a client without connections.
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
		// The socket was dialed before; the transport only frames HTTP on it.
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			socket, ok := ctx.Value(socketKey{}).(*connection)
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
func (c *Client) dial(ctx context.Context, address netip.AddrPort) (*link, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		c.metrics.dialFailures.Inc()
		return nil, err
	}
	c.metrics.dials.Inc()
	return c.frame(ctx, raw, address)
}

// frame puts HTTP on an open socket.
func (c *Client) frame(ctx context.Context, raw net.Conn, address netip.AddrPort) (*link, error) {
	socket := &connection{Conn: raw}
	client, err := c.transport.NewClientConn(context.WithValue(ctx, socketKey{}, socket), "http", address.String())
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &link{client: client, socket: socket}, nil
}

// serverAt returns the state for an address, creating it at first use.
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
	open := func(ctx context.Context) (*link, error) { return c.dial(ctx, address) }
	found = &server{
		address: address,
		host:    address.String(),

		template: newTemplate(address.String()),

		queries: newPool(queryConnections(c.config.DefaultConnections), open),
		control: newPool(controlConnections(c.config.DefaultConnections), open),
	}
	c.servers[address] = found
	return found
}

// queryConnections and controlConnections split a share: one connection for
// probes and cancellations, unless there is only one in all.
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

// Warm opens connections until the wanted number is ready, within the share,
// and lets Maintain keep that number.
func (c *Client) Warm(ctx context.Context, address netip.AddrPort, connections int) {
	c.serverAt(address).wanted.Store(int32(connections))
	c.Maintain(ctx, address)
}

// Maintain drops connections that the server closed and opens new ones up to
// the number last given to Warm.
func (c *Client) Maintain(ctx context.Context, address netip.AddrPort) {
	target := c.serverAt(address)
	target.queries.warm(ctx, int(target.wanted.Load()))
}

// Connections returns how many connections to a server are open and idle.
func (c *Client) Connections(address netip.AddrPort) (open, idle int) {
	target := c.serverAt(address)
	open, idle = target.queries.size()
	controlOpen, controlIdle := target.control.size()
	return open + controlOpen, idle + controlIdle
}

// Forget closes the connections to a server that is no longer configured.
func (c *Client) Forget(address netip.AddrPort) {
	c.mutex.Lock()
	forgotten, ok := c.servers[address]
	delete(c.servers, address)
	c.mutex.Unlock()
	if ok {
		forgotten.close()
	}
}

// Close ends all connections.
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
