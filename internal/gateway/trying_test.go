package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/routing"
)

// askedOf is the fingerprint of what site.ask sends for a path.
func askedOf(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&message.Request{Method: http.MethodGet, Host: "site", Target: path, Body: []byte{}})
}

func suspect(path string) quarantine.Order {
	return quarantine.Order{Kind: quarantine.Report, Fingerprint: askedOf(path), Servers: []string{"i-gone"}}
}

func quarantineOf(path string) []quarantine.Order {
	return []quarantine.Order{{Kind: quarantine.Report, Fingerprint: askedOf(path), Servers: []string{"i-1", "i-2", "i-3"}, Tried: true}}
}

// counted counts the requests that a handler gets.
func counted(count *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		count.Add(1)
		handler(writer, request)
	}
}

func breaksOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// gathered is a document with a route to shards.
func gathered(shards ...string) *routing.Document {
	document := oneRoute(1, "s")
	route := &document.Routes[0]
	route.Targets, route.Shards, route.Target, route.TopRecords, route.LeastShare = nil, shards, 500*time.Millisecond, 4, 1
	return document
}

// untilKnown waits until a router has taken over what the stub's book holds.
func (s *site) untilKnown(path string, status int) answer {
	var got answer
	require.Eventually(s.t, func() bool {
		got = s.ask(http.MethodGet, path, nil)
		return got.status == status
	}, 10*time.Second, 5*time.Millisecond)
	return got
}

func TestQuarantinedRequestIsRefusedAndOthersServed(t *testing.T) {
	var served sync.Map
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": func(writer http.ResponseWriter, request *http.Request) {
		served.Store(request.Header.Get("X-Id"), true)
		echo(writer, request)
	}})
	s.directory.give(quarantineOf("/a/x")...)
	// One that was on its way when the router was told may have run, and is told so. It may
	// reach the server later than its answer the client, so that arrivals are told by their id.
	first := s.untilKnown("/a/x", http.StatusBadRequest)
	require.Contains(t, []string{"quarantined not_run\n", "quarantined may_have_run\n"}, first.body)
	got := s.askWith(http.Header{"X-Id": {"after"}}, http.MethodGet, "/a/x", nil)
	require.Equal(t, http.StatusBadRequest, got.status)
	require.Equal(t, "quarantined not_run\n", got.body)
	require.Empty(t, got.header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, s.askWith(http.Header{"X-Id": {"other"}}, http.MethodGet, "/a/y", nil).status)
	require.NotContains(t, keysOf(&served), "after")
	require.Contains(t, keysOf(&served), "other")
}

func keysOf(held *sync.Map) (keys []string) {
	held.Range(func(key, _ any) bool {
		keys = append(keys, key.(string))
		return true
	})
	return keys
}

// TestSuspectedRequestIsServedByItsTrial has a server answer a suspected request: the answer
// is passed on, of one attempt, and the suspicion ends.
func TestSuspectedRequestIsServedByItsTrial(t *testing.T) {
	var served atomic.Int64
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": counted(&served, echo)})
	s.directory.give(suspect("/a/x"))
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, s.ask(http.MethodGet, "/a/x", nil).status)
		return len(s.directory.records()) == 0
	}, 10*time.Second, 5*time.Millisecond)
}

// TestSuspectedGatherIsTriedAtOneShardFirst has a suspected request to three shards: one
// shard's server answers alone before the others are asked.
func TestSuspectedGatherIsTriedAtOneShardFirst(t *testing.T) {
	var served atomic.Int64
	release := make(chan struct{})
	slow := func(writer http.ResponseWriter, request *http.Request) {
		if served.Add(1) == 1 {
			<-release
		}
		echo(writer, request)
	}
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": slow, "t": slow, "u": slow})
	s.directory.give(suspect("/a/x"))
	s.install(gathered("s", "t", "u"))
	answers := make(chan answer, 1)
	go func() { answers <- s.ask(http.MethodGet, "/a/x", nil) }()
	require.Eventually(t, func() bool { return served.Load() == 1 }, 10*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.EqualValues(t, 1, served.Load(), "others asked before the trial ended")
	require.Equal(t, http.StatusServiceUnavailable, s.ask(http.MethodGet, "/a/x", nil).status, "a second trial at one time")
	close(release)
	got := <-answers
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "0", got.header.Get("X-Missing"))
	require.EqualValues(t, 4, served.Load())
}

// TestServerThatBreaksOffAndGoesOnEndsNothing has the server of a trial reset connections and
// go on listening: nothing is held against the request beyond what was, and the trial is
// given back.
func TestServerThatBreaksOffAndGoesOnEndsNothing(t *testing.T) {
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": breaksOff})
	s.directory.give(suspect("/a/x"))
	for range 5 {
		s.untilKnown("/a/x", http.StatusBadGateway)
	}
	require.Eventually(t, func() bool { return s.directory.records()[0].Trials == 0 }, 10*time.Second, 5*time.Millisecond)
	records := s.directory.records()
	require.Len(t, records, 1)
	require.Equal(t, 1, records[0].Ended)
}

// TestTrialWithoutAServerIsGivenBack suspects a request whose service has no server.
func TestTrialWithoutAServerIsGivenBack(t *testing.T) {
	s := startSite(t, oneRoute(1, "t"), map[string]http.HandlerFunc{"s": echo})
	s.directory.give(suspect("/a/x"))
	got := s.untilKnown("/a/x", http.StatusServiceUnavailable)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Eventually(t, func() bool { return s.directory.records()[0].Trials == 0 }, 10*time.Second, 5*time.Millisecond)
}

// TestATrialThatEndsItsServerIsFinalOnlyOnceTheRequestIsQuarantined has servers end under trials.
// The first client got 400 "quarantined", which it may not send again, though two servers had ended
// under its request by then and it is quarantined at three: a harmless request of the soak was
// refused for good that way, whose trial ran at a server which another request ended.
func TestATrialThatEndsItsServerIsFinalOnlyOnceTheRequestIsQuarantined(t *testing.T) {
	var ended atomic.Int64
	s := startSite(t, nil, nil)
	for number := range 4 {
		s.directory.addServer(fmt.Sprint("i-", number), "s", "", endsOnce(t, &ended))
	}
	s.directory.give(suspect("/a/x"))
	s.install(oneRoute(1, "s"))
	first := s.ask(http.MethodGet, "/a/x", nil)
	require.Equal(t, http.StatusBadGateway, first.status, first.body)
	require.EqualValues(t, 1, ended.Load())
	s.untilKnown("/a/x", http.StatusBadRequest)
	require.EqualValues(t, 2, ended.Load(), "three in all, with the one before")
}

// TestTrialThatIsNotGrantedIsRefusedAsNotRun has all trials be taken.
func TestTrialThatIsNotGrantedIsRefusedAsNotRun(t *testing.T) {
	var served atomic.Int64
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": counted(&served, echo)})
	taken := quarantine.Order{Kind: quarantine.Try, Fingerprint: askedOf("/a/x")}
	s.directory.give(suspect("/a/x"), taken, taken)
	s.install(oneRoute(1, "s"))
	got := s.ask(http.MethodGet, "/a/x", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "on_trial\n", got.body)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Zero(t, served.Load())
}

// TestSuspectedRequestIsTriedWithoutANode has no node take orders.
func TestSuspectedRequestIsTriedWithoutANode(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	s.directory.give(suspect("/a/x"))
	s.directory.mutex.Lock()
	s.directory.refuses = true
	s.directory.mutex.Unlock()
	s.install(oneRoute(1, "s"))
	require.Equal(t, http.StatusOK, s.ask(http.MethodGet, "/a/x", nil).status)
}

// TestRequestUnderWayIsWithdrawnWhenItIsQuarantined quarantines a request that a server works
// on: it is answered at once, as one that may have run.
func TestRequestUnderWayIsWithdrawnWhenItIsQuarantined(t *testing.T) {
	for name, document := range map[string]*routing.Document{"one service": oneRoute(1, "s"), "shards": gathered("s", "t")} {
		began := make(chan struct{}, 8)
		holds := func(_ http.ResponseWriter, request *http.Request) {
			began <- struct{}{}
			<-request.Context().Done()
		}
		s := startSite(t, document, map[string]http.HandlerFunc{"s": holds, "t": holds})
		answers := make(chan answer, 1)
		go func() { answers <- s.ask(http.MethodGet, "/a/x", nil) }()
		<-began
		s.directory.give(quarantineOf("/a/x")...)
		got := <-answers
		require.Equal(t, http.StatusBadRequest, got.status, name)
		require.Equal(t, "quarantined may_have_run\n", got.body, name)
	}
}

// TestRouterTakesNoSliceOfARequestThatEndsServers has a router that does not know the request
// ask one that does: nothing is sent. The client of a quarantined one gets the final answer,
// that of a suspected one may come again.
func TestRouterTakesNoSliceOfARequestThatEndsServers(t *testing.T) {
	for status, orders := range map[int][]quarantine.Order{
		http.StatusBadRequest: quarantineOf("/a/x"),
		http.StatusBadGateway: {suspect("/a/x")},
	} {
		var served atomic.Int64
		knowing, unknowing := &directoryStub{}, &directoryStub{}
		peers := listenLocal(t)
		for _, stub := range []*directoryStub{knowing, unknowing} {
			stub.addServer("i-t", "t", "b", serve(t, counted(&served, echo)))
			stub.reply.Source, stub.reply.Whole, stub.reply.RoutersDigest = "stub", true, 1
			stub.reply.Routers = []directory.ListedRouter{{Name: "other", Zone: "b", Address: peers.Addr().String()}}
		}
		knowing.give(orders...)
		startRouter(t, "other", "b", peers, knowing, knowing, nil).install(gathered("t"))
		s := startRouter(t, "asker", "a", listenLocal(t), unknowing, unknowing, nil)
		s.install(gathered("t"))
		require.Equal(t, status, s.ask(http.MethodGet, "/a/x", nil).status)
		require.Zero(t, served.Load())
		require.Equal(t, http.StatusOK, s.ask(http.MethodGet, "/a/y", nil).status)
	}
}

// endsOnce listens as a server that ends with its first request.
func endsOnce(t *testing.T, count *atomic.Int64) (address string) {
	listener := listenLocal(t)
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		count.Add(1)
		_ = server.Close()
		panic(http.ErrAbortHandler)
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return listener.Addr().String()
}

// TestRequestWhoseReportIsUnderWayIsNotServedLikeAny has a book that does not know the request
// yet, since the report of the router that saw its server end has not come in: the router goes
// by what it saw.
func TestRequestWhoseReportIsUnderWayIsNotServedLikeAny(t *testing.T) {
	var ended, served atomic.Int64
	s := startSite(t, nil, map[string]http.HandlerFunc{"t": counted(&served, echo)})
	s.directory.refusesReports = true
	s.directory.addServer("i-s", "s", "", endsOnce(t, &ended))
	s.install(oneRoute(1, "s"))
	require.Equal(t, http.StatusBadGateway, s.ask(http.MethodGet, "/a/x", nil).status)
	s.install(oneRoute(2, "t"))
	require.Eventually(t, func() bool { return s.ask(http.MethodGet, "/a/x", nil).status == http.StatusServiceUnavailable }, 10*time.Second, time.Millisecond)
	require.Zero(t, served.Load())
	require.Equal(t, http.StatusOK, s.ask(http.MethodGet, "/a/y", nil).status)
}

// TestReportIsGivenAgainUntilANodeHasIt has nodes refuse a report at first.
func TestReportIsGivenAgainUntilANodeHasIt(t *testing.T) {
	var ended atomic.Int64
	s := startSite(t, nil, nil)
	s.directory.refuses = true
	s.directory.addServer("i-s", "s", "", endsOnce(t, &ended))
	s.install(oneRoute(1, "s"))
	require.Equal(t, http.StatusBadGateway, s.ask(http.MethodGet, "/a/x", nil).status)
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, s.directory.records())
	s.directory.mutex.Lock()
	s.directory.refuses = false
	s.directory.mutex.Unlock()
	require.Eventually(t, func() bool { return len(s.directory.records()) == 1 }, 10*time.Second, 5*time.Millisecond)
	record := s.directory.records()[0]
	require.Equal(t, []string{"i-s"}, record.Servers)
	require.Equal(t, "r", record.Route)
	require.Equal(t, "127.0.0.1", record.Caller)
}
