package callers

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/wait"
)

// typeOf names a type for the schema registry.
func typeOf[T any]() reflect.Type { return reflect.TypeFor[T]() }

// StopConfig sets the pace of a planned stop.
type StopConfig struct {
	// Notice is how long the router serves on after it reported not ready, so
	// that callers move away.
	Notice time.Duration
	// Quiet is how long no request may have come before the listener closes.
	Quiet time.Duration
	// QuietLimit bounds the wait for a quiet moment.
	QuietLimit time.Duration
	// Limit bounds the whole stop.
	Limit time.Duration
}

// Server serves the callers' API until it is stopped as planned.
type Server struct {
	http   *http.Server
	router Router
	config StopConfig
	logger logrus.FieldLogger
	// connections are those of the callers.
	connections *connections
	// lastQuery is the arrival of the newest query, in Unix nanoseconds. Those
	// who poll readiness must not hold up the stop.
	lastQuery atomic.Int64
}

const readHeaderTimeout = 10 * time.Second

// NewServer returns a server for a handler of NewHandler.
func NewServer(config StopConfig, handler http.Handler, served Router, logger logrus.FieldLogger) *Server {
	server := &Server{router: served, config: config, logger: logger, connections: newConnections()}
	server.http = &http.Server{
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         server.connections.observe,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodPost {
				server.lastQuery.Store(time.Now().UnixNano())
			}
			handler.ServeHTTP(writer, request)
		}),
	}
	return server
}

// Run serves until the context ends, then stops as planned: not ready at once,
// serving through the notice time, then refusing new requests while those in
// flight finish. It returns nil when nothing was cut off.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	raw, ok := listener.(rawListener)
	if !ok {
		return errors.Newf("callers' API: %T is not a TCP listener", listener)
	}
	entrance := newGate(raw)
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(entrance) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "callers' API")
	case <-ctx.Done():
	}
	err := s.stop(entrance)
	if err != nil {
		// The limit has passed: what is left is cut off, and the error says so.
		err = errors.CombineErrors(err, s.http.Close())
	}
	<-served
	return err
}

func (s *Server) stop(entrance *gate) error {
	bounded, cancel := context.WithTimeout(context.Background(), s.config.Limit)
	defer cancel()
	s.router.BeginStop()
	s.logger.WithField("notice", s.config.Notice).Info("planned stop: not ready, serving on")
	wait.For(bounded, s.config.Notice)
	s.logger.Info("planned stop: refusing new requests")
	if err := s.router.Stop(bounded); err != nil {
		return errors.Wrap(err, "planned stop: requests were still in flight")
	}
	s.awaitQuiet(bounded)
	entrance.drain(bounded)
	s.connections.awaitIdle(bounded)
	// Only connections without a request are closed here.
	err := s.http.Shutdown(bounded)
	s.logger.Info("planned stop: done")
	return errors.Wrap(err, "planned stop")
}

// awaitQuiet keeps answering refusals until no query has come for a while,
// so that closing idle connections meets no request on its way.
func (s *Server) awaitQuiet(ctx context.Context) {
	const step = 10 * time.Millisecond
	limit := time.Now().Add(s.config.QuietLimit)
	for time.Now().Before(limit) && ctx.Err() == nil {
		if time.Since(time.Unix(0, s.lastQuery.Load())) >= s.config.Quiet {
			return
		}
		wait.For(ctx, step)
	}
}
