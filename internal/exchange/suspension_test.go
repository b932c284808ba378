package exchange_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/proof/suspension"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// TestKeptConnectionIsNotReusedAfterASuspension suspends the machine for longer than servers keep
// idle connections: the next attempt must open another connection and have its full time.
func TestKeptConnectionIsNotReusedAfterASuspension(t *testing.T) {
	machine := suspension.NewMachine(t)
	b := startBackend(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, replyTo(request, "body"))
		return true
	})
	pool := newPool(t)
	send := func(id string) {
		request := newRequest(id)
		server := scatter.Server{ID: "instance", Address: b.listener.Addr().String()}
		outcome := pool.Start(pool.Encode(request), server, steadyclock.Now().Add(2*time.Second)).Run()
		require.Equal(t, scatter.NoFailure, outcome.Failure)
	}
	send("r1")
	send("r2")
	require.EqualValues(t, 1, b.connections.Load())
	machine.Suspend(time.Minute)
	send("r3")
	require.EqualValues(t, 2, b.connections.Load())
}

// TestRequestIsNotSentLongAfterItsServerWasChosen guards against a request that reaches a
// server long after it was chosen, because the process or its machine was suspended in
// between: the server may have been removed by then.
func TestRequestIsNotSentLongAfterItsServerWasChosen(t *testing.T) {
	machine := suspension.NewMachine(t)
	b := startBackend(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, replyTo(request, "body"))
		return true
	})
	pool := newPool(t)
	server := scatter.Server{ID: "instance", Address: b.listener.Addr().String()}
	sent := 0
	start := func() *exchange.Attempt {
		sent++
		return pool.Start(pool.Encode(newRequest(fmt.Sprint("r", sent))), server, steadyclock.Now().Add(time.Minute))
	}
	for _, kept := range []bool{false, true} {
		late := start()
		machine.Suspend(exchange.MaxSendDelay + time.Millisecond)
		outcome := late.Run()
		require.Equal(t, scatter.NotSent, outcome.Failure, "connection kept: %v", kept)
		require.Equal(t, verdict.NotRun, outcome.Verdict)
		require.Zero(t, b.requests.Load()-lo.Ternary[int64](kept, 1, 0))
		if !kept {
			require.Equal(t, scatter.NoFailure, start().Run().Failure)
		}
	}
}
