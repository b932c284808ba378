package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
)

// longStale is an age at which a node's state is stale.
const longStale = 10 * directory.StaleAfter

// setFresh sets when the stub's state contained everything acknowledged, relative to the
// arrival of each call.
func (d *directoryStub) setFresh(at time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reply.Fresh = &at
}

// hasLogged reports whether the router logged a message.
func (s *site) hasLogged(message string) bool {
	return lo.ContainsBy(s.logged.AllEntries(), func(entry *logrus.Entry) bool { return entry.Message == message })
}

// addNode adds a directory node with the same state as the site's first one.
func (s *site) addNode(source string) *directoryStub {
	s.directory.mutex.Lock()
	defer s.directory.mutex.Unlock()
	added := &directoryStub{reply: s.directory.reply}
	added.reply.Source = source
	s.directory.reply.Nodes = append(s.directory.reply.Nodes, serve(s.t, added))
	added.reply.Nodes = s.directory.reply.Nodes
	return added
}

// TestRouterLeavesAStaleNode guards against a router that stays with a directory node whose
// state is stale, and so calls a server whose departure was acknowledged.
func TestRouterLeavesAStaleNode(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	s.directory.setFresh(0)
	s.install(oneRoute(1, "s"))
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/x", nil).status)
	current := s.addNode("current")
	current.mutex.Lock()
	current.reply.Departed, current.reply.Departures = []string{"i-s"}, 1
	current.mutex.Unlock()
	s.directory.setFresh(-longStale)
	require.Eventually(t, func() bool { return s.send(http.MethodGet, "/a/x", nil).status == http.StatusServiceUnavailable }, 10*time.Second, 10*time.Millisecond)
	require.True(t, s.hasLogged("directory_left"))
	require.True(t, s.hasLogged("departures_taken"))
}

// TestRouterKeepsServingWhenAllNodesAreStale guards against a router that discards its servers
// because the state of every node is stale.
func TestRouterKeepsServingWhenAllNodesAreStale(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	s.directory.setFresh(0)
	s.install(oneRoute(1, "s"))
	other := s.addNode("other")
	other.setFresh(-longStale)
	s.directory.setFresh(-longStale)
	require.Eventually(t, func() bool { return s.hasLogged("directory_stale: no node has a newer state") }, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/x", nil).status)
	require.False(t, s.hasLogged("directory_left"))
	require.False(t, s.hasLogged("directory_lost"))
	s.directory.setFresh(0)
	calls := s.directory.calls.Load()
	require.Eventually(t, func() bool { return s.directory.calls.Load() > calls+2 }, 10*time.Second, time.Millisecond)
	s.logged.Reset()
	s.directory.setFresh(-longStale)
	require.Eventually(t, func() bool { return s.hasLogged("directory_stale: no node has a newer state") }, 10*time.Second, 10*time.Millisecond, "the message is logged only once")
}

// TestProbesOfOtherNodesAreLimited guards against needless calls to nodes that are not
// followed: none while the followed node is current, and one to each node per search while all
// are stale.
func TestProbesOfOtherNodesAreLimited(t *testing.T) {
	const rounds = 20
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	s.directory.setFresh(0)
	s.install(oneRoute(1, "s"))
	other := s.addNode("other")
	other.setFresh(-longStale)
	followed := s.directory.calls.Load()
	require.Eventually(t, func() bool { return s.directory.calls.Load() >= followed+rounds }, 10*time.Second, time.Millisecond)
	require.Zero(t, other.calls.Load())
	s.directory.setFresh(-longStale)
	require.Eventually(t, func() bool { return other.calls.Load() >= 2 }, 10*time.Second, time.Millisecond)
	followed = s.directory.calls.Load()
	probed := other.calls.Load()
	require.Eventually(t, func() bool { return s.directory.calls.Load() >= followed+rounds }, 10*time.Second, time.Millisecond)
	require.Less(t, other.calls.Load()-probed, int64(rounds/2), "each call searches for another node")
}

// TestDepartureByNameAffectsOnlyEarlierStarts guards against a router that keeps calling a
// server whose departure gives only its name, or that ignores the server's next start as well.
func TestDepartureByNameAffectsOnlyEarlierStarts(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	s.directory.mutex.Lock()
	left := s.directory.reply.Instances[0]
	left.ID, left.KnownSinceIndex = registry.IncarnationID("i-s", 500), 3
	s.directory.reply.Instances = []registry.Instance{left}
	s.directory.mutex.Unlock()
	s.install(oneRoute(1, "s"))
	require.Eventually(t, func() bool { return s.send(http.MethodGet, "/a/x", nil).status == http.StatusOK }, 10*time.Second, 10*time.Millisecond)
	s.directory.mutex.Lock()
	s.directory.reply.DepartedNames = []registry.NameDeparture{{Name: "i-s", LogIndex: 5}}
	s.directory.mutex.Unlock()
	require.Eventually(t, func() bool { return s.send(http.MethodGet, "/a/x", nil).status == http.StatusServiceUnavailable }, 10*time.Second, 10*time.Millisecond)
	next := left
	next.ID, next.KnownSinceIndex = registry.IncarnationID("i-s", 400), 6
	s.directory.mutex.Lock()
	s.directory.reply.Instances = []registry.Instance{left, next}
	s.directory.mutex.Unlock()
	require.Eventually(t, func() bool { return s.send(http.MethodGet, "/a/x", nil).header.Get("X-Stamp") == "of-"+next.ID }, 10*time.Second, 10*time.Millisecond)
}
