package main

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// serveHTTP serves on an IPv4 address until the context ends.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "address %s", address)
	}
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "address %s", address)
	}
	return nil
}
