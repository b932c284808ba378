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

// fingerprintOf returns the fingerprint of the request that site.send sends for a path.
func fingerprintOf(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&message.Request{Method: http.MethodGet, Host: "site", Target: path, Body: []byte{}})
}

func suspectOrder(path string) quarantine.Command {
	return quarantine.Command{Kind: quarantine.Report, Fingerprint: fingerprintOf(path), Servers: []string{"i-gone"}}
}

func quarantineOrders(path string) []quarantine.Command {
	return []quarantine.Command{{Kind: quarantine.Report, Fingerprint: fingerprintOf(path), Servers: []string{"i-1", "i-2", "i-3"}, Tried: true}}
}

// countRequests counts the requests of a handler.
func countRequests(count *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		count.Add(1)
		handler(writer, request)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// gatherDocument returns a document with a route over shards.
func gatherDocument(shards ...string) *routing.Document {
	document := oneRoute(1, "s")
	route := &document.Routes[0]
	route.Targets, route.Shards, route.Target, route.TopRecords, route.LeastShare = nil, shards, 500*time.Millisecond, 4, 1
	return document
}

// awaitStatus sends requests until the router answers with a status, and returns that answer.
func (s *site) awaitStatus(path string, status int) answer {
	var got answer
	require.Eventually(s.t, func() bool {
		got = s.send(http.MethodGet, path, nil)
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
	s.directory.applyOrders(quarantineOrders("/a/x")...)
	// A request in flight when the router received the quarantine may have run, and is
	// answered so. It may reach the server after its answer reached the client, so that
	// arrivals are identified by request id.
	first := s.awaitStatus("/a/x", http.StatusBadRequest)
	require.Contains(t, []string{"quarantined not_run\n", "quarantined may_have_run\n"}, first.body)
	got := s.sendWith(http.Header{"X-Id": {"after"}}, http.MethodGet, "/a/x", nil)
	require.Equal(t, http.StatusBadRequest, got.status)
	require.Equal(t, "quarantined not_run\n", got.body)
	require.Empty(t, got.header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, s.sendWith(http.Header{"X-Id": {"other"}}, http.MethodGet, "/a/y", nil).status)
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
// of the single attempt is returned, and the suspicion ends.
func TestSuspectedRequestIsServedByItsTrial(t *testing.T) {
	var served atomic.Int64
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": countRequests(&served, echo)})
	s.directory.applyOrders(suspectOrder("/a/x"))
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/x", nil).status)
		return len(s.directory.records()) == 0
	}, 10*time.Second, 5*time.Millisecond)
}

// TestAnsweredTrialIsNotOnRecordYet guards against a router that refuses a request which a server
// has just answered, because the directory counts its trials before it learns of the answers.
func TestAnsweredTrialIsNotOnRecordYet(t *testing.T) {
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": echo})
	s.directory.mutex.Lock()
	s.directory.clearDelay = 100 * time.Millisecond
	s.directory.mutex.Unlock()
	s.directory.applyOrders(suspectOrder("/a/x"))
	require.Eventually(t, func() bool { return s.hasLogged("quarantine_changed") }, 10*time.Second, time.Millisecond)
	for range 5 {
		require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/x", nil).status)
	}
}

// TestSuspectedGatherIsTriedAtOneShardFirst has a suspected request over three shards: the
// server of one shard answers before the others are called.
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
	s.directory.applyOrders(suspectOrder("/a/x"))
	s.install(gatherDocument("s", "t", "u"))
	answers := make(chan answer, 1)
	go func() { answers <- s.send(http.MethodGet, "/a/x", nil) }()
	require.Eventually(t, func() bool { return served.Load() == 1 }, 10*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.EqualValues(t, 1, served.Load(), "other servers called before the trial ended")
	require.Equal(t, http.StatusServiceUnavailable, s.send(http.MethodGet, "/a/x", nil).status, "a second concurrent trial")
	close(release)
	got := <-answers
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "0", got.header.Get("X-Missing"))
	require.EqualValues(t, 4, served.Load())
}

// TestFailureAfterATrialIsNotReportedAsNotRun guards against a client that is told that its
// request has not run, although a server has run it in its trial, because all servers refuse it
// after that.
func TestFailureAfterATrialIsNotReportedAsNotRun(t *testing.T) {
	var served atomic.Int64
	handler := func(writer http.ResponseWriter, request *http.Request) {
		if served.Add(1) == 1 {
			echo(writer, request)
			return
		}
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		writer.Header().Set("X-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": handler, "t": handler})
	s.directory.applyOrders(suspectOrder("/a/x"))
	s.install(gatherDocument("s", "t"))
	require.Eventually(t, func() bool { return s.hasLogged("quarantine_changed") }, 10*time.Second, time.Millisecond)
	got := s.send(http.MethodGet, "/a/x", nil)
	require.Greater(t, served.Load(), int64(1), "the trial alone was sent")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Empty(t, got.header.Get("Retry-After"))
}

// TestConnectionResetByARunningServerIsNotACrash has the server of a trial reset connections
// and keep listening: no further crash is counted for the request, and the trial is returned.
func TestConnectionResetByARunningServerIsNotACrash(t *testing.T) {
	s := startSite(t, oneRoute(1, "s"), map[string]http.HandlerFunc{"s": abortConnection})
	s.directory.applyOrders(suspectOrder("/a/x"))
	for range 5 {
		s.awaitStatus("/a/x", http.StatusBadGateway)
	}
	require.Eventually(t, func() bool { return s.directory.records()[0].Trials == 0 }, 10*time.Second, 5*time.Millisecond)
	records := s.directory.records()
	require.Len(t, records, 1)
	require.Equal(t, 1, records[0].Ended)
}

// TestTrialWithoutAServerIsReturned suspects a request whose service has no server.
func TestTrialWithoutAServerIsReturned(t *testing.T) {
	s := startSite(t, oneRoute(1, "t"), map[string]http.HandlerFunc{"s": echo})
	s.directory.applyOrders(suspectOrder("/a/x"))
	got := s.awaitStatus("/a/x", http.StatusServiceUnavailable)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Eventually(t, func() bool { return s.directory.records()[0].Trials == 0 }, 10*time.Second, 5*time.Millisecond)
}

// TestTrialThatCrashesItsServerIsFinalOnlyOnceTheRequestIsQuarantined has servers crash under
// trials. The first client used to get 400 "quarantined", which it must not retry, although
// only two of the three crashes needed for a quarantine had occurred. A soak test thus refused
// a harmless request for good: its trial ran at a server that another request crashed.
func TestTrialThatCrashesItsServerIsFinalOnlyOnceTheRequestIsQuarantined(t *testing.T) {
	var ended atomic.Int64
	s := startSite(t, nil, nil)
	for number := range 4 {
		s.directory.addServer(fmt.Sprint("i-", number), "s", "", closeOnFirstRequest(t, &ended))
	}
	s.directory.applyOrders(suspectOrder("/a/x"))
	s.install(oneRoute(1, "s"))
	first := s.send(http.MethodGet, "/a/x", nil)
	require.Equal(t, http.StatusBadGateway, first.status, first.body)
	require.EqualValues(t, 1, ended.Load())
	s.awaitStatus("/a/x", http.StatusBadRequest)
	require.EqualValues(t, 2, ended.Load(), "three in all, with the crash reported before")
}

// TestTrialThatIsNotGrantedIsRefusedAsNotRun has all trials granted already.
func TestTrialThatIsNotGrantedIsRefusedAsNotRun(t *testing.T) {
	var served atomic.Int64
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": countRequests(&served, echo)})
	try := quarantine.Command{Kind: quarantine.Try, Fingerprint: fingerprintOf("/a/x")}
	s.directory.applyOrders(suspectOrder("/a/x"), try, try)
	s.install(oneRoute(1, "s"))
	got := s.send(http.MethodGet, "/a/x", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "on_trial\n", got.body)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Zero(t, served.Load())
}

// TestSuspectedRequestIsTriedWhenNoNodeIsReachable has the node refuse all orders.
func TestSuspectedRequestIsTriedWhenNoNodeIsReachable(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echo})
	s.directory.applyOrders(suspectOrder("/a/x"))
	s.directory.mutex.Lock()
	s.directory.refusesOrders = true
	s.directory.mutex.Unlock()
	s.install(oneRoute(1, "s"))
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/x", nil).status)
}

// TestRequestInFlightIsWithdrawnWhenItIsQuarantined quarantines a request that a server is
// running: it is answered at once, as one that may have run.
func TestRequestInFlightIsWithdrawnWhenItIsQuarantined(t *testing.T) {
	for name, document := range map[string]*routing.Document{"one service": oneRoute(1, "s"), "shards": gatherDocument("s", "t")} {
		began := make(chan struct{}, 8)
		hang := func(_ http.ResponseWriter, request *http.Request) {
			began <- struct{}{}
			<-request.Context().Done()
		}
		s := startSite(t, document, map[string]http.HandlerFunc{"s": hang, "t": hang})
		answers := make(chan answer, 1)
		go func() { answers <- s.send(http.MethodGet, "/a/x", nil) }()
		<-began
		s.directory.applyOrders(quarantineOrders("/a/x")...)
		got := <-answers
		require.Equal(t, http.StatusBadRequest, got.status, name)
		require.Equal(t, "quarantined may_have_run\n", got.body, name)
	}
}

// TestRouterRefusesSliceOfARequestThatCrashesServers has a router without a record of the
// request send slices to one that has it: nothing is sent to servers. The client gets a final
// answer if the request is quarantined, and may retry if it is suspected.
func TestRouterRefusesSliceOfARequestThatCrashesServers(t *testing.T) {
	for status, orders := range map[int][]quarantine.Command{
		http.StatusBadRequest: quarantineOrders("/a/x"),
		http.StatusBadGateway: {suspectOrder("/a/x")},
	} {
		var served atomic.Int64
		informed, uninformed := &directoryStub{}, &directoryStub{}
		peers := listenLocal(t)
		for _, stub := range []*directoryStub{informed, uninformed} {
			stub.addServer("i-t", "t", "b", serve(t, countRequests(&served, echo)))
			stub.reply.Source, stub.reply.Complete, stub.reply.RoutersDigest = "stub", true, 1
			stub.reply.Routers = []directory.ListedRouter{{Name: "other", Zone: "b", Address: peers.Addr().String()}}
		}
		informed.applyOrders(orders...)
		startRouter(t, "other", "b", peers, informed, informed, nil).install(gatherDocument("t"))
		s := startRouter(t, "asker", "a", listenLocal(t), uninformed, uninformed, nil)
		s.install(gatherDocument("t"))
		require.Equal(t, status, s.send(http.MethodGet, "/a/x", nil).status)
		require.Zero(t, served.Load())
		require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/y", nil).status)
	}
}

// closeOnFirstRequest starts a server that stops at its first request.
func closeOnFirstRequest(t *testing.T, count *atomic.Int64) (address string) {
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

// TestRequestWithAPendingReportIsTreatedAsSuspected has a directory that does not know the
// request yet, because the router's report about the crashed server has not arrived: the
// router relies on its own observation.
func TestRequestWithAPendingReportIsTreatedAsSuspected(t *testing.T) {
	var ended, served atomic.Int64
	s := startSite(t, nil, map[string]http.HandlerFunc{"t": countRequests(&served, echo)})
	s.directory.refusesReports = true
	s.directory.addServer("i-s", "s", "", closeOnFirstRequest(t, &ended))
	s.install(oneRoute(1, "s"))
	require.Equal(t, http.StatusBadGateway, s.send(http.MethodGet, "/a/x", nil).status)
	s.install(oneRoute(2, "t"))
	require.Eventually(t, func() bool { return s.send(http.MethodGet, "/a/x", nil).status == http.StatusServiceUnavailable }, 10*time.Second, time.Millisecond)
	require.Zero(t, served.Load())
	require.Equal(t, http.StatusOK, s.send(http.MethodGet, "/a/y", nil).status)
}

// TestReportIsRetriedUntilANodeAcceptsIt has the node refuse a report at first.
func TestReportIsRetriedUntilANodeAcceptsIt(t *testing.T) {
	var ended atomic.Int64
	s := startSite(t, nil, nil)
	s.directory.refusesOrders = true
	s.directory.addServer("i-s", "s", "", closeOnFirstRequest(t, &ended))
	s.install(oneRoute(1, "s"))
	require.Equal(t, http.StatusBadGateway, s.send(http.MethodGet, "/a/x", nil).status)
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, s.directory.records())
	s.directory.mutex.Lock()
	s.directory.refusesOrders = false
	s.directory.mutex.Unlock()
	require.Eventually(t, func() bool { return len(s.directory.records()) == 1 }, 10*time.Second, 5*time.Millisecond)
	record := s.directory.records()[0]
	require.Equal(t, []string{"i-s"}, record.Servers)
	require.Equal(t, "r", record.Route)
	require.Equal(t, "127.0.0.1", record.Caller)
}
