package exchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// codec is the header protocol of these tests.
type codec struct{}

func (codec) Outgoing(header message.Header, _ time.Duration, instance string) {
	header["X-Meant"] = []string{instance}
}

func (codec) Reply(status int, header message.Header) exchange.ReplyInfo {
	values := http.Header(header)
	return exchange.ReplyInfo{
		RequestID: values.Get("X-Id"), Stamp: values.Get("X-Stamp"),
		NotExecuted: values.Get("X-Not-Run") != "", OtherInstance: status == http.StatusMisdirectedRequest,
	}
}

// backend handles each request on a connection with its script.
type backend struct {
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
	script      func(number int64, request *http.Request, conn net.Conn) (keepOpen bool)
}

func startBackend(t *testing.T, script func(int64, *http.Request, net.Conn) bool) *backend {
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	started := &backend{listener: listener, script: script}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			started.connections.Add(1)
			go started.serve(conn)
		}
	}()
	return started
}

func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !b.script(b.requests.Add(1), request, conn) {
			return
		}
	}
}

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: of-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func newPool(t *testing.T) *exchange.Pool {
	pool := exchange.NewPool(codec{}, prometheus.NewRegistry())
	t.Cleanup(pool.Close)
	return pool
}

func newRequest(id string) *message.Request {
	return &message.Request{Method: http.MethodGet, Target: "/p?q=1", Host: "h", Header: message.Header{"X-Other": {"1"}, "X-Id": {id}}, ID: id}
}

// replyTo is reply with the id of a request.
func replyTo(request *http.Request, body string) string {
	return reply(request.Header.Get("X-Id"), body)
}

func run(pool *exchange.Pool, b *backend, id string) scatter.Outcome {
	request := newRequest(id)
	server := scatter.Server{ID: "instance", Address: b.listener.Addr().String()}
	return pool.Start(pool.Encode(request), server, time.Now().Add(2*time.Second)).Run()
}

func TestRequestIsForwardedUnchangedAndTheConnectionKept(t *testing.T) {
	b := startBackend(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		if request.RequestURI != "/p?q=1" || request.Host != "h" || request.Header.Get("X-Other") != "1" || request.Header.Get("X-Meant") != "instance" {
			return false
		}
		_, _ = io.WriteString(conn, replyTo(request, "body"))
		return true
	})
	pool := newPool(t)
	for _, id := range []string{"r1", "r2", "r3"} {
		outcome := run(pool, b, id)
		require.Equal(t, scatter.NoFailure, outcome.Failure)
		require.Equal(t, "body", string(outcome.Reply.Body))
		require.Equal(t, "of-"+id, outcome.Reply.Stamp)
	}
	require.EqualValues(t, 1, b.connections.Load())
}

func TestIncompleteRepliesNeverCount(t *testing.T) {
	for name, answer := range map[string]string{
		"cut body":         "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Stamp: s\r\nContent-Length: 9\r\n\r\nshort",
		"cut header":       "HTTP/1.1 200 OK\r\nX-Id: r\r\n",
		"no answer":        "\x16\x03\x01 garbage\r\n\r\n",
		"cut chunk":        "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"encoded":          "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
		"success unsigned": "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 1\r\n\r\nx",
		"other request":    reply("other", "x"),
		"nothing":          "",
	} {
		b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, answer)
			return false
		})
		outcome := run(newPool(t), b, "r")
		require.NotEqual(t, scatter.NoFailure, outcome.Failure, name)
		require.Equal(t, verdict.MayHaveRun, outcome.Verdict, name)
	}
}

func TestUnexpectedReplyIsNotTakenForTheNextOne(t *testing.T) {
	b := startBackend(t, func(number int64, request *http.Request, conn net.Conn) bool {
		id := fmt.Sprint("r", number)
		answer := reply(id, "body-"+id)
		if number == 1 {
			_, _ = io.WriteString(conn, answer+answer)
			return true
		}
		_, _ = io.WriteString(conn, answer)
		return true
	})
	pool := newPool(t)
	for number := 1; number <= 3; number++ {
		id := fmt.Sprint("r", number)
		outcome := run(pool, b, id)
		require.Equal(t, scatter.NoFailure, outcome.Failure)
		require.Equal(t, "body-"+id, string(outcome.Reply.Body))
	}
}

func TestLateReplyToAnEarlierRequestIsSkipped(t *testing.T) {
	b := startBackend(t, func(number int64, _ *http.Request, conn net.Conn) bool {
		if number == 2 {
			_, _ = io.WriteString(conn, reply("r1", "surplus"))
		}
		id := fmt.Sprint("r", number)
		_, _ = io.WriteString(conn, reply(id, "body-"+id))
		return true
	})
	pool := newPool(t)
	require.Equal(t, "body-r1", string(run(pool, b, "r1").Reply.Body))
	require.Equal(t, "body-r2", string(run(pool, b, "r2").Reply.Body))
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	b := startBackend(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nX-Stamp: s\r\nConnection: close\r\n\r\nall of it")
		return false
	})
	pool := newPool(t)
	for _, id := range []string{"r1", "r2"} {
		require.Equal(t, "all of it", string(run(pool, b, id).Reply.Body))
	}
	require.EqualValues(t, 2, b.connections.Load())
}

func TestUnframedAnswerThatIsResetIsIncomplete(t *testing.T) {
	b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Stamp: s\r\nConnection: close\r\n\r\npart of it")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	require.Equal(t, scatter.Broken, run(newPool(t), b, "r").Failure)
}

func TestOnlyTheServersReportProvesThatARequestDidNotRun(t *testing.T) {
	for status, sample := range map[string]struct {
		failure scatter.Failure
		known   verdict.Verdict
	}{
		"503 Unavailable\r\nX-Not-Run: 1": {scatter.Refused, verdict.NotRun},
		"503 Unavailable":                 {scatter.NoFailure, verdict.Ran},
		"421 Misdirected":                 {scatter.OtherInstance, verdict.NotRun},
		"500 Failed":                      {scatter.NoFailure, verdict.Ran},
	} {
		b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nX-Id: r\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		outcome := run(newPool(t), b, "r")
		require.Equal(t, sample.failure, outcome.Failure, status)
		require.Equal(t, sample.known, outcome.Verdict, status)
	}
}

func TestFailedConnectionProvesThatNothingRan(t *testing.T) {
	b := startBackend(t, func(int64, *http.Request, net.Conn) bool { return false })
	require.NoError(t, b.listener.Close())
	outcome := run(newPool(t), b, "r")
	require.Equal(t, scatter.NotConnected, outcome.Failure)
	require.Equal(t, verdict.NotRun, outcome.Verdict)
}

func TestResetOfANewConnectionIsDistinguishedFromABreak(t *testing.T) {
	b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	require.Equal(t, scatter.Unaccepted, run(newPool(t), b, "r").Failure)

	kept := startBackend(t, func(number int64, request *http.Request, conn net.Conn) bool {
		if number == 1 {
			_, _ = io.WriteString(conn, replyTo(request, "body"))
			return true
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	pool := newPool(t)
	require.Equal(t, scatter.NoFailure, run(pool, kept, "r1").Failure)
	require.Equal(t, scatter.Broken, run(pool, kept, "r2").Failure)
}

func TestConnectionThatTheServerClosedIsNotUsedAgain(t *testing.T) {
	b := startBackend(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, replyTo(request, "body"))
		return false
	})
	pool := newPool(t)
	for _, id := range []string{"r1", "r2", "r3"} {
		require.Equal(t, scatter.NoFailure, run(pool, b, id).Failure)
		// Wait for the FIN to arrive.
		time.Sleep(20 * time.Millisecond)
	}
	require.EqualValues(t, 3, b.connections.Load())
}

func TestAnnouncedIdleTimeIsRespected(t *testing.T) {
	b := startBackend(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		answer := strings.Replace(replyTo(request, "body"), "\r\nX-Id", "\r\nKeep-Alive: timeout=0\r\nX-Id", 1)
		_, _ = io.WriteString(conn, answer)
		return true
	})
	pool := newPool(t)
	run(pool, b, "r1")
	run(pool, b, "r2")
	require.EqualValues(t, 2, b.connections.Load())
}

func TestAbortClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	request := &message.Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "r"}
	pool := newPool(t)
	attempt := pool.Start(pool.Encode(request), scatter.Server{ID: "i", Address: b.listener.Addr().String()}, time.Now().Add(time.Minute))
	ended := make(chan scatter.Outcome, 1)
	go func() { ended <- attempt.Run() }()
	for b.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	attempt.Abort()
	require.Equal(t, scatter.Aborted, (<-ended).Failure)
	<-closed
}

func TestEarlyAnswerToALongRequestCostsTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var connections atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			// Replies after the header without reading the body.
			request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, replyTo(request, "early"))
		}
	}()
	pool := newPool(t)
	body := make([]byte, 8<<20)
	for _, id := range []string{"r1", "r2"} {
		request := newRequest(id)
		request.Method, request.Body = http.MethodPost, body
		outcome := pool.Start(pool.Encode(request), scatter.Server{ID: "i", Address: listener.Addr().String()}, time.Now().Add(5*time.Second)).Run()
		require.Equal(t, "early", string(outcome.Reply.Body))
	}
	require.EqualValues(t, 2, connections.Load(), "the rest of a body was followed by the next request")
}

// TestAnswerToAHeadRequestHasALengthAndNoBody sends HEAD requests over a kept connection.
func TestAnswerToAHeadRequestHasALengthAndNoBody(t *testing.T) {
	b := startBackend(t, func(_ int64, request *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\n")
		return true
	})
	pool := newPool(t)
	for _, id := range []string{"r1", "r2"} {
		request := newRequest(id)
		request.Method = http.MethodHead
		outcome := pool.Start(pool.Encode(request), scatter.Server{ID: "i", Address: b.listener.Addr().String()}, time.Now().Add(2*time.Second)).Run()
		require.Equal(t, scatter.NoFailure, outcome.Failure)
		require.Empty(t, outcome.Reply.Body)
	}
	require.EqualValues(t, 1, b.connections.Load())
}

// TestDeclaredLengthAloneAllocatesNoMemory has servers declare long bodies and close the connection early.
func TestDeclaredLengthAloneAllocatesNoMemory(t *testing.T) {
	b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Stamp: s\r\nContent-Length: 16000000\r\n\r\nshort")
		return false
	})
	pool := newPool(t)
	allocated := testing.Benchmark(func(bench *testing.B) {
		bench.ReportAllocs()
		for bench.Loop() {
			require.Equal(t, scatter.Broken, run(pool, b, "r").Failure)
		}
	})
	require.Less(t, allocated.AllocedBytesPerOp(), int64(1<<20))
}

// TestStatusesThatAreNoAnswerNeverCount guards against answers of servers in trouble, with or without
// a whole one behind them.
func TestStatusesThatAreNoAnswerNeverCount(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "101", "600", "999"} {
		for _, behind := range []string{"", reply("r", "x")} {
			b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				_, _ = io.WriteString(conn, strings.Replace(reply("r", ""), "200", status, 1)+behind)
				return false
			})
			outcome := run(newPool(t), b, "r")
			require.Equal(t, scatter.Broken, outcome.Failure, status)
			require.Equal(t, verdict.MayHaveRun, outcome.Verdict, status)
			require.Nil(t, outcome.Reply, status)
		}
	}
}

// TestReplyCutAtAnyByteIsNoReply guards against heads that are cut short and taken for whole.
func TestReplyCutAtAnyByteIsNoReply(t *testing.T) {
	whole := reply("r", "body")
	for length := range len(whole) {
		b := startBackend(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, whole[:length])
			return false
		})
		outcome := run(newPool(t), b, "r")
		require.NotEqual(t, scatter.NoFailure, outcome.Failure, "%q", whole[:length])
		require.Nil(t, outcome.Reply, "%q", whole[:length])
	}
}
