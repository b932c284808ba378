package gateway_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
)

// Size of the benchmarked requests: 135 shards gathered by 16 other routers, some 8 each.
const (
	sentShards   = 135
	servedShards = 8
)

// BenchmarkSendSlices measures the router that the client reached: it sends 16 slices and merges
// their frames. The other routers are connections that parse almost nothing.
func BenchmarkSendSlices(b *testing.B) {
	site, document := measuredSite(b, sentShards, "b", func() string { return "127.0.0.1:1" })
	reply := &site.directory.reply
	for number := range measuredRouters {
		reply.Routers = append(reply.Routers, directory.ListedRouter{Name: fmt.Sprint("other", number), Zone: "b", Address: rawSliceRouter(b)})
	}
	reply.RoutersDigest = 1
	site.install(document)
	time.Sleep(50 * time.Millisecond)
	request := "GET /a/?query=0123456789 HTTP/1.1\r\nHost: site\r\nX-Id: r-0000\r\nX-Left: 3s\r\nAccept: */*\r\n" +
		"User-Agent: benchmark\r\nTraceparent: 00-0123456789abcdef0123456789abcdef-0123456789abcdef-01\r\n\r\n"
	conn := newRawConnection(b, site.address)
	measureProcessorTime(b, func() { conn.exchange(request) })
}

// BenchmarkServeSlice measures the router that gathers a slice of 8 shards for another one.
func BenchmarkServeSlice(b *testing.B) {
	site, document := measuredSite(b, servedShards, "a", func() string { return fakePartServer(b) })
	site.install(document)
	time.Sleep(50 * time.Millisecond)
	conn := newRawConnection(b, serve(b, site.router.PeerHandler()))
	var requests [benchmarkRequests]string
	for number := range requests {
		requests[number] = sliceOf(b, document, benchmarkID(number))
	}
	sent := 0
	measureProcessorTime(b, func() {
		conn.exchange(requests[sent%benchmarkRequests])
		sent++
	})
}

// sliceOf returns a request for the slice of all shards of a document.
func sliceOf(b *testing.B, document *routing.Document, id string) string {
	body, err := json.Marshal(map[string]any{
		"request": message.Request{
			Method: http.MethodGet, Target: "/a/?query=0123456789", Host: "site", ID: id, Header: message.Header{
				"X-Id": {id}, "Accept": {"*/*"}, "User-Agent": {"benchmark"},
				"Traceparent": {"00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"},
			},
		},
		"shards": document.Routes[0].Shards, "route": "r", "max_attempts": 2, "top_records": 50, "least_share": 0.95,
		"target": time.Second, "cut_left": time.Second, "deadline_left": 2 * time.Second, "caller": "127.0.0.1:1",
	})
	require.NoError(b, err)
	return fmt.Sprintf("POST /router/slice HTTP/1.1\r\nHost: other\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// measureProcessorTime calls a function repeatedly, and reports the processor time of each call,
// which other work on the machine changes less than its duration.
func measureProcessorTime(b *testing.B, call func()) {
	for range 50 {
		call()
	}
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// rawConnection sends requests with little work of its own.
type rawConnection struct {
	b      *testing.B
	conn   net.Conn
	reader *bufio.Reader
}

func newRawConnection(b *testing.B, address string) *rawConnection {
	conn, err := net.Dial("tcp4", address)
	require.NoError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	return &rawConnection{b: b, conn: conn, reader: bufio.NewReaderSize(conn, 16<<10)}
}

// exchange sends a request and reads its response, which must be successful.
func (c *rawConnection) exchange(request string) {
	if _, err := io.WriteString(c.conn, request); err != nil {
		c.b.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		c.b.Fatal(response, err)
	}
	if size, err := io.Copy(io.Discard, response.Body); err != nil || size < 50*16 {
		c.b.Fatal(size, err)
	}
}

// rawSliceRouter starts a router that answers each slice with all parts in one write, and only
// counts the shards of a slice.
func rawSliceRouter(b *testing.B) string {
	listener := listenLocal(b)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerSlices(conn)
		}
	}()
	return listener.Addr().String()
}

func answerSlices(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	buffer, answers := make([]byte, 0, 16<<10), map[int][]byte{}
	for {
		size := bytes.Index(buffer, []byte("\r\n\r\n"))
		length := 0
		if size >= 0 {
			_, rest, _ := bytes.Cut(buffer[:size+2], []byte("Content-Length: "))
			value, _, _ := bytes.Cut(rest, []byte("\r\n"))
			length, _ = strconv.Atoi(string(value))
		}
		if total := size + 4 + length; size < 0 || len(buffer) < total {
			read, err := conn.Read(buffer[len(buffer):cap(buffer)])
			if err != nil {
				return
			}
			buffer = buffer[:len(buffer)+read]
			continue
		}
		if _, err := conn.Write(answerOf(buffer, answers)); err != nil {
			return
		}
		buffer = buffer[:0]
	}
}

// answerOf returns the response to a slice with all its parts in one frame. It keeps the
// responses by their number of shards.
func answerOf(request []byte, answers map[int][]byte) []byte {
	_, list, _ := bytes.Cut(request, []byte(`"shards":[`))
	list, _, _ = bytes.Cut(list, []byte("]"))
	count := bytes.Count(list, []byte(",")) + 1
	if answers[count] == nil {
		answers[count] = newAnswer(count)
	}
	return answers[count]
}

func newAnswer(count int) []byte {
	shards := make([]string, count)
	for position := range shards {
		shards[position] = "signature-0123456789"
	}
	frame := fakeFrame(shards)
	return append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(frame)), frame...)
}
