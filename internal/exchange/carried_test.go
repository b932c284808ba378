package exchange_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Statuses of the first answers that are sent a second time.
const (
	refusedFull      = "503 Unavailable\r\nX-Not-Run: 1"
	refusedBusy      = "429 Too Many Requests\r\nX-Not-Run: 1"
	otherServer      = "421 Misdirected\r\nX-Not-Run: 1"
	serverFailure    = "500 Failed"
	successfulAnswer = "200 OK"
)

// answerWith returns an answer to a request with a status and further header lines.
func answerWith(request *http.Request, status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", status, request.Header.Get("X-Id"), len(body), body)
}

// repeating writes answers, and sends the last answer of a connection once more in the place of
// the next one.
type repeating struct {
	mutex sync.Mutex
	last  map[net.Conn]string
}

// answer writes an answer after the repeats of the last one.
func (r *repeating) answer(conn net.Conn, repeats int, answer string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for range repeats {
		_, _ = io.WriteString(conn, r.last[conn])
	}
	r.last[conn] = answer
	_, _ = io.WriteString(conn, answer)
}

// TestRepeatedAnswerIsNotTakenForThatOfTheNextTry guards against a request that may not be
// repeated and runs twice, or runs after its client was told that it has not: a server that
// refused it sends the refusal once more when it gets the request again. A failure that is sent
// once more must not be passed on either. Another request keeps using the connections.
func TestRepeatedAnswerIsNotTakenForThatOfTheNextTry(t *testing.T) {
	for _, status := range []string{refusedFull, refusedBusy, otherServer, serverFailure, successfulAnswer} {
		server := repeating{last: map[net.Conn]string{}}
		b := startBackend(t, func(number int64, request *http.Request, conn net.Conn) bool {
			if number == 1 {
				server.answer(conn, 0, answerWith(request, status, "first"))
				return true
			}
			server.answer(conn, 1, answerWith(request, successfulAnswer, fmt.Sprint("try ", number)))
			return true
		})
		pool := newPool(t)
		run(pool, b, "r")
		outcome := run(pool, b, "r")
		require.Equal(t, scatter.NoFailure, outcome.Failure, status)
		require.Equal(t, verdict.Ran, outcome.Verdict)
		require.Equal(t, "try 2", string(outcome.Reply.Body), status)
		opened := b.connections.Load()
		for number := 3; number <= 5; number++ {
			require.Equal(t, fmt.Sprint("try ", number), string(run(pool, b, fmt.Sprint("other", number)).Reply.Body))
		}
		require.Equal(t, opened, b.connections.Load())
	}
}

// TestRequestIsSentAgainOverAKeptConnection checks that a second try opens no connection if
// one is kept that has not carried the request, and that a connection is replaced otherwise, so
// that a server has no more connections than attempts were in flight at once.
func TestRequestIsSentAgainOverAKeptConnection(t *testing.T) {
	var pair sync.WaitGroup
	pair.Add(2)
	b := startBackend(t, func(number int64, request *http.Request, conn net.Conn) bool {
		if number <= 2 {
			pair.Done()
			pair.Wait()
		}
		_, _ = io.WriteString(conn, answerWith(request, refusedFull, ""))
		return true
	})
	pool := newPool(t)
	var both sync.WaitGroup
	for _, id := range []string{"a", "b"} {
		both.Go(func() { run(pool, b, id) })
	}
	both.Wait()
	require.EqualValues(t, 2, b.connections.Load())
	run(pool, b, "a")
	require.EqualValues(t, 2, b.connections.Load(), "the other connection has not carried it")
	run(pool, b, "a")
	require.EqualValues(t, 3, b.connections.Load())
	require.Equal(t, 2, pool.Idle("instance"))
}

// TestEachTryGetsItsOwnAnswer sends few requests again and again to a server that refuses some of
// them and sends answers up to twice more, and compares each outcome with what the server did.
func TestEachTryGetsItsOwnAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		repeats := rapid.IntRange(0, 2).Draw(rt, "repeats")
		server := repeating{last: map[net.Conn]string{}}
		var status, body string
		b := startBackend(t, func(_ int64, request *http.Request, conn net.Conn) bool {
			server.answer(conn, random.IntN(repeats+1), answerWith(request, status, body))
			return true
		})
		pool := exchange.NewPool(codec{}, prometheus.NewRegistry())
		defer pool.Close()
		for try := range 40 {
			status, body = []string{refusedFull, otherServer, serverFailure, successfulAnswer}[random.IntN(4)], fmt.Sprint("try ", try)
			outcome := run(pool, b, fmt.Sprint("r", random.IntN(3)))
			require.NotNil(rt, outcome.Reply)
			require.Equal(rt, body, string(outcome.Reply.Body))
		}
	})
}
