package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/proof/testlink"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/remote"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/verdict"
)

const (
	longWait = 20 * time.Second
	// closedAddress is a local address without a listener: port 1 is outside the
	// ephemeral port range.
	closedAddress = "127.0.0.1:1"
)

// countingCaller counts the requests sent to other regions.
type countingCaller struct {
	router.RegionCaller
	crossings atomic.Int64
}

func (c *countingCaller) Cross(ctx context.Context, entry netip.AddrPort, request router.Request) router.ForwardResult {
	c.crossings.Add(1)
	return c.RegionCaller.Cross(ctx, entry, request)
}

// recordedEvents is an EventSink that stores region event kinds in order.
type recordedEvents struct {
	mutex sync.Mutex
	kinds []journal.Kind
}

func (m *recordedEvents) Record(event journal.Event) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if event.Kind == journal.KindRegionUnreachable || event.Kind == journal.KindRegionReachable {
		m.kinds = append(m.kinds, event.Kind)
	}
}
func (m *recordedEvents) Flush(context.Context) error { return nil }

func (m *recordedEvents) all() []journal.Kind {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.kinds)
}

// callingRegion is a router of a region that owns no routes and calls region
// north.
type callingRegion struct {
	*router.Router
	calls  *countingCaller
	events *recordedEvents
}

// remotePlan returns a plan with routes of region north, which is reached through
// the entries.
func remotePlan(entries ...netip.AddrPort) *plan.Plan {
	slices.SortFunc(entries, netip.AddrPort.Compare)
	route := func(name string, repeatable bool) plan.RemoteRoute {
		return plan.RemoteRoute{Name: name, Region: "north", Deadline: 2 * time.Second, Repeatable: repeatable}
	}
	return &plan.Plan{
		Regions:      []plan.Region{{Name: "north", Entries: entries}},
		RemoteRoutes: []plan.RemoteRoute{route("find", true), route("lost", false), route("send", false)},
	}
}

func newCallingRegion(t *testing.T, bounds remote.Config, installed *plan.Plan) *callingRegion {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	near := &callingRegion{events: &recordedEvents{}, calls: &countingCaller{RegionCaller: NewClient("near", rpc.Plaintext())}}
	near.Router = newRouterWith(t, "near", &fixedSource{plan: installed}, logger,
		func(config *router.Config, dependencies *router.Dependencies) {
			config.Regions, config.RegionProbeTimeout = bounds, 200*time.Millisecond
			dependencies.Regions, dependencies.Events = near.calls, near.events
		})
	require.Eventually(t, func() bool { ready, _ := near.Ready(); return ready }, longWait, time.Millisecond)
	return near
}

func (n *callingRegion) query(route, id string, wait time.Duration) query.Answer {
	return n.Query(context.Background(), router.Request{CallerID: id, Route: route, Body: []byte(`{}`), Deadline: time.Now().Add(wait)})
}

// waitUntilAnswered waits until region north answers.
func (n *callingRegion) waitUntilAnswered(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return n.query("find", "warm", time.Second).Err == nil }, longWait, 5*time.Millisecond)
}

// checkExecutions stops the back ends and compares their record with the answers
// that callers received to requests that run at most once.
func (f *routerFleet) checkExecutions(t *testing.T, answers map[string]query.Answer) {
	t.Helper()
	f.closeBackends()
	counts := map[string]int{}
	for _, execution := range f.record.Executions() {
		if execution.Executed {
			counts[execution.Request]++
		}
	}
	for id, answer := range answers {
		switch {
		case answer.Err == nil:
			require.Equal(t, 1, counts[id], id)
		case answer.Verdict == verdict.NotRun:
			require.Zero(t, counts[id], "%s: %+v", id, answer.Err)
		default:
			require.LessOrEqual(t, counts[id], 1, id)
		}
	}
}

// An entry router need not be in the service's cell. Checks that need the route's
// definition are made in the owning region.
func TestRemoteRouteIsAnsweredByItsRegion(t *testing.T) {
	fleet := startFleet(t)
	near := newCallingRegion(t, remote.Config{}, remotePlan(netip.MustParseAddrPort(fleet.others[0].listener.Address())))
	near.waitUntilAnswered(t)
	answer := near.query("find", "one", time.Second)
	require.Nil(t, answer.Err)
	require.True(t, answer.Complete)
	require.Equal(t, "search", answer.Snapshot.Service)
	first := near.query("send", "id-1", time.Second)
	require.Nil(t, first.Err)
	again := near.query("send", "id-1", time.Second)
	require.Equal(t, verdict.ReasonClaimHeld, again.Err.Reason, "claims are the owning region's")
	refused := near.Query(t.Context(), router.Request{CallerID: "made-up", IDGenerated: true, Route: "send", Body: []byte(`{}`)})
	require.Equal(t, verdict.ReasonBadRequest, refused.Err.Reason, "a generated id would be another one at every try")
	require.Equal(t, verdict.NotRun, refused.Verdict)
	lost := near.query("lost", "two", time.Second)
	require.Equal(t, verdict.ReasonWrongRegion, lost.Err.Reason)
	require.Equal(t, verdict.NotRun, lost.Verdict)
	fleet.checkExecutions(t, map[string]query.Answer{"id-1": first, "made-up": refused, "two": lost})
}

// If two regions each claim that the other owns a route, the request must cross
// once and be refused.
func TestRequestCrossesRegionsOnce(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var nodes [2]node
	var calls [2]*countingCaller
	var listeners [2]*rpc.Server
	for index := range nodes {
		mux := http.NewServeMux()
		mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
			_, handler := NewHandler(nodes[index], rpc.Plaintext())
			handler.ServeHTTP(writer, request)
		})
		listener, err := rpc.NewServer(testaddress.Next().String(), mux, rpc.Plaintext(), logger)
		require.NoError(t, err)
		go func() { _ = listener.Serve() }()
		t.Cleanup(func() { _ = listener.Close() })
		listeners[index] = listener
	}
	for index := range nodes {
		other := netip.MustParseAddrPort(listeners[1-index].Address())
		calls[index] = &countingCaller{RegionCaller: NewClient(fmt.Sprint("router-", index), rpc.Plaintext())}
		nodes[index].Router = newRouterWith(t, fmt.Sprint("router-", index), &fixedSource{plan: remotePlan(other)}, logger,
			func(_ *router.Config, dependencies *router.Dependencies) { dependencies.Regions = calls[index] })
	}
	var answer query.Answer
	require.Eventually(t, func() bool {
		answer = nodes[0].Query(t.Context(), router.Request{CallerID: "x", Route: "find", Body: []byte(`{}`)})
		return answer.Err.Reason == verdict.ReasonWrongRegion
	}, longWait, time.Millisecond)
	require.Equal(t, verdict.NotRun, answer.Verdict)
	require.Zero(t, calls[1].crossings.Load(), "the request crossed back")
}

// A region that refuses connections costs one request one attempt; later requests
// are refused without an attempt. If another entry works, it is used instead.
func TestRefusedConnectionsAreNotRetried(t *testing.T) {
	near := newCallingRegion(t, remote.Config{FirstPause: time.Hour, LongestPause: time.Hour}, remotePlan(netip.MustParseAddrPort(closedAddress)))
	for number := range 50 {
		refused := near.query("send", fmt.Sprint("id-", number), time.Second)
		require.Equal(t, verdict.ReasonRegionUnreachable, refused.Err.Reason, refused.Err.Detail)
		require.Equal(t, verdict.NotRun, refused.Verdict)
		require.Positive(t, refused.Err.RetryAfter)
	}
	require.EqualValues(t, 1, near.calls.crossings.Load())
	require.Equal(t, []journal.Kind{journal.KindRegionUnreachable}, near.events.all())
	require.False(t, near.Status().Regions[0].Reachable)

	fleet := startFleet(t)
	both := newCallingRegion(t, remote.Config{FirstPause: time.Hour, LongestPause: time.Hour},
		remotePlan(netip.MustParseAddrPort(closedAddress), netip.MustParseAddrPort(fleet.member.listener.Address())))
	both.waitUntilAnswered(t)
	answers := map[string]query.Answer{}
	for number := range 20 {
		id := fmt.Sprint("both-", number)
		answers[id] = both.query("send", id, 2*time.Second)
		require.Nil(t, answers[id].Err)
	}
	require.Empty(t, both.events.all())
	fleet.checkExecutions(t, answers)
}

// During a network cut that drops packets, requests in flight may have run, and
// their number is bounded by the limit. Then requests to the region must be
// refused at once, without an attempt. After the cut the region must become
// reachable again by itself.
func TestSilentCutIsDetectedAndBounded(t *testing.T) {
	fleet := startFleet(t)
	link := testlink.New(t, fleet.member.listener.Address())
	const limit = 3
	near := newCallingRegion(t, remote.Config{Limit: limit, SilenceAfter: 10 * time.Millisecond, FirstPause: 10 * time.Millisecond,
		LongestPause: 50 * time.Millisecond}, remotePlan(link.Address()))
	near.waitUntilAnswered(t)
	link.Silence(true)
	var inFlight sync.WaitGroup
	answers := make([]query.Answer, limit)
	for index := range answers {
		inFlight.Go(func() { answers[index] = near.query("send", fmt.Sprint("out-", index), 500*time.Millisecond) })
	}
	require.Eventually(t, func() bool { return near.Status().Regions[0].InFlight == limit }, longWait, time.Millisecond)
	over := near.query("send", "over", time.Second)
	require.Equal(t, verdict.ReasonOverloaded, over.Err.Reason)
	require.Equal(t, verdict.NotRun, over.Verdict)
	inFlight.Wait()
	for _, answer := range answers {
		require.Equal(t, verdict.MayHaveRun, answer.Verdict)
	}
	require.Eventually(t, func() bool { return !near.Status().Regions[0].Reachable }, longWait, time.Millisecond)
	before := near.calls.crossings.Load()
	for range 100 {
		refused := near.query("send", "refused", time.Second)
		require.Equal(t, verdict.ReasonRegionUnreachable, refused.Err.Reason)
		require.Equal(t, verdict.NotRun, refused.Verdict)
	}
	require.Equal(t, before, near.calls.crossings.Load(), "requests were sent into the cut")

	link.Silence(false)
	link.Reset() // connections that lost bytes are unusable
	require.Eventually(t, func() bool { return near.Status().Regions[0].Reachable }, longWait, time.Millisecond)
	reported := map[string]query.Answer{"over": over, "refused": near.query("send", "refused", 2*time.Second)}
	require.Nil(t, reported["refused"].Err, "what was refused had not run")
	require.Equal(t, []journal.Kind{journal.KindRegionUnreachable, journal.KindRegionReachable}, near.events.all())
	for index, answer := range answers {
		reported[fmt.Sprint("out-", index)] = answer
	}
	fleet.checkExecutions(t, reported)
}

// If a connection is reset at some byte of the reply, a request that ran must
// never be reported as not run, and a request of a route that is not repeatable
// must not be sent to the other entry.
func TestResetWithinTheReply(t *testing.T) {
	fleet := startFleet(t)
	target := fleet.member.listener.Address()
	bounds := remote.Config{FirstPause: time.Hour, LongestPause: time.Hour}
	answers := map[string]query.Answer{}
	for _, bytes := range []int64{0, 1, 20, 60, 100, 140, 180, 220} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			link, other := testlink.New(t, target), testlink.New(t, target)
			link.LimitReplies(bytes)
			alone := newCallingRegion(t, bounds, remotePlan(link.Address()))
			id := fmt.Sprint("reset-", bytes)
			answers[id] = alone.query("send", id, time.Second)
			both := newCallingRegion(t, bounds, remotePlan(link.Address(), other.Address()))
			for number := range 8 {
				id := fmt.Sprint("both-", bytes, "-", number)
				crossings := both.calls.crossings.Load()
				answers[id] = both.query("send", id, time.Second)
				if answers[id].Err != nil && answers[id].Verdict != verdict.NotRun {
					require.Equal(t, crossings+1, both.calls.crossings.Load(), "offered again though it may have run")
				}
			}
			repeated := newCallingRegion(t, bounds, remotePlan(link.Address(), netip.MustParseAddrPort(target)))
			for number := range 8 {
				require.Nil(t, repeated.query("find", fmt.Sprint("again-", number), 2*time.Second).Err, "another entry was to be asked")
			}
		})
	}
	fleet.checkExecutions(t, answers)
}

// unresponsiveAddress returns an address at which connections are neither
// accepted nor refused: the accept queue of its listener is full, so the kernel
// drops further ones, like a network that drops packets.
func unresponsiveAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(socket, 0))
	bound, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	address := fmt.Sprint("127.0.0.1:", bound.(*syscall.SockaddrInet4).Port)
	for {
		waiting, err := net.DialTimeout("tcp4", address, 200*time.Millisecond)
		if err != nil {
			return netip.MustParseAddrPort(address)
		}
		t.Cleanup(func() { _ = waiting.Close() })
	}
}

// Connection attempts without a result must be given up well before the deadline,
// so that the request is known not to have run and another entry can be called.
func TestConnectTimeoutProvesNotRun(t *testing.T) {
	unresponsive := unresponsiveAddress(t)
	near := newCallingRegion(t, remote.Config{FirstPause: time.Hour, LongestPause: time.Hour}, remotePlan(unresponsive))
	// The deadline is shorter than the dialer's own limit of a second.
	refused := near.query("send", "id", 900*time.Millisecond)
	require.Equal(t, verdict.NotRun, refused.Verdict)
	require.Equal(t, verdict.ReasonRegionUnreachable, refused.Err.Reason, "not timeout")
	require.Eventually(t, func() bool { return !near.Status().Regions[0].Reachable }, longWait, time.Millisecond)
	before := near.calls.crossings.Load()
	require.Equal(t, verdict.ReasonRegionUnreachable, near.query("send", "id", 2*time.Second).Err.Reason)
	require.Equal(t, before, near.calls.crossings.Load())

	fleet := startFleet(t)
	both := newCallingRegion(t, remote.Config{}, remotePlan(unresponsive, netip.MustParseAddrPort(fleet.member.listener.Address())))
	both.waitUntilAnswered(t)
	answers := map[string]query.Answer{}
	for number := range 10 {
		id := fmt.Sprint("beside-", number)
		answers[id] = both.query("send", id, 4*time.Second)
		require.Nil(t, answers[id].Err)
	}
	fleet.checkExecutions(t, answers)
}

// A router without a lease must not forward requests.
func TestNothingIsForwardedWithoutLease(t *testing.T) {
	near := newCallingRegion(t, remote.Config{}, remotePlan(netip.MustParseAddrPort(closedAddress)))
	near.ExtendLease(time.Time{})
	refused := near.query("send", "id", time.Second)
	require.Equal(t, verdict.ReasonNoLease, refused.Err.Reason)
	require.Equal(t, verdict.NotRun, refused.Verdict)
	require.Zero(t, near.calls.crossings.Load())
}
