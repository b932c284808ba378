package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

func newSender(t testing.TB, config Config) *Sender {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	client := New(config, Dependencies{Logger: logger, Registerer: prometheus.NewRegistry()})
	t.Cleanup(client.Close)
	return client.Sender("router-0")
}

// rawServer is a fake back end that gives the test control over every byte on
// the wire. It counts executions and connections that delivered data.
type rawServer struct {
	address              netip.AddrPort
	listener             net.Listener
	executions           atomic.Int64
	connectionsWithBytes atomic.Int64 // connections on which any byte of a query arrived
}

// newRawServer starts a server that runs serve for each accepted connection.
func newRawServer(t testing.TB, serve func(server *rawServer, socket *net.TCPConn)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp4", testaddress.Next().String())
	require.NoError(t, err)
	server := &rawServer{listener: listener, address: listener.Addr().(*net.TCPAddr).AddrPort()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(server, socket.(*net.TCPConn))
		}
	}()
	return server
}

// reset closes a connection with a TCP reset.
func reset(socket *net.TCPConn) {
	_ = socket.SetLinger(0)
	_ = socket.Close()
}

func attemptTo(address netip.AddrPort, number int) query.Send {
	return query.Send{
		Attempt: query.AttemptID(number), CallerID: "caller-7", Address: address, Service: "search",
		Shard: 3, Generation: 2, Version: 9, Timeout: 5 * time.Second, Body: []byte(`{"q":"free desk"}`),
	}
}

// executedReply returns the complete reply of a back end that executed the
// attempt.
func executedReply(attempt query.Send) []byte {
	body := []byte(`{"items":[{"id":1},{"id":2}]}`)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: caller-7\r\n%s: router-0-%d\r\n%s: 3\r\n"+
		"%s: 2\r\n%s: 9\r\n%s: %s\r\n%s: %s\r\n\r\n%s", len(body),
		backendapi.HeaderRequest, backendapi.HeaderAttempt, attempt.Attempt, backendapi.HeaderShard,
		backendapi.HeaderGeneration, backendapi.HeaderVersion,
		backendapi.HeaderRequestDigest, backendapi.Digest(attempt.Body),
		backendapi.HeaderDigest, backendapi.Digest(body), body)
}

// refusedReply returns a reply by which a back end proves that it did not run
// the attempt.
func refusedReply(attempt query.Send) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n%s: router-0-%d\r\n%s: not_run\r\n%s: draining\r\n%s: 1\r\n\r\nno.\r\n",
		backendapi.HeaderAttempt, attempt.Attempt, backendapi.HeaderVerdict, backendapi.HeaderReason, backendapi.HeaderDraining)
}

// readQuery reads one request and reports whether it was complete.
func readQuery(socket io.Reader) bool {
	request, err := http.ReadRequest(bufio.NewReader(socket))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func TestResetAtEveryByteOfTheReply(t *testing.T) {
	replies := map[string]func(query.Send) []byte{
		"executed": executedReply,
		"refused":  refusedReply,
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			whole := reply(attemptTo(netip.AddrPort{}, 0))
			headers := bytes.Index(whole, []byte("\r\n\r\n")) + len("\r\n\r\n")
			for cut := range len(whole) + 1 {
				server := newRawServer(t, func(server *rawServer, socket *net.TCPConn) {
					server.connectionsWithBytes.Add(1)
					if readQuery(socket) && name == "executed" {
						server.executions.Add(1)
					}
					_, _ = socket.Write(whole[:cut])
					// An orderly close delivers the bytes before the end of the
					// stream; after a reset, the peer may discard them.
					_ = socket.Close()
				})
				outcome := newSender(t, Config{}).Send(t.Context(), attemptTo(server.address, 0))
				require.EqualValues(t, 1, server.connectionsWithBytes.Load(), "cut at %d: one connection", cut)
				checkReplyVerdict(t, outcome, name, cut, headers, len(whole))
				_ = server.listener.Close()
			}
		})
	}
}

func checkReplyVerdict(t *testing.T, outcome query.Event, name string, cut, headers, whole int) {
	t.Helper()
	if name == "executed" && cut == whole {
		require.IsType(t, query.PartArrived{}, outcome)
		return
	}
	failed, ok := outcome.(query.AttemptFailed)
	require.True(t, ok, "%s cut at %d: %+v", name, cut, outcome)
	proved := name == "refused" && cut >= headers
	require.Equal(t, proved, failed.Verdict == verdict.NotRun, "%s cut at %d: %+v", name, cut, failed)
}

func TestResetAtEveryByteOfTheRequest(t *testing.T) {
	length := requestLength(t)
	for cut := range length + 1 {
		server := newRawServer(t, func(server *rawServer, socket *net.TCPConn) {
			read, _ := io.CopyN(io.Discard, socket, int64(cut))
			if read > 0 {
				server.connectionsWithBytes.Add(1)
			}
			if read == int64(length) {
				server.executions.Add(1)
			}
			reset(socket)
		})
		outcome := newSender(t, Config{}).Send(t.Context(), attemptTo(server.address, 0))
		failed, ok := outcome.(query.AttemptFailed)
		require.True(t, ok)
		require.LessOrEqual(t, server.connectionsWithBytes.Load(), int64(1), "cut at %d: sent again", cut)
		require.LessOrEqual(t, server.executions.Load(), int64(1))
		if failed.Verdict == verdict.NotRun {
			require.Zero(t, server.connectionsWithBytes.Load(), "cut at %d: not_run, yet bytes arrived", cut)
		}
		_ = server.listener.Close()
	}
}

// requestLength returns the number of bytes of one attempt on the wire.
func requestLength(t *testing.T) int {
	t.Helper()
	seen := make(chan int, 1)
	server := newRawServer(t, func(_ *rawServer, socket *net.TCPConn) {
		var copied bytes.Buffer
		readQuery(io.TeeReader(socket, &copied))
		seen <- copied.Len()
		_ = socket.Close()
	})
	newSender(t, Config{}).Send(t.Context(), attemptTo(server.address, 0))
	return <-seen
}

// A back end may close a connection while it is idle in the pool. Reusing it
// must neither execute a query twice nor yield a false "not run" verdict.
func TestQueryIsNotResentAfterReusedConnectionFails(t *testing.T) {
	for round := range 100 {
		server := newRawServer(t, func(server *rawServer, socket *net.TCPConn) {
			if readQuery(socket) {
				server.executions.Add(1)
				_, _ = socket.Write(executedReply(attemptTo(server.address, 1)))
			}
			if round%2 == 0 {
				reset(socket)
				return
			}
			if readQuery(socket) {
				server.executions.Add(1)
			}
			reset(socket)
		})
		sender := newSender(t, Config{})
		require.IsType(t, query.PartArrived{}, sender.Send(t.Context(), attemptTo(server.address, 1)))
		failed, ok := sender.Send(t.Context(), attemptTo(server.address, 2)).(query.AttemptFailed)
		if ok && failed.Verdict == verdict.NotRun {
			require.EqualValues(t, 1, server.executions.Load(), "round %d", round)
		}
		require.LessOrEqual(t, server.executions.Load(), int64(2), "round %d: sent again", round)
		_ = server.listener.Close()
	}
}

// A back end that closes every connection after one reply leaves dead ones in
// the pool. An attempt that finds its connection dead before the first byte is
// written uses another one, and runs at most once.
func TestDeadConnectionIsSkipped(t *testing.T) {
	const attempts = 1000
	server := newRawServer(t, func(server *rawServer, socket *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(socket))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			server.executions.Add(1)
			number, _ := strconv.Atoi(strings.TrimPrefix(request.Header.Get(backendapi.HeaderAttempt), "router-0-"))
			_, _ = socket.Write(executedReply(attemptTo(server.address, number)))
		}
		reset(socket)
	})
	sender := newSender(t, Config{})
	arrived := int64(0)
	for number := range attempts {
		outcome := sender.Send(t.Context(), attemptTo(server.address, number))
		if _, ok := outcome.(query.PartArrived); ok {
			arrived++
			continue
		}
		require.Equal(t, verdict.MayHaveRun, outcome.(query.AttemptFailed).Verdict, "attempt %d", number)
	}
	require.GreaterOrEqual(t, server.executions.Load(), arrived)
	require.LessOrEqual(t, server.executions.Load(), int64(attempts))
	require.Positive(t, arrived)
}

// If a cancellation precedes the first write, the back end must not receive any
// byte of the query afterwards.
func TestCanceledBeforeTheWriteIsNeverWritten(t *testing.T) {
	server := newRawServer(t, func(server *rawServer, socket *net.TCPConn) {
		buffer := make([]byte, 1)
		if read, _ := socket.Read(buffer); read > 0 {
			server.connectionsWithBytes.Add(1)
		}
		_, _ = io.Copy(io.Discard, socket)
		_ = socket.Close()
	})
	sender := newSender(t, Config{})
	random := rand.New(rand.NewPCG(1, 2))
	written, unwritten := int64(0), 0
	const rounds = 400
	for number := range rounds {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(300))*time.Microsecond)
		failed := sender.Send(ctx, attemptTo(server.address, number)).(query.AttemptFailed)
		cancel()
		if failed.Verdict == verdict.NotRun {
			unwritten++
		} else {
			written++
		}
	}
	require.LessOrEqual(t, server.connectionsWithBytes.Load(), written)
	require.Positive(t, unwritten)
	require.Positive(t, written)
}

func TestRefusedDialIsNotRun(t *testing.T) {
	server := newRawServer(t, func(_ *rawServer, socket *net.TCPConn) { reset(socket) })
	_ = server.listener.Close()
	failed := newSender(t, Config{}).Send(t.Context(), attemptTo(server.address, 1)).(query.AttemptFailed)
	require.Equal(t, verdict.NotRun, failed.Verdict)
	require.Equal(t, verdict.ReasonConnection, failed.Reason)
}

func TestWrongEchoDigestAndLengthAreDropped(t *testing.T) {
	attempt := attemptTo(netip.AddrPort{}, 4)
	corrupt := func(old, replacement string) []byte {
		return bytes.Replace(executedReply(attempt), []byte(old), []byte(replacement), 1)
	}
	replies := map[string][]byte{
		"other attempt": corrupt("router-0-4", "router-0-5"),
		"other body":    corrupt(`"id":2`, `"id":3`),
		"no shard":      corrupt(backendapi.HeaderShard, "Other"),
		"not JSON":      corrupt(`{"items":[{"id":1},{"id":2}]}`, `{"items":[{"id":1},{"id":2}}}`),
		"endless head":  corrupt("Content-Length: 29", strings.Repeat("Filler: 0123456789\r\n", 4<<10)+"Content-Length: 29"),
		"too long":      corrupt("Content-Length: 29", "Content-Length: 99999999"),
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, func(_ *rawServer, socket *net.TCPConn) {
				readQuery(socket)
				_, _ = socket.Write(reply)
				_ = socket.Close()
			})
			attempt.Address = server.address
			failed, ok := newSender(t, Config{}).Send(t.Context(), attempt).(query.AttemptFailed)
			require.True(t, ok)
			require.Equal(t, verdict.MayHaveRun, failed.Verdict)
		})
	}
}

// A refusal proves "not run" only if it names this attempt and its headers are
// unambiguous. Otherwise an at-most-once request could be executed twice.
func TestAmbiguousRefusalIsNotProofOfNotRun(t *testing.T) {
	attempt := attemptTo(netip.AddrPort{}, 4)
	echo, proof := backendapi.HeaderAttempt+": router-0-4\r\n", backendapi.HeaderVerdict+": not_run\r\n"
	replies := map[string][2]string{
		"no attempt":    {echo, ""},
		"other attempt": {echo, backendapi.HeaderAttempt + ": router-0-5\r\n"},
		"two attempts":  {echo, echo + backendapi.HeaderAttempt + ": router-0-5\r\n"},
		"two verdicts":  {proof, proof + backendapi.HeaderVerdict + ": may_have_run\r\n"},
	}
	for name, change := range replies {
		t.Run(name, func(t *testing.T) {
			reply := strings.Replace(string(refusedReply(attempt)), change[0], change[1], 1)
			server := newRawServer(t, func(_ *rawServer, socket *net.TCPConn) {
				readQuery(socket)
				_, _ = socket.Write([]byte(reply))
				_ = socket.Close()
			})
			attempt.Address = server.address
			failed, ok := newSender(t, Config{}).Send(t.Context(), attempt).(query.AttemptFailed)
			require.True(t, ok)
			require.Equal(t, verdict.MayHaveRun, failed.Verdict)
		})
	}
}

// A header value that contains line breaks would inject another header and
// must not reach the wire.
func TestHeaderThatBreaksTheRequestIsNotSent(t *testing.T) {
	server := newRawServer(t, func(server *rawServer, socket *net.TCPConn) {
		if read, _ := socket.Read(make([]byte, 1)); read > 0 {
			server.connectionsWithBytes.Add(1)
		}
		reset(socket)
	})
	attempt := attemptTo(server.address, 1)
	attempt.CallerID = "a\r\nMartenstage-Once: 1"
	failed := newSender(t, Config{}).Send(t.Context(), attempt).(query.AttemptFailed)
	require.Equal(t, verdict.NotRun, failed.Verdict)
	require.Zero(t, server.connectionsWithBytes.Load())
}
