package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/keys"
)

const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
)

// ClientConfig sets what a client requires of servers and how it connects.
type ClientConfig struct {
	// ServerRoles are the roles that a server may have; empty means any.
	ServerRoles []keys.Role
	// Dial replaces the TCP dialer, for tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client makes calls over persistent HTTP/2 connections, one for each server.
type Client struct {
	http      *http.Client
	transport *http.Transport
	security  *Security
}

// NewClient returns a client that authenticates with the given security.
func NewClient(security *Security, config ClientConfig) *Client {
	dial := config.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP2(!security.IsPlaintext())
	protocols.SetUnencryptedHTTP2(security.IsPlaintext())
	transport := &http.Transport{
		DialContext:     dial,
		Protocols:       protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingInterval,
			PingTimeout:     pingTimeout,
		},
		DisableCompression: true, // connect compresses messages itself
	}
	if !security.IsPlaintext() {
		// A TLS configuration is built for each handshake, so that reloaded keys
		// are used; http.Transport would keep the first one.
		transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return tlsHandshake(ctx, raw, address, security, config.ServerRoles)
		}
	}
	return &Client{http: &http.Client{Transport: transport}, transport: transport, security: security}
}

func tlsHandshake(
	ctx context.Context, raw net.Conn, address string, security *Security, roles []keys.Role,
) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "server address"), raw.Close())
	}
	connection := tls.Client(raw, security.clientTLS(host, roles))
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := connection.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(errors.Wrapf(err, "handshake with %s", address), raw.Close())
	}
	return connection, nil
}

// HTTP returns the HTTP client for connect's constructors.
func (c *Client) HTTP() connect.HTTPClient { return c.http }

// URL returns the base URL of a server at an address.
func (c *Client) URL(address string) string { return c.security.Scheme() + "://" + address }

// CloseIdle closes connections without calls in flight.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// ClientOptions returns the connect options of every client.
func ClientOptions() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
	)
}
