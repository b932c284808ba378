package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

func TestGatheredResponseNamesItsParts(t *testing.T) {
	part := func(records ...string) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("X-Id", request.Header.Get("X-Id"))
			writer.Header().Set("X-Stamp", request.Header.Get("X-Meant"))
			_, _ = io.WriteString(writer, strings.Join(records, ""))
		}
	}
	document := oneRoute(1, "s")
	document.Routes[0].Targets, document.Routes[0].Shards = nil, []string{"s", "t"}
	document.Routes[0].TopRecords, document.Routes[0].LeastShare = 2, 0.5
	s := startSite(t, document, map[string]http.HandlerFunc{
		"s": part("aaaaaaaaaaaaaaaa", "cccccccccccccccc"), "t": part("bbbbbbbbbbbbbbbb", "remainder"),
	})
	got := s.send(http.MethodGet, "/a/", nil)
	require.Equal(t, "ccccccccccccccccbbbbbbbbbbbbbbbb", got.body)
	require.ElementsMatch(t, []string{"i-s", "i-t"}, strings.Split(got.header.Get("X-Stamps"), ","))
	require.Equal(t, "0", got.header.Get("X-Missing"))
}

// gatherAcross starts a router in zone a. The only server of shard t is in zone b, where the
// given addresses are listed as routers.
func gatherAcross(t *testing.T, others ...string) *site {
	part := func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Stamp", request.Header.Get("X-Meant"))
		_, _ = io.WriteString(writer, "aaaaaaaaaaaaaaaa")
	}
	document := oneRoute(1, "s")
	document.Routes[0].Targets, document.Routes[0].Shards = nil, []string{"s", "t"}
	document.Routes[0].TopRecords, document.Routes[0].LeastShare = 10, 1
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": part, "t": part})
	s.directory.mutex.Lock()
	// A reply that is being sent holds the former list.
	s.directory.reply.Instances = slices.Clone(s.directory.reply.Instances)
	for index := range s.directory.reply.Instances {
		s.directory.reply.Instances[index].Zone = map[string]string{"s": "a", "t": "b"}[s.directory.reply.Instances[index].Service]
	}
	for number, address := range others {
		s.directory.reply.Routers = append(s.directory.reply.Routers, directory.ListedRouter{
			Name: fmt.Sprint("other", number), Zone: "b", Address: address,
		})
	}
	s.directory.reply.RoutersDigest = 1
	s.directory.reply.Revision++
	s.directory.mutex.Unlock()
	s.install(document)
	// A document becomes active before the routers of the same reply are applied, but after
	// those of the previous reply.
	document.Version++
	s.install(document)
	return s
}

// TestSliceOfAnUnreachableRouterIsGatheredLocally guards against losing a request together
// with the router that gathers a slice of it. No other process can listen at the address, as
// could happen if it had been in use before.
func TestSliceOfAnUnreachableRouterIsGatheredLocally(t *testing.T) {
	s := gatherAcross(t, testaddress.Next().String())
	for range 3 {
		got := s.send(http.MethodGet, "/a/", nil)
		require.Equal(t, http.StatusOK, got.status)
		require.ElementsMatch(t, []string{"i-s", "i-t"}, strings.Split(got.header.Get("X-Stamps"), ","))
		require.Len(t, got.body, 32)
	}
}

func TestSliceOfAFailingRouterIsGatheredLocally(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"floods": func(writer http.ResponseWriter, _ *http.Request) {
			for range 10_000 {
				_, _ = io.WriteString(writer, "\x00\x00\x00\x03\x00\x00\x00")
			}
		},
		"unresponsive": func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() },
		"refuses":      func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) },
		"closes the connection": func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "\x00\x00\x00\x09cut")
		},
		"malformed frame": func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "\x00\x00\x00\x03\x01\xff\xff")
		},
	} {
		s := gatherAcross(t, serve(t, handler))
		got := s.send(http.MethodGet, "/a/", nil)
		require.Equal(t, http.StatusOK, got.status, name)
		require.Equal(t, "0", got.header.Get("X-Missing"), name)
		require.Len(t, got.body, 32, name)
	}
}

// TestSliceOfAnUnresponsiveRouterIsGatheredByABackup has the first router not respond: a
// second router gathers the slice, and receives that the servers may have been called before.
func TestSliceOfAnUnresponsiveRouterIsGatheredByABackup(t *testing.T) {
	var requests atomic.Int64
	earlier := make(chan int, 4)
	other := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var slice struct {
			Shards  []string
			Earlier int
		}
		_ = json.NewDecoder(request.Body).Decode(&slice)
		if requests.Add(1) == 1 {
			<-request.Context().Done()
			return
		}
		earlier <- slice.Earlier
		_, _ = writer.Write(fakeFrame(slice.Shards))
	})
	s := gatherAcross(t, serve(t, other), serve(t, other))
	got := s.send(http.MethodGet, "/a/", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.ElementsMatch(t, []string{"i-s", "t"}, strings.Split(got.header.Get("X-Stamps"), ","), "the fake router signs with the shard's name")
	require.Equal(t, 1, <-earlier)
}

// TestSliceIsResentOverANewConnection has a router close a kept connection when the next slice
// arrives on it, as after a restart: the slice is resent, and the router is not suspected. A
// slice that is sent before the previous connection is idle uses a new connection, which tests
// nothing.
func TestSliceIsResentOverANewConnection(t *testing.T) {
	var slices atomic.Int64
	var ended atomic.Bool
	var connections sync.Map
	other := serve(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var slice struct{ Shards []string }
		_ = json.NewDecoder(request.Body).Decode(&slice)
		slices.Add(1)
		_, kept := connections.LoadOrStore(request.RemoteAddr, true)
		if kept && ended.CompareAndSwap(false, true) {
			panic(http.ErrAbortHandler)
		}
		_, _ = writer.Write(fakeFrame(slice.Shards))
	}))
	s := gatherAcross(t, other)
	sent := int64(0)
	for ; !ended.Load(); sent++ {
		require.Less(t, sent, int64(200), "no connection is reused")
		got := s.send(http.MethodGet, "/a/", nil)
		require.Equal(t, http.StatusOK, got.status)
		require.ElementsMatch(t, []string{"i-s", "t"}, strings.Split(got.header.Get("X-Stamps"), ","))
	}
	require.Equal(t, sent+1, slices.Load())
}
