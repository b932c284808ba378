package exchange_test

import (
	"bytes"
	"fmt"
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

// benchmarkRequests is more than the requests that a connection remembers, so that a kept one is
// used again when they are sent in turn.
const benchmarkRequests = 512

// BenchmarkAttempt measures the router's CPU time for a shard: one attempt over a kept
// connection, with a part of 1,000 bytes. The server sends a fixed reply but for the id, whose
// time is included.
func BenchmarkAttempt(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = listener.Close() }()
	go serveFixed(listener)
	pool := exchange.NewPool(codec{}, prometheus.NewRegistry())
	defer pool.Close()
	server := scatter.Server{ID: "i-1", Address: listener.Addr().String()}
	var encoded [benchmarkRequests]*exchange.Encoded
	for number := range encoded {
		id := fmt.Sprintf("r-%04d", number)
		encoded[number] = pool.Encode(&message.Request{
			Method: http.MethodGet, Target: "/a/b", Host: "site", ID: id,
			Header: message.Header{"X-Id": {id}, "Accept": {"*/*"}},
		})
	}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		outcome := pool.Start(encoded[number%benchmarkRequests], server, time.Now().Add(time.Second)).Run()
		if outcome.Verdict != verdict.Ran || outcome.Failure != scatter.NoFailure {
			b.Fatalf("outcome %+v", outcome)
		}
	}
}

// serveFixed sends the same reply, with the id of the request, for whatever arrives in one read.
func serveFixed(listener net.Listener) {
	head, rest := "HTTP/1.1 200 OK\r\nX-Id: ", "r-0000\r\nX-Stamp: s\r\nContent-Length: 1000\r\n\r\n"
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			buffer, answer := make([]byte, 4096), append([]byte(head+rest), make([]byte, 1000)...)
			for {
				read, err := conn.Read(buffer)
				if err != nil {
					_ = conn.Close()
					return
				}
				_, id, _ := bytes.Cut(buffer[:read], []byte("X-Id: "))
				copy(answer[len(head):], id[:len("r-0000")])
				if _, err := conn.Write(answer); err != nil && err != io.EOF {
					return
				}
			}
		}()
	}
}
