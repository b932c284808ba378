package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/verdict"
)

// testPlan returns a plan with two shards of two replicas, an ordinary route
// and a keyed route whose requests run at most once.
func testPlan() *plan.Plan {
	shard := func(id uint32, name string) plan.Shard {
		replica := plan.Replica{Address: netip.MustParseAddrPort("127.0.0.1:0"), Zone: "a", Slots: 8, Connections: 40}
		return plan.Shard{ID: id, Name: name, Replicas: []plan.Replica{replica, replica}}
	}
	full := plan.Condition{Kind: plan.ConditionCoverage, Ratio: 1}
	deadline := 2 * time.Second
	policy := plan.Policy{
		Name: "all", Priority: plan.PriorityNormal, Deadline: deadline, SnapshotCoverage: 1,
		Retry: plan.Retry{MaxPerShard: 1},
		Statements: []plan.Statement{
			{Condition: full, Action: plan.ActionAnswer},
			{Condition: plan.Condition{Kind: plan.ConditionElapsed, Duration: deadline * 9 / 10}, Action: plan.ActionAnswer},
		},
		Merge: plan.Merge{Kind: plan.MergeConcat},
	}
	once := policy
	once.Once, once.ClaimExpiry = true, time.Hour
	return &plan.Plan{
		Services: []plan.Service{{
			Name:        "search",
			Generations: []plan.Generation{{Number: 1, Shards: []plan.Shard{shard(0, "g0"), shard(1, "g1")}}},
			RetryBudget: plan.Budget{Ratio: 1, Burst: 100},
		}},
		Routes: []plan.Route{
			{Name: "find", Service: "search", Target: plan.TargetAll, Policy: policy},
			{Name: "send", Service: "search", Target: plan.TargetKey, Policy: once},
		},
	}
}

// testRouter is a router with its callers' API in front of emulated back ends.
type testRouter struct {
	t     *testing.T
	fleet *emulator.Fleet
	// closeFleet stops the back ends, after which the record is complete.
	closeFleet func()
	record     *emulator.MemoryRecorder
	address    string
	// stop begins the planned stop, stopResult receives its result.
	stop       context.CancelFunc
	stopResult chan error
}

func newTestRouter(t *testing.T, serviceTime time.Duration, stopping StopConfig) *testRouter {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	unbound := testPlan()
	record := &emulator.MemoryRecorder{}
	config := emulator.Config{Plans: []*plan.Plan{unbound}, QueuePerSlot: 64, FirstVersion: 1, MaxBody: 1 << 20,
		Model: servicetime.Model{Default: servicetime.Distribution{Median: serviceTime}}}
	fleet, err := emulator.New(config, emulator.Dependencies{Recorder: record, Logger: logger})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	closeFleet := sync.OnceFunc(fleet.Close)
	t.Cleanup(closeFleet)

	registry := prometheus.NewRegistry()
	served := router.New(router.Config{Name: "router", Zone: "a", Boot: 1, ProbeInterval: 20 * time.Millisecond},
		router.Dependencies{
			Logger: logger, Registerer: registry,
			Backends:  backend.New(backend.Config{Zone: "a"}, backend.Dependencies{Logger: logger, Registerer: registry}),
			Claims:    router.NewLocalClaims(),
			Events:    router.EventLog{Logger: logger},
			Source:    &router.StaticSource{Plan: fleet.BoundPlan(unbound), File: "test"},
			NewEngine: func(int) router.Engine { return query.New(query.Config{Zone: "a"}) },
		})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	created := &testRouter{t: t, fleet: fleet, closeFleet: closeFleet, record: record, address: listener.Addr().String(), stopResult: make(chan error, 1)}
	created.run(served, NewServer(stopping, NewHandler(Config{MaxBody: 1024}, served, logger), served, logger), listener)
	return created
}

func (s *testRouter) run(served *router.Router, server *Server, listener net.Listener) {
	stopping, stop := context.WithCancel(context.Background())
	running, end := context.WithCancel(context.Background())
	s.stop = stop
	routerEnded := make(chan error, 1)
	go func() { routerEnded <- served.Run(running) }()
	go func() {
		err := server.Run(stopping, listener)
		end()
		<-routerEnded
		s.stopResult <- err
		close(s.stopResult)
	}()
	s.t.Cleanup(func() {
		stop()
		<-s.stopResult
	})
	require.Eventually(s.t, func() bool {
		response, err := http.Get("http://" + s.address + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	// Once the router is ready, the first request must be answered and not be
	// refused because no snapshot is available.
	status, document := s.post("/v1/routes/find/query", "", `{"first":true}`)
	require.Equal(s.t, http.StatusOK, status, "%v", document)
}

// post sends a query and returns the status and the decoded document.
func (s *testRouter) post(path, id, body string) (int, map[string]any) {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address+path, strings.NewReader(body))
	require.NoError(s.t, err)
	if id != "" {
		request.Header.Set(HeaderRequest, id)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	document := map[string]any{}
	require.NoError(s.t, json.NewDecoder(response.Body).Decode(&document))
	return response.StatusCode, document
}

// executions counts the executions of a request id in the back ends' record. It
// stops the back ends first, so that the record is complete.
func (s *testRouter) executions(id string) int {
	s.closeFleet()
	count := 0
	for _, execution := range s.record.Executions() {
		if execution.Request == id && execution.Executed {
			count++
		}
	}
	return count
}

func TestAnswerReportsItsCoverage(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	status, answer := s.post("/v1/routes/find/query", "whole", `{"q":"desk"}`)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "whole", answer["request"])
	require.Equal(t, true, answer["complete"])
	require.Len(t, answer["covered"], 2)
	require.Empty(t, answer["warnings"])
	require.NotEmpty(t, answer["items"])
	require.Equal(t, 2, s.executions("whole"))
}

func TestBadRequestsAreRefusedWithNothingRun(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	cases := map[string]struct {
		path, id, body string
		status         int
		reason         string
	}{
		"unknown route":     {"/v1/routes/nope/query", "a", `{}`, http.StatusNotFound, "unknown_route"},
		"past deadline":     {"/v1/routes/find/query?deadline_ms=-1", "b", `{}`, http.StatusBadRequest, "deadline_passed"},
		"bad deadline":      {"/v1/routes/find/query?deadline_ms=soon", "c", `{}`, http.StatusBadRequest, "bad_request"},
		"oversized body":    {"/v1/routes/find/query", "d", `"` + strings.Repeat("x", 1024) + `"`, http.StatusRequestEntityTooLarge, "body_too_large"},
		"malformed body":    {"/v1/routes/find/query", "e", `{"q":`, http.StatusBadRequest, "bad_request"},
		"id with spaces":    {"/v1/routes/find/query", "f g", `{}`, http.StatusBadRequest, "bad_request"},
		"once without id":   {"/v1/routes/send/query?key=k", "", `{}`, http.StatusBadRequest, "bad_request"},
		"keyed without key": {"/v1/routes/send/query", "h", `{}`, http.StatusBadRequest, "bad_request"},
		"endless id":        {"/v1/routes/find/query", strings.Repeat("i", 10_000), `{}`, http.StatusBadRequest, "bad_request"},
		"endless route":     {"/v1/routes/" + strings.Repeat("r", 10_000) + "/query", "j", `{}`, http.StatusNotFound, "unknown_route"},
		"unknown path":      {"/v2/routes", "i", `{}`, http.StatusNotFound, "bad_request"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			status, problem := s.post(test.path, test.id, test.body)
			require.Equal(t, test.status, status)
			require.Equal(t, test.reason, problem["reason"])
			require.Equal(t, "not_run", problem["verdict"])
			require.Less(t, len(fmt.Sprint(problem)), 1000, "a refusal repeats little of what it was sent")
		})
	}
	// The limit also applies to a body without a Content-Length.
	endless := io.MultiReader(strings.NewReader(`"`), strings.NewReader(strings.Repeat("x", 1<<20)))
	response, err := http.Post("http://"+s.address+"/v1/routes/find/query", "application/json", endless)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Equal(t, problemType, response.Header.Get("Content-Type"))
	require.NoError(t, response.Body.Close())
	for _, test := range cases {
		require.Zero(t, s.executions(test.id))
	}
}

// A refusal that a retry may overcome carries Retry-After.
func TestTemporaryRefusalsCarryRetryAfter(t *testing.T) {
	for reason, kind := range reasonStatus {
		recorder := httptest.NewRecorder()
		newProblem(verdict.Refuse(reason, "")).write(recorder)
		temporary := kind.status == http.StatusServiceUnavailable || kind.status == http.StatusTooManyRequests
		require.Equal(t, temporary, recorder.Header().Get("Retry-After") != "", reason)
	}
	precise := verdict.Refuse(verdict.ReasonOverloaded, "")
	precise.RetryAfter = 1200 * time.Millisecond
	problem := newProblem(precise)
	require.EqualValues(t, 1200, problem.RetryAfterMs)
	require.Equal(t, "2", problem.GetHeaders().Get("Retry-After"))
}

func TestRequestIDIsUsedOnce(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	status, _ := s.post("/v1/routes/send/query?key=k", "send-1", `{"to":"host"}`)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		status, problem := s.post("/v1/routes/send/query?key=k", "send-1", `{"to":"host"}`)
		return status == http.StatusConflict && problem["verdict"] == "ran"
	}, 5*time.Second, 10*time.Millisecond)
	_, problem := s.post("/v1/routes/send/query?key=k", "send-1", `{"to":"other"}`)
	require.Equal(t, "claim_mismatch", problem["reason"])
	require.Equal(t, 1, s.executions("send-1"))
}

func TestClosingTheConnectionCancelsTheAttempts(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: time.Minute})
	_, err := s.fleet.Inject(emulator.Fault{Kind: emulator.FaultSlow, Factor: 1500})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+"/v1/routes/find/query", strings.NewReader(`{}`))
	require.NoError(t, err)
	request.Header.Set(HeaderRequest, "gone")
	go func() {
		for s.inFlight() < 2 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return s.inFlight() == 0 && s.canceled("gone") == 2 }, 10*time.Second, 5*time.Millisecond)
}

// inFlight returns the number of queries that the back ends are running.
func (s *testRouter) inFlight() int {
	running := 0
	for _, server := range s.fleet.State().Servers {
		running += server.Health.Load.InFlight
	}
	return running
}

// canceled counts the executions of a request that were canceled.
func (s *testRouter) canceled(id string) int {
	count := 0
	for _, execution := range s.record.Executions() {
		if execution.Request == id && execution.Canceled {
			count++
		}
	}
	return count
}

// Callers send continuously during a planned stop. No connection may be cut,
// and a refused request must not have run.
func TestPlannedStopDropsNoRequest(t *testing.T) {
	s := newTestRouter(t, 20*time.Millisecond, StopConfig{
		Notice: 300 * time.Millisecond, Quiet: time.Second, QuietLimit: 30 * time.Second, Limit: time.Minute,
	})
	const callers = 24
	var sending sync.WaitGroup
	var mutex sync.Mutex
	answered, refused := map[string]bool{}, map[string]bool{}
	stopped := make(chan struct{})
	servedDuringNotice := 0
	for caller := range callers {
		sending.Go(func() {
			for number := 0; ; number++ {
				id := fmt.Sprintf("stop-%d-%d", caller, number)
				status, document := s.post("/v1/routes/find/query", id, `{}`)
				mutex.Lock()
				if status == http.StatusOK {
					answered[id] = true
					select {
					case <-stopped:
						servedDuringNotice++
					default:
					}
					mutex.Unlock()
					continue
				}
				refused[id] = true
				mutex.Unlock()
				require.Equal(t, "stopping", document["reason"])
				require.Equal(t, "not_run", document["verdict"])
				return
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	s.stop()
	close(stopped)
	sending.Wait()
	require.NoError(t, <-s.stopResult)
	require.Len(t, refused, callers)
	require.Greater(t, servedDuringNotice, callers)
	s.closeFleet()
	for _, execution := range s.record.Executions() {
		require.False(t, refused[execution.Request], "refused as not run, yet sent to a back end: %s", execution.Request)
		require.False(t, answered[execution.Request] && execution.Canceled, "answered, yet canceled")
	}
}

func TestNotReadyOnceStopping(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Notice: 5 * time.Second, Limit: time.Minute})
	s.stop()
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + s.address + "/readyz")
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusServiceUnavailable
	}, 10*time.Second, time.Millisecond)
	response, err := http.Post("http://"+s.address+"/v1/routes/find/query", "application/json", strings.NewReader(`{}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode, "continues to serve")
	require.True(t, response.Close, "makes the caller reconnect to another router")
}

// A request that is still running at the stop's time limit is cut off, and the
// stop returns an error instead of waiting indefinitely.
func TestStopEndsAtItsLimit(t *testing.T) {
	s := newTestRouter(t, time.Millisecond, StopConfig{Limit: 100 * time.Millisecond})
	_, err := s.fleet.Inject(emulator.Fault{Kind: emulator.FaultSlow, Factor: 1500})
	require.NoError(t, err)
	cut := make(chan error, 1)
	go func() {
		response, err := http.Post("http://"+s.address+"/v1/routes/find/query", "application/json", strings.NewReader(`{}`))
		if err == nil {
			_ = response.Body.Close()
		}
		cut <- err
	}()
	require.Eventually(t, func() bool { return s.inFlight() == 2 }, 10*time.Second, time.Millisecond)
	s.stop()
	require.ErrorContains(t, <-s.stopResult, "still in flight")
	require.Error(t, <-cut)
}

// Callers that ignore readiness and refusals reconnect continuously. Each
// connection must be answered or refused by the kernel; closing the listener
// must not reset an established one.
//
// Under load, connections were reset when pending handshakes (see /proc/net/tcp) had 50 ms, or
// later a second, to complete: too short for a lost packet to be retransmitted. They now have four
// seconds (TestHandshakeWithLostPacketsIsNotReset). Once, the first request after readiness got
// 503 no_lease, since the router reported ready before its engines held the lease.
func TestClosingTheListenerResetsNoConnection(t *testing.T) {
	for range 5 {
		s := newTestRouter(t, time.Millisecond, StopConfig{Quiet: time.Minute, QuietLimit: 100 * time.Millisecond, Limit: time.Minute})
		const callers = 64
		faults := make(chan error, callers)
		var sending sync.WaitGroup
		for range callers {
			sending.Go(func() {
				for {
					// Each transport is used once, so that every request connects.
					client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
					response, err := client.Post("http://"+s.address+"/v1/routes/find/query", "application/json", strings.NewReader(`{}`))
					if errors.Is(err, syscall.ECONNREFUSED) {
						return
					}
					if err != nil {
						faults <- err
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			})
		}
		s.stop()
		sending.Wait()
		require.NoError(t, <-s.stopResult)
		close(faults)
		for err := range faults {
			require.NoError(t, err)
		}
	}
}
