package exchange_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// BenchmarkAttempt measures the router's CPU time for a shard: one attempt over a kept
// connection, with a part of 1,000 bytes. The server sends a fixed reply, whose time is
// included.
func BenchmarkAttempt(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = listener.Close() }()
	go serveFixed(listener)
	pool := exchange.NewPool(codec{}, prometheus.NewRegistry())
	defer pool.Close()
	request := &message.Request{
		Method: http.MethodGet, Target: "/a/b", Host: "site", ID: "r-1",
		Header: message.Header{"X-Id": {"r-1"}, "Accept": {"*/*"}},
	}
	server := scatter.Server{ID: "i-1", Address: listener.Addr().String()}
	encoded := pool.Encode(request)
	b.ReportAllocs()
	for b.Loop() {
		outcome := pool.Start(encoded, server, time.Now().Add(time.Second)).Run()
		if outcome.Verdict != verdict.Ran || outcome.Failure != scatter.NoFailure {
			b.Fatalf("outcome %+v", outcome)
		}
	}
}

// serveFixed sends the same reply for whatever arrives in one read.
func serveFixed(listener net.Listener) {
	answer := append([]byte("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Stamp: s\r\nContent-Length: 1000\r\n\r\n"), make([]byte, 1000)...)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			buffer := make([]byte, 4096)
			for {
				if _, err := conn.Read(buffer); err != nil {
					_ = conn.Close()
					return
				}
				if _, err := conn.Write(answer); err != nil && err != io.EOF {
					return
				}
			}
		}()
	}
}
