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

func TestGatheredAnswerNamesItsParts(t *testing.T) {
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
	got := s.ask(http.MethodGet, "/a/", nil)
	require.Equal(t, "ccccccccccccccccbbbbbbbbbbbbbbbb", got.body)
	require.ElementsMatch(t, []string{"i-s", "i-t"}, strings.Split(got.header.Get("X-Stamps"), ","))
	require.Equal(t, "0", got.header.Get("X-Missing"))
}

// gatherAcross starts a router in zone a whose shard t has its only server in
// zone b, where other routers are said to listen.
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
	// A document is in force before the routers of the same reply are known, but not before
	// those of the reply before it.
	document.Version++
	s.install(document)
	return s
}

// TestSliceOfARouterThatIsGoneIsGatheredHere guards against a request that is lost with the router that
// was asked for a part of it. Nobody else can get the address, as one that was listened at could.
func TestSliceOfARouterThatIsGoneIsGatheredHere(t *testing.T) {
	s := gatherAcross(t, testaddress.Next().String())
	for range 3 {
		got := s.ask(http.MethodGet, "/a/", nil)
		require.Equal(t, http.StatusOK, got.status)
		require.ElementsMatch(t, []string{"i-s", "i-t"}, strings.Split(got.header.Get("X-Stamps"), ","))
		require.Len(t, got.body, 32)
	}
}

func TestSliceOfARouterThatIsSilentOrBreaksOffIsGatheredHere(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"floods": func(writer http.ResponseWriter, _ *http.Request) {
			for range 10_000 {
				_, _ = io.WriteString(writer, "\x00\x00\x00\x03\x00\x00\x00")
			}
		},
		"silent":  func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() },
		"refuses": func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) },
		"breaks off": func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "\x00\x00\x00\x09cut")
		},
		"garbles": func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "\x00\x00\x00\x03\x01\xff\xff")
		},
	} {
		s := gatherAcross(t, serve(t, handler))
		got := s.ask(http.MethodGet, "/a/", nil)
		require.Equal(t, http.StatusOK, got.status, name)
		require.Equal(t, "0", got.header.Get("X-Missing"), name)
		require.Len(t, got.body, 32, name)
	}
}

// TestSliceOfARouterThatIsSilentIsGatheredByAnotherOfItsCell has the first router that is
// asked keep silent: the second one stands in, and is told that the servers may have been
// asked before.
func TestSliceOfARouterThatIsSilentIsGatheredByAnotherOfItsCell(t *testing.T) {
	var asked atomic.Int64
	earlier := make(chan int, 4)
	other := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var slice struct {
			Shards  []string
			Earlier int
		}
		_ = json.NewDecoder(request.Body).Decode(&slice)
		if asked.Add(1) == 1 {
			<-request.Context().Done()
			return
		}
		earlier <- slice.Earlier
		_, _ = writer.Write(standInFrame(slice.Shards))
	})
	s := gatherAcross(t, serve(t, other), serve(t, other))
	got := s.ask(http.MethodGet, "/a/", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.ElementsMatch(t, []string{"i-s", "t"}, strings.Split(got.header.Get("X-Stamps"), ","), "the stand-in signs with the shard's name")
	require.Equal(t, 1, <-earlier)
}

// TestSliceIsSentAgainOverANewConnection has a router end a kept connection when the next
// slice comes on it, as after a restart: it is asked once more, and not doubted. A slice that
// comes before the connection of the one before is kept takes a new one, which proves nothing.
func TestSliceIsSentAgainOverANewConnection(t *testing.T) {
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
		_, _ = writer.Write(standInFrame(slice.Shards))
	}))
	s := gatherAcross(t, other)
	asked := int64(0)
	for ; !ended.Load(); asked++ {
		require.Less(t, asked, int64(200), "no connection is kept")
		got := s.ask(http.MethodGet, "/a/", nil)
		require.Equal(t, http.StatusOK, got.status)
		require.ElementsMatch(t, []string{"i-s", "t"}, strings.Split(got.header.Get("X-Stamps"), ","))
	}
	require.Equal(t, asked+1, slices.Load())
}
