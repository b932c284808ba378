package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/routing"
)

// gatherRoute returns a document with one route that gathers the shards s and t.
func gatherRoute(version uint64) *routing.Document {
	document := oneRoute(version, "s")
	document.Routes[0].Targets, document.Routes[0].Shards = nil, []string{"s", "t"}
	document.Routes[0].TopRecords, document.Routes[0].LeastShare = 10, 1
	return document
}

// partOf returns a handler of a shard that answers with a record.
func partOf(record string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Stamp", request.Header.Get("X-Meant"))
		_, _ = io.WriteString(writer, record)
	}
}

// startForeignRouter starts a router of another group on a listener. Its document has the
// shards s and t as well.
func startForeignRouter(t *testing.T, name string, group addressee.Group, peers net.Listener) *site {
	stub := &directoryStub{}
	stub.reply.Source, stub.reply.Complete, stub.reply.Group = "other stub", true, group
	foreign := partOf("FOREIGN-RECORD-1")
	foreignRouter := startRouter(t, name, "b", peers, stub, stub, map[string]http.HandlerFunc{"s": foreign, "t": foreign})
	foreignRouter.install(gatherRoute(1))
	return foreignRouter
}

// TestSliceFromARouterOfAnotherGroupIsRejected guards against responses with data of another
// group's router that has taken over the address of a stopped one.
func TestSliceFromARouterOfAnotherGroupIsRejected(t *testing.T) {
	for name, sample := range map[string]struct {
		name  string
		group addressee.Group
	}{
		"another name, group unknown": {"foreign", 0},
		"the same name":               {"other0", 2},
		"another name":                {"foreign", 2},
	} {
		t.Run(name, func(t *testing.T) {
			peers := listenLocal(t)
			startForeignRouter(t, sample.name, sample.group, peers)
			s := gatherAcross(t, peers.Addr().String())
			s.directory.mutex.Lock()
			s.directory.reply.Group = 1
			s.directory.reply.Routers = []directory.ListedRouter{{Name: "other0", Zone: "b", Address: peers.Addr().String(), Identifies: true}}
			s.directory.reply.RoutersDigest++
			s.directory.mutex.Unlock()
			s.install(gatherRoute(8))
			s.install(gatherRoute(9))
			for range 3 {
				got := s.send(http.MethodGet, "/a/", nil)
				require.Equal(t, http.StatusOK, got.status)
				require.ElementsMatch(t, []string{"i-s", "i-t"}, strings.Split(got.header.Get("X-Stamps"), ","))
				require.Equal(t, strings.Repeat("a", 32), got.body)
			}
		})
	}
}

// TestSliceForAnotherRouterIsRefused guards against a router that serves slices meant for the
// router that listened at its address before.
func TestSliceForAnotherRouterIsRefused(t *testing.T) {
	for name, sample := range map[string]struct {
		expected addressee.Identity
		status   int
	}{
		"this router":                  {addressee.Identity{Group: 2, Name: "router"}, http.StatusBadRequest},
		"a router of another group":    {addressee.Identity{Group: 1, Name: "router"}, http.StatusMisdirectedRequest},
		"another router of the group":  {addressee.Identity{Group: 2, Name: "other"}, http.StatusMisdirectedRequest},
		"a call of an earlier version": {addressee.Identity{}, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			peers := listenLocal(t)
			startForeignRouter(t, "router", 2, peers)
			call, err := http.NewRequest(http.MethodPost, "http://"+peers.Addr().String()+"/router/slice", strings.NewReader("no slice"))
			require.NoError(t, err)
			addressee.SetHeaders(call.Header, sample.expected)
			response, err := http.DefaultClient.Do(call)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, sample.status, response.StatusCode)
		})
	}
}

// listenAgain listens at an address that was in use before.
func listenAgain(t *testing.T, address string) net.Listener {
	var listener net.Listener
	require.Eventually(t, func() (listening bool) {
		var err error
		listener, err = net.Listen("tcp4", address)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	return listener
}

// TestRouterDoesNotFollowANodeOfAnotherGroup guards against applying documents and servers of
// another group's node that has taken over the address of the followed one.
func TestRouterDoesNotFollowANodeOfAnotherGroup(t *testing.T) {
	peers, address := listenLocal(t), testaddress.Next().String()
	own := &directoryStub{}
	own.reply.Source, own.reply.Complete, own.reply.Group, own.reply.Nodes = "own", true, 1, []string{address}
	node := &http.Server{Handler: own}
	listener := listenAgain(t, address)
	go func() { _ = node.Serve(listener) }()
	s := startRouterWithSeed(t, "router", "a", peers, address)
	s.directory = own
	own.addServer("i-s", "s", "a", serve(t, http.HandlerFunc(echo)))
	s.install(oneRoute(1, "s"))
	require.NoError(t, node.Close())

	foreign := &directoryStub{}
	foreign.reply.Source, foreign.reply.Complete, foreign.reply.Group, foreign.reply.Nodes = "foreign", true, 2, []string{address}
	other := &http.Server{Handler: foreign}
	listener = listenAgain(t, address)
	go func() { _ = other.Serve(listener) }()
	t.Cleanup(func() { _ = other.Close() })
	foreignSite := &site{t: t, directory: foreign}
	foreignSite.publish(oneRoute(7, "t"))
	require.Eventually(t, func() bool { return foreign.calls.Load() > 20 }, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 1, s.router.Version())
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/", nil).status)
	require.NoError(t, other.Close())

	back := &http.Server{Handler: own}
	listener = listenAgain(t, address)
	go func() { _ = back.Serve(listener) }()
	t.Cleanup(func() { _ = back.Close() })
	s.install(oneRoute(2, "s"))
}
