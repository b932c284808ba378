package emulator

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkQuery measures a query and its reply over a kept connection, with
// the record written to a file. It includes a small client.
func BenchmarkQuery(b *testing.B) {
	config := testConfig()
	config.Model.Default.Median = time.Microsecond
	recorder, err := NewFileRecorder(filepath.Join(b.TempDir(), "backends.jsonl"))
	require.NoError(b, err)
	bench := newBenchWith(b, config, recorder)
	sent := wire(b, bench.ask("a1"))
	var failed atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		conn, err := net.Dial("tcp4", bench.fleet.Servers()[0].Address().String())
		if err != nil {
			failed.Add(1)
			return
		}
		reader := bufio.NewReader(conn)
		for loop.Next() {
			if _, err := conn.Write(sent); err != nil || !readsOK(reader) {
				failed.Add(1)
			}
		}
		_ = conn.Close()
	})
	b.StopTimer()
	bench.fleet.Close()
	require.NoError(b, recorder.Close())
	require.Zero(b, failed.Load())
}

func readsOK(reader *bufio.Reader) bool {
	reply, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, reply.Body)
	return err == nil && reply.StatusCode == http.StatusOK
}
