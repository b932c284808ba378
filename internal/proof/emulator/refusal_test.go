package emulator

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/records"
)

// recorded returns the one record of an attempt once it is written.
func (b *bench) recorded(attempt string) records.Execution {
	b.Helper()
	var found records.Execution
	b.eventually(func() bool {
		for _, execution := range b.record.Executions() {
			if execution.Attempt == attempt {
				found = execution
				return true
			}
		}
		return false
	})
	return found
}

func (b *bench) eventually(condition func() bool) {
	b.Helper()
	const patience, interval = 20 * time.Second, time.Millisecond
	require.Eventually(b, condition, patience, interval)
}

// inject begins a fault on the first server.
func (b *bench) inject(fault Fault) string {
	b.Helper()
	fault.Servers.Address = b.fleet.Servers()[0].Address()
	id, err := b.fleet.Inject(fault)
	require.NoError(b, err)
	return id
}

func TestRefusalsProveThatNothingRan(t *testing.T) {
	set := func(name, value string) func(*bench, *http.Request) {
		return func(_ *bench, request *http.Request) { request.Header.Set(name, value) }
	}
	begin := func(kind FaultKind) func(*bench, *http.Request) {
		return func(bench *bench, _ *http.Request) { bench.inject(Fault{Kind: kind}) }
	}
	for _, test := range []struct {
		reason  backendapi.RefusalReason
		status  int
		prepare func(*bench, *http.Request)
	}{
		{backendapi.RefusalDraining, http.StatusServiceUnavailable, begin(FaultDrain)},
		{backendapi.RefusalWarming, http.StatusServiceUnavailable, begin(FaultCold)},
		{backendapi.RefusalOverloaded, http.StatusTooManyRequests, begin(FaultShed)},
		{backendapi.RefusalUnknownVersion, http.StatusServiceUnavailable, set(backendapi.HeaderVersion, "2")},
		{backendapi.RefusalUnknownShard, http.StatusServiceUnavailable, set(backendapi.HeaderShard, "1")},
		{backendapi.RefusalUnknownShard, http.StatusServiceUnavailable, set(backendapi.HeaderGeneration, "3")},
		{backendapi.RefusalDeadline, http.StatusServiceUnavailable, set(backendapi.HeaderTimeout, "10")},
		{backendapi.RefusalDeadline, http.StatusServiceUnavailable, set(backendapi.HeaderTimeout, "-5")},
		{backendapi.RefusalCanceled, http.StatusServiceUnavailable, func(bench *bench, _ *http.Request) {
			bench.fleet.Servers()[0].attempts.cancel("a1")
		}},
	} {
		t.Run(string(test.reason), func(t *testing.T) {
			config := testConfig()
			config.ColdStart = time.Hour
			bench := newBench(t, config)
			request := bench.ask("a1")
			test.prepare(bench, request)
			reply, _ := bench.do(request)
			require.Equal(t, test.status, reply.StatusCode)
			require.Equal(t, "not_run", reply.Header.Get(backendapi.HeaderVerdict))
			require.Equal(t, string(test.reason), reply.Header.Get(backendapi.HeaderReason))
			require.Equal(t, "a1", reply.Header.Get(backendapi.HeaderAttempt))
			execution := bench.recorded("a1")
			require.False(t, execution.Executed)
			require.Equal(t, string(test.reason), execution.Refusal)
			require.Zero(t, execution.Started)
		})
	}
}

func TestRequestsThatBreakTheContract(t *testing.T) {
	config := testConfig()
	config.MaxBody = 3
	bench := newBench(t, config)
	for _, test := range []struct {
		name   string
		status int
		header string
		value  string
	}{
		{"body too large", http.StatusRequestEntityTooLarge, backendapi.HeaderZone, "a"},
		{"no attempt", http.StatusBadRequest, backendapi.HeaderAttempt, ""},
		{"shard not a number", http.StatusBadRequest, backendapi.HeaderShard, "x"},
		{"timeout not a number", http.StatusBadRequest, backendapi.HeaderTimeout, "1s"},
	} {
		request := bench.ask("a1")
		request.Header.Set(test.header, test.value)
		reply, body := bench.do(request)
		require.Equal(t, test.status, reply.StatusCode, test.name)
		require.Equal(t, "not_run", reply.Header.Get(backendapi.HeaderVerdict), test.name)
		require.NotEmpty(t, body, test.name)
	}
}

// hang makes every query run until it is cancelled.
func hang(config Config) Config {
	config.Model.Default.Median = time.Hour
	return config
}

// send sends a query in the background and returns the function that closes
// its connection, and a channel with the status, 0 for none.
func (b *bench) send(request *http.Request) (context.CancelFunc, <-chan int) {
	ctx, cancel := context.WithCancel(request.Context())
	status := make(chan int, 1)
	go func() {
		reply, err := b.client.Do(request.WithContext(ctx))
		if err != nil {
			status <- 0
			return
		}
		_ = reply.Body.Close()
		status <- reply.StatusCode
	}()
	return cancel, status
}

// fill occupies the slots of the first server and waits until they are.
func (b *bench) fill(attempts ...string) []context.CancelFunc {
	b.Helper()
	var cancels []context.CancelFunc
	for _, attempt := range attempts {
		cancel, _ := b.send(b.ask(attempt))
		cancels = append(cancels, cancel)
		b.Cleanup(cancel)
	}
	b.eventually(func() bool { return b.fleet.Servers()[0].Counts().InFlight == len(attempts) })
	return cancels
}

func TestFullQueueIsShed(t *testing.T) {
	config := hang(testConfig())
	config.QueuePerSlot = 1
	bench := newBench(t, config)
	server := bench.fleet.Servers()[0]
	bench.fill("a1", "a2")
	for _, attempt := range []string{"q1", "q2"} {
		cancel, _ := bench.send(bench.ask(attempt))
		defer cancel()
	}
	bench.eventually(func() bool { return server.Counts().Queued == 2 })
	reply, _ := bench.do(bench.ask("a3"))
	require.Equal(t, http.StatusTooManyRequests, reply.StatusCode)
	require.Equal(t, "not_run", reply.Header.Get(backendapi.HeaderVerdict))
	require.Equal(t, "50", reply.Header.Get(backendapi.HeaderRetryAfter))
	require.Equal(t, "2/2/2", reply.Header.Get(backendapi.HeaderLoad))
}

func TestClosingTheConnectionFreesTheSlot(t *testing.T) {
	bench := newBench(t, hang(testConfig()))
	cancels := bench.fill("a1", "a2")
	cancels[0]()
	bench.eventually(func() bool { return bench.fleet.Servers()[0].Counts().InFlight == 1 })
	execution := bench.recorded("a1")
	require.True(t, execution.Executed)
	require.True(t, execution.Canceled)
	require.Empty(t, execution.ItemDigests)
}

func TestCancelCallFreesTheSlotAndTheQueue(t *testing.T) {
	bench := newBench(t, hang(testConfig()))
	bench.fill("a1", "a2")
	_, queued := bench.send(bench.ask("q1"))
	bench.eventually(func() bool { return bench.fleet.Servers()[0].Counts().Queued == 1 })
	cancel := func(attempt string) {
		url := "http://" + bench.fleet.Servers()[0].Address().String() + backendapi.PathCancel
		body := strings.NewReader(`{"request":"r","attempt":"` + attempt + `"}`)
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, body)
		require.NoError(t, err)
		reply, _ := bench.do(request)
		require.Equal(t, http.StatusNoContent, reply.StatusCode)
	}
	cancel("q1")
	require.Equal(t, http.StatusServiceUnavailable, <-queued)
	require.Equal(t, "canceled", bench.recorded("q1").Refusal)
	cancel("a1")
	execution := bench.recorded("a1")
	require.True(t, execution.Executed && execution.Canceled)
	bench.eventually(func() bool { return bench.fleet.Servers()[0].Counts().InFlight == 1 })
}

func TestDeadlineStopsTheWork(t *testing.T) {
	bench := newBench(t, hang(testConfig()))
	request := bench.ask("a1")
	request.Header.Set(backendapi.HeaderTimeout, "20000")
	reply, _ := bench.do(request)
	require.Equal(t, http.StatusGatewayTimeout, reply.StatusCode)
	require.Equal(t, "may_have_run", reply.Header.Get(backendapi.HeaderVerdict), "the work had begun")
	require.True(t, bench.recorded("a1").Executed && bench.recorded("a1").Failed)
	require.Zero(t, bench.fleet.Servers()[0].Counts().InFlight)
}

func TestDrainFinishesWhatRuns(t *testing.T) {
	config := testConfig()
	config.Model.Default.Median = 200 * time.Millisecond
	bench := newBench(t, config)
	address := "http://" + bench.fleet.Servers()[0].Address().String()
	_, running := bench.send(bench.ask("a1"))
	bench.eventually(func() bool {
		counts := bench.fleet.Servers()[0].Counts()
		return counts.InFlight == 1 || counts.Executed == 1 // on a busy machine it may have ended already
	})
	for _, method := range []string{http.MethodPost, http.MethodPost, http.MethodDelete, http.MethodDelete} {
		request, err := http.NewRequestWithContext(context.Background(), method, address+backendapi.PathDrain, nil)
		require.NoError(t, err)
		reply, _ := bench.do(request)
		require.Equal(t, http.StatusNoContent, reply.StatusCode)
		refused, _ := bench.do(bench.ask(method + "-after"))
		require.Equal(t, method == http.MethodPost, refused.Header.Get(backendapi.HeaderDraining) == "1")
	}
	require.Equal(t, http.StatusOK, <-running)
	departures := bench.record.Departures()
	require.Len(t, departures, 2, "one line for the departure, one for the return")
	require.Zero(t, departures[0].Returned)
	require.Equal(t, departures[0].Began, departures[1].Began)
	require.False(t, departures[1].Returned.IsZero())
}

func TestCloseRecordsWhatRan(t *testing.T) {
	bench := newBench(t, hang(testConfig()))
	bench.fill("a1", "a2")
	bench.fleet.Close()
	executions := bench.record.Executions()
	require.Len(t, executions, 2)
	for _, execution := range executions {
		require.True(t, execution.Executed && execution.Canceled && !execution.Replied)
	}
}
