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

	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/wait"
)

// typeOf returns the reflect.Type of T, for the schema registry.
func typeOf[T any]() reflect.Type { return reflect.TypeFor[T]() }

// StopConfig sets the durations of a planned stop.
type StopConfig struct {
	// Notice is how long the router continues to serve after reporting not
	// ready, so that callers switch to other routers.
	Notice time.Duration
	// Quiet is how long no query must have arrived before the listener closes.
	Quiet time.Duration
	// QuietLimit limits the wait for such a period.
	QuietLimit time.Duration
	// Limit limits the entire stop.
	Limit time.Duration
}

// Server serves the callers' API until a planned stop.
type Server struct {
	http   *httpdrain.Server
	router Router
	config StopConfig
	logger logrus.FieldLogger
	// lastQuery is the arrival time of the latest query, in Unix nanoseconds.
	// Readiness polls don't count, so that they don't delay the stop.
	lastQuery atomic.Int64
}

const readHeaderTimeout = 10 * time.Second

// NewServer returns a server for a handler of NewHandler.
func NewServer(config StopConfig, handler http.Handler, queryRouter Router, logger logrus.FieldLogger) *Server {
	server := &Server{router: queryRouter, config: config, logger: logger}
	server.http = httpdrain.NewServer(httpdrain.Config{
		ReadHeaderTimeout: readHeaderTimeout,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodPost {
				server.lastQuery.Store(time.Now().UnixNano())
			}
			handler.ServeHTTP(writer, request)
		}),
	})
	return server
}

// Run serves until the context is done, then performs a planned stop: it reports
// not ready immediately, serves for the notice time, then refuses new requests
// while those in flight finish. It returns nil if no request was cut off.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	tcp, ok := listener.(tcpListener)
	if !ok {
		return errors.Newf("callers' API: %T is not a TCP listener", listener)
	}
	callerListener := newDrainableListener(tcp)
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(callerListener) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "callers' API")
	case <-ctx.Done():
	}
	err := s.stop(callerListener)
	if err != nil {
		// The limit has passed: remaining requests are cut off.
		err = errors.CombineErrors(err, s.http.Close())
	}
	<-served
	return err
}

func (s *Server) stop(listener *drainableListener) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.Limit)
	defer cancel()
	s.router.BeginStop()
	s.logger.WithField("notice", s.config.Notice).Info("planned stop: not ready, serving on")
	wait.For(ctx, s.config.Notice)
	s.logger.Info("planned stop: refusing new requests")
	if err := s.router.Stop(ctx); err != nil {
		return errors.Wrap(err, "planned stop: requests were still in flight")
	}
	s.awaitQuiet(ctx)
	listener.drain(ctx)
	err := s.http.Drain(ctx)
	s.logger.Info("planned stop: done")
	return errors.Wrap(err, "planned stop")
}

// awaitQuiet waits, while queries are still refused, until none has arrived for
// the quiet period, so that closing idle connections drops no request in transit.
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
