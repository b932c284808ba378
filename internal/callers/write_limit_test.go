package callers

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// oneConnection is a listener whose only connection is one end of a pipe. A
// pipe has no buffers, so that a write waits for the reader, and its time
// limits run on the virtual clock.
type oneConnection struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *oneConnection) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *oneConnection) Close() error   { close(l.closed); return nil }
func (l *oneConnection) Addr() net.Addr { return &net.TCPAddr{} }

// replyOver serves a document over a pipe. It returns the caller's end, on
// which the request was sent, and the outcome of writing the document.
func replyOver(t *testing.T, document []byte) (net.Conn, <-chan error) {
	t.Helper()
	outcome := make(chan error, 1)
	listener := &oneConnection{connections: make(chan net.Conn, 1), closed: make(chan struct{})}
	server := &http.Server{Handler: boundWrites(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		outcome <- writeSteadily(writer, document)
	}))}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	caller, served := net.Pipe()
	listener.connections <- served
	t.Cleanup(func() {
		require.NoError(t, caller.Close())
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: router\r\n\r\n")
	require.NoError(t, err)
	return caller, outcome
}

// A caller who reads slowly, but never stands still for the time limit, gets
// the whole reply, however long that takes in all.
func TestSlowCallerGetsTheWholeReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		document := bytes.Repeat([]byte("0123456789abcdef"), 4*writeStep/16)
		caller, outcome := replyOver(t, document)
		began := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		received := make([]byte, len(document))
		for offset := 0; offset < len(received); offset += writeStep {
			time.Sleep(writeLimit - time.Second)
			_, err = io.ReadFull(response.Body, received[offset:offset+writeStep])
			require.NoError(t, err)
		}
		require.NoError(t, <-outcome)
		require.Equal(t, document, received)
		require.Greater(t, time.Since(began), 3*writeLimit)
	})
}

// A caller who stops reading holds the connection for the time limit and no
// longer.
func TestCallerWhoStopsReadingIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, outcome := replyOver(t, make([]byte, 4*writeStep))
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		_, err = io.ReadFull(response.Body, make([]byte, writeStep/2))
		require.NoError(t, err)
		began := time.Now()
		require.ErrorIs(t, <-outcome, os.ErrDeadlineExceeded)
		require.LessOrEqual(t, time.Since(began), writeLimit)
		require.Greater(t, time.Since(began), writeLimit/2)
	})
}
