package exchange_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// writeWithoutEnd writes a text over and over until the other side closes.
func writeWithoutEnd(conn net.Conn, text string) {
	block := strings.Repeat(text, 1+4096/len(text))
	for {
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
	}
}

// TestHeadWithoutEndIsGivenUp guards against heads that grow until the deadline.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, text := range map[string]string{
		"lines":         "a: b\r\n",
		"one line":      "a",
		"informational": "\r\nHTTP/1.1 103 Early Hints\r\n",
	} {
		b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n")
			writeWithoutEnd(conn, text)
			return false
		})
		outcome := run(newPool(t), b, "r")
		require.Equal(t, scatter.Broken, outcome.Failure, name)
		require.Equal(t, verdict.MayHaveRun, outcome.Verdict, name)
	}
}

// TestBodiesWithoutEndTakeBoundedMemory has many servers send bytes without end, and one answer.
func TestBodiesWithoutEndTakeBoundedMemory(t *testing.T) {
	const attempts, limit = 20, 4 << 20
	endless := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Stamp: s\r\n\r\n")
		writeWithoutEnd(conn, "x")
		return false
	})
	sound := startBackend(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, replyTo(request, strings.Repeat("y", 1<<20)))
		return true
	})
	pool := newPool(t)
	pool.LimitReplies(limit)
	var running sync.WaitGroup
	for range attempts {
		running.Go(func() {
			outcome := run(pool, endless, "r")
			require.Equal(t, scatter.Broken, outcome.Failure)
		})
	}
	require.Equal(t, scatter.NoFailure, run(pool, sound, "r").Failure)
	running.Wait()
	require.LessOrEqual(t, pool.PeakReplies(), int64(limit))
}
