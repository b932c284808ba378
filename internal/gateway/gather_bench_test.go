package gateway_test

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
)

// Size of the benchmarked site: a query of a large index, gathered by other routers.
const (
	measuredShards  = 180
	measuredRouters = 16
)

// cellShards is the number of shards of a cell.
const cellShards = 14

// BenchmarkGatherBySlices measures a request over many shards, all gathered by other routers
// that answer at once. The CPU time includes that of the client and the fake routers.
func BenchmarkGatherBySlices(b *testing.B) {
	site, document := measuredSite(b, measuredShards, "b", func() string { return "127.0.0.1:1" })
	reply := &site.directory.reply
	for number := range measuredRouters {
		reply.Routers = append(reply.Routers, directory.ListedRouter{Name: fmt.Sprint("other", number), Zone: "b", Address: fakeSliceRouter(b)})
	}
	reply.RoutersDigest = 1
	site.measure(b, document)
}

// BenchmarkGatherHere measures a request over the shards of one cell, gathered locally from
// servers that answer at once.
func BenchmarkGatherHere(b *testing.B) {
	site, document := measuredSite(b, cellShards, "a", func() string { return fakePartServer(b) })
	site.measure(b, document)
}

// measuredSite starts a router of zone a, with a route over shards that have one server each
// in the given zone. The document is not installed yet.
func measuredSite(b *testing.B, shards int, zone string, server func() string) (*site, *routing.Document) {
	document := oneRoute(1, "s")
	route := &document.Routes[0]
	route.Targets, route.Shards, document.Services = nil, nil, nil
	route.TopRecords, route.LeastShare = 50, 0.95
	started := startSite(b, nil, nil)
	reply := &started.directory.reply
	for number := range shards {
		name := fmt.Sprint("s", number)
		route.Shards = append(route.Shards, name)
		document.Services = append(document.Services, routing.Service{Name: name})
		reply.Instances = append(reply.Instances, registry.Instance{
			ID: "i-" + name, Service: name, Address: server(), Zone: zone, Slots: 2, State: registry.Ready,
		})
	}
	reply.Revision = 1
	return started, document
}

// measure installs the document and sends requests over its shards.
func (s *site) measure(b *testing.B, document *routing.Document) {
	s.install(document)
	time.Sleep(50 * time.Millisecond)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		if got := s.sendWith(http.Header{"X-Id": {benchmarkID(number)}}, http.MethodGet, "/a/", nil); got.status != http.StatusOK || got.header.Get("X-Missing") != "0" {
			b.Fatalf("%+v", got)
		}
	}
}

// fakeSliceRouter starts a router that answers each slice with all parts in one write.
func fakeSliceRouter(b *testing.B) string {
	return serve(b, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var slice struct{ Shards []string }
		if err := json.NewDecoder(request.Body).Decode(&slice); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		_, _ = writer.Write(fakeFrame(slice.Shards))
	}))
}

func fakeFrame(shards []string) []byte {
	body := []byte{1}
	body = binary.AppendUvarint(body, uint64(len(shards)))
	for position, shard := range shards {
		body = binary.AppendUvarint(body, uint64(position))
		body = binary.AppendUvarint(body, uint64(len(shard)))
		body = append(body, shard...)
	}
	body = binary.AppendUvarint(body, 0)
	body = append(body, make([]byte, 50*16)...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// benchmarkRequests is more than the requests that a connection remembers, so that a kept one is
// used again when they are sent in turn.
const benchmarkRequests = 512

// benchmarkID returns the id of a request; all have the same length.
func benchmarkID(number int) string { return fmt.Sprintf("r-%04d", number%benchmarkRequests) }

// Parts of the answer of a server: before its id, and from it on.
const (
	partHead = "HTTP/1.1 200 OK\r\nX-Id: "
	partRest = "r-0000\r\nX-Stamp: s\r\nContent-Length: 1000\r\n\r\n"
)

// fakePartServer starts a server that answers each read with the same part.
func fakePartServer(b *testing.B) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEach(conn)
		}
	}()
	return listener.Addr().String()
}

// answerEach answers each read with a part and the id in it.
func answerEach(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	buffer, answer := make([]byte, 4096), append([]byte(partHead+partRest), make([]byte, 1000)...)
	for {
		read, err := conn.Read(buffer)
		if err != nil {
			return
		}
		_, id, _ := bytes.Cut(buffer[:read], []byte("X-Id: "))
		copy(answer[len(partHead):], id[:len(benchmarkID(0))])
		if _, err := conn.Write(answer); err != nil && err != io.EOF {
			return
		}
	}
}
