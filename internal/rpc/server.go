package rpc

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/keys"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxConcurrentStreams limits the calls in flight on one connection.
	maxConcurrentStreams = 1000
	// Connections that receive nothing for pingInterval are pinged, and closed
	// if there is no reply within pingTimeout, so that a network failure without
	// a reset is detected well within a lease.
	pingInterval = 2 * time.Second
	pingTimeout  = time.Second
)

// MaxMessageBytes limits the size of one message. A full configuration of 57,000 servers
// takes about 3 MB.
const MaxMessageBytes = 64 << 20

// compressFrom is the size in bytes from which messages are compressed; below
// it, compression costs more processor time than it saves bandwidth.
const minCompressBytes = 4096

// HandlerOptions returns the connect options of every service.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
	)
}

// identityKey is the context key of the caller's identity.
type identityKey struct{}

// IdentityFrom returns the caller's identity from its verified certificate. It
// returns false on plaintext connections.
func IdentityFrom(ctx context.Context) (keys.Identity, bool) {
	identity, found := ctx.Value(identityKey{}).(keys.Identity)
	return identity, found
}

// RequireRole passes on only requests of callers with one of the roles and
// refuses others with code permission_denied. Plaintext requests are all passed
// on. Handlers get the caller's identity with IdentityFrom.
func RequireRole(security *Security, next http.Handler, roles ...keys.Role) http.Handler {
	if security.IsPlaintext() {
		return next
	}
	writer := connect.NewErrorWriter()
	refuse := func(response http.ResponseWriter, request *http.Request, err error) {
		// If this fails, the client has disconnected.
		_ = writer.Write(response, request, connect.NewError(connect.CodePermissionDenied, err))
	}
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if request.TLS == nil || len(request.TLS.PeerCertificates) == 0 {
			refuse(response, request, errors.Wrap(ErrWrongRole, "no certificate"))
			return
		}
		identity, err := keys.IdentityOf(request.TLS.PeerCertificates[0])
		if err != nil {
			refuse(response, request, err)
			return
		}
		if !slices.Contains(roles, identity.Role) {
			refuse(response, request, errors.Newf("%s has role %s; this service is for %v", identity.Name, identity.Role, roles))
			return
		}
		ctx := context.WithValue(request.Context(), identityKey{}, identity)
		next.ServeHTTP(response, request.WithContext(ctx))
	})
}

// Server serves the system's own services on one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	security *Security
}

// NewServer listens on an IPv4 address with a port; port 0 picks a free one.
func NewServer(address string, handler http.Handler, security *Security, logger logrus.FieldLogger) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return NewServerOn(listener, handler, security, logger), nil
}

// NewServerOn returns a server that uses an open listener.
func NewServerOn(listener net.Listener, handler http.Handler, security *Security, logger logrus.FieldLogger) *Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(!security.IsPlaintext())
	protocols.SetUnencryptedHTTP2(security.IsPlaintext())
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
			SendPingTimeout:      pingInterval,
			PingTimeout:          pingTimeout,
		},
		ErrorLog: log.New(debugWriter(logger), "", 0),
	}
	if !security.IsPlaintext() {
		server.TLSConfig = security.serverTLS()
	}
	return &Server{http: server, listener: listener, security: security}
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve() error {
	var err error
	if s.security.IsPlaintext() {
		err = s.http.Serve(s.listener)
	} else {
		err = s.http.ServeTLS(s.listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Shutdown stops accepting connections, waits for calls in flight until the
// context is done, and closes all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	return errors.Join(err, s.http.Close())
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// debugWriter returns a writer that logs the lines of net/http's server.
func debugWriter(logger logrus.FieldLogger) io.Writer { return lineWriter{logger} }

type lineWriter struct{ logger logrus.FieldLogger }

// Write logs one line.
func (w lineWriter) Write(line []byte) (int, error) {
	w.logger.WithField("reason", string(line)).Debug("connection failed")
	return len(line), nil
}
