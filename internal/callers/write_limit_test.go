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

// pipeListener is a listener whose only connection is one end of a pipe. A pipe
// is unbuffered, so a write waits for the reader, and its deadlines use the
// virtual clock.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveOverPipe serves a document over a pipe. It returns the caller's end, on
// which the request was sent, and the result of writing the document.
func serveOverPipe(t *testing.T, document []byte) (net.Conn, <-chan error) {
	t.Helper()
	outcome := make(chan error, 1)
	listener := &pipeListener{connections: make(chan net.Conn, 1), closed: make(chan struct{})}
	server := &http.Server{Handler: limitWrites(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		outcome <- writeInChunks(writer, document)
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

// A caller that reads slowly, but never stalls for the write timeout, receives
// the complete reply, regardless of the total time.
func TestSlowCallerReceivesTheCompleteReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		document := bytes.Repeat([]byte("0123456789abcdef"), 4*writeChunk/16)
		caller, outcome := serveOverPipe(t, document)
		started := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		received := make([]byte, len(document))
		for offset := 0; offset < len(received); offset += writeChunk {
			time.Sleep(writeTimeout - time.Second)
			_, err = io.ReadFull(response.Body, received[offset:offset+writeChunk])
			require.NoError(t, err)
		}
		require.NoError(t, <-outcome)
		require.Equal(t, document, received)
		require.Greater(t, time.Since(started), 3*writeTimeout)
	})
}

// A caller that stops reading holds the connection only for the write timeout.
func TestCallerWhoStopsReadingIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, outcome := serveOverPipe(t, make([]byte, 4*writeChunk))
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		_, err = io.ReadFull(response.Body, make([]byte, writeChunk/2))
		require.NoError(t, err)
		started := time.Now()
		require.ErrorIs(t, <-outcome, os.ErrDeadlineExceeded)
		require.LessOrEqual(t, time.Since(started), writeTimeout)
		require.Greater(t, time.Since(started), writeTimeout/2)
	})
}
