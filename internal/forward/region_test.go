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
	// nobody is an address of this machine at which nothing listens: port 1 is
	// outside the range that connections are given.
	nobody = "127.0.0.1:1"
)

// countingCaller counts the requests that leave for other regions.
type countingCaller struct {
	router.RegionCaller
	crossings atomic.Int64
}

func (c *countingCaller) Cross(ctx context.Context, entry netip.AddrPort, request router.Request) router.Crossing {
	c.crossings.Add(1)
	return c.RegionCaller.Cross(ctx, entry, request)
}

// eventMemory is an EventSink that keeps kinds in their order.
type eventMemory struct {
	mutex sync.Mutex
	kinds []journal.Kind
}

func (m *eventMemory) Record(event journal.Event) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if event.Kind == journal.KindRegionUnreachable || event.Kind == journal.KindRegionReachable {
		m.kinds = append(m.kinds, event.Kind)
	}
}
func (m *eventMemory) Flush(context.Context) error { return nil }

func (m *eventMemory) all() []journal.Kind {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.kinds)
}

// nearSide is a router of a region that owns nothing and asks region north.
type nearSide struct {
	*router.Router
	calls  *countingCaller
	events *eventMemory
}

// remotePlan has routes of region north, reached through entries.
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

func newNearSide(t *testing.T, bounds remote.Config, installed *plan.Plan) *nearSide {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	near := &nearSide{events: &eventMemory{}, calls: &countingCaller{RegionCaller: NewClient("near", rpc.Plaintext())}}
	near.Router = newRouterWith(t, "near", &fixedSource{plan: installed}, logger,
		func(config *router.Config, dependencies *router.Dependencies) {
			config.Regions, config.ReachTimeout = bounds, 200*time.Millisecond
			dependencies.Regions, dependencies.Events = near.calls, near.events
		})
	require.Eventually(t, func() bool { ready, _ := near.Ready(); return ready }, longWait, time.Millisecond)
	return near
}

func (n *nearSide) ask(route, id string, wait time.Duration) query.Answer {
	return n.Query(context.Background(), router.Request{CallerID: id, Route: route, Body: []byte(`{}`), Deadline: time.Now().Add(wait)})
}

// warm waits until the region north answers.
func (n *nearSide) warm(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return n.ask("find", "warm", time.Second).Err == nil }, longWait, 5*time.Millisecond)
}

// checkExecutions ends the back ends and holds their record against what callers
// were told of requests that run at most once.
func (f *routerFleet) checkExecutions(t *testing.T, told map[string]query.Answer) {
	t.Helper()
	f.closeBackends()
	counts := map[string]int{}
	for _, execution := range f.record.Executions() {
		if execution.Executed {
			counts[execution.Request]++
		}
	}
	for id, answer := range told {
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

// An entry router need not be of the service's cell. What only the owning
// region knows of a route is checked there.
func TestRemoteRouteIsAnsweredByItsRegion(t *testing.T) {
	fleet := startFleet(t)
	near := newNearSide(t, remote.Config{}, remotePlan(netip.MustParseAddrPort(fleet.others[0].listener.Address())))
	near.warm(t)
	answer := near.ask("find", "one", time.Second)
	require.Nil(t, answer.Err)
	require.True(t, answer.Complete)
	require.Equal(t, "search", answer.Snapshot.Service)
	first := near.ask("send", "id-1", time.Second)
	require.Nil(t, first.Err)
	again := near.ask("send", "id-1", time.Second)
	require.Equal(t, verdict.ReasonClaimHeld, again.Err.Reason, "claims are the owning region's")
	refused := near.Query(t.Context(), router.Request{CallerID: "made-up", IDGenerated: true, Route: "send", Body: []byte(`{}`)})
	require.Equal(t, verdict.ReasonBadRequest, refused.Err.Reason, "a generated id would be another one at every try")
	require.Equal(t, verdict.NotRun, refused.Verdict)
	lost := near.ask("lost", "two", time.Second)
	require.Equal(t, verdict.ReasonWrongRegion, lost.Err.Reason)
	require.Equal(t, verdict.NotRun, lost.Verdict)
	fleet.checkExecutions(t, map[string]query.Answer{"id-1": first, "made-up": refused, "two": lost})
}

// Two regions that each say that the other owns a route: the request crosses
// once and is refused.
func TestARequestCrossesOnce(t *testing.T) {
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

// A region that refuses connections costs one request one try; the next are
// refused without any. An entry that works is used instead.
func TestRefusedConnectionsAreNotTriedAgain(t *testing.T) {
	near := newNearSide(t, remote.Config{FirstPause: time.Hour, LongestPause: time.Hour}, remotePlan(netip.MustParseAddrPort(nobody)))
	for number := range 50 {
		refused := near.ask("send", fmt.Sprint("id-", number), time.Second)
		require.Equal(t, verdict.ReasonRegionUnreachable, refused.Err.Reason, refused.Err.Detail)
		require.Equal(t, verdict.NotRun, refused.Verdict)
		require.Positive(t, refused.Err.RetryAfter)
	}
	require.EqualValues(t, 1, near.calls.crossings.Load())
	require.Equal(t, []journal.Kind{journal.KindRegionUnreachable}, near.events.all())
	require.False(t, near.Status().Regions[0].Reachable)

	fleet := startFleet(t)
	both := newNearSide(t, remote.Config{FirstPause: time.Hour, LongestPause: time.Hour},
		remotePlan(netip.MustParseAddrPort(nobody), netip.MustParseAddrPort(fleet.member.listener.Address())))
	both.warm(t)
	told := map[string]query.Answer{}
	for number := range 20 {
		id := fmt.Sprint("both-", number)
		told[id] = both.ask("send", id, 2*time.Second)
		require.Nil(t, told[id].Err)
	}
	require.Empty(t, both.events.all())
	fleet.checkExecutions(t, told)
}

// A cut that drops packets: requests that are out may have run and are at most
// as many as the limit; then the region is refused at once, without a try, and
// found again by itself after the cut.
func TestASilentCutIsNoticedAndBounded(t *testing.T) {
	fleet := startFleet(t)
	way := testlink.New(t, fleet.member.listener.Address())
	const limit = 3
	near := newNearSide(t, remote.Config{Limit: limit, SilenceAfter: 10 * time.Millisecond, FirstPause: 10 * time.Millisecond,
		LongestPause: 50 * time.Millisecond}, remotePlan(way.Address()))
	near.warm(t)
	way.Silence(true)
	var out sync.WaitGroup
	answers := make([]query.Answer, limit)
	for index := range answers {
		out.Go(func() { answers[index] = near.ask("send", fmt.Sprint("out-", index), 500*time.Millisecond) })
	}
	require.Eventually(t, func() bool { return near.Status().Regions[0].InFlight == limit }, longWait, time.Millisecond)
	over := near.ask("send", "over", time.Second)
	require.Equal(t, verdict.ReasonOverloaded, over.Err.Reason)
	require.Equal(t, verdict.NotRun, over.Verdict)
	out.Wait()
	for _, answer := range answers {
		require.Equal(t, verdict.MayHaveRun, answer.Verdict)
	}
	require.Eventually(t, func() bool { return !near.Status().Regions[0].Reachable }, longWait, time.Millisecond)
	before := near.calls.crossings.Load()
	for range 100 {
		refused := near.ask("send", "refused", time.Second)
		require.Equal(t, verdict.ReasonRegionUnreachable, refused.Err.Reason)
		require.Equal(t, verdict.NotRun, refused.Verdict)
	}
	require.Equal(t, before, near.calls.crossings.Load(), "requests were sent into the cut")

	way.Silence(false)
	way.Reset() // connections that lost bytes are of no use
	require.Eventually(t, func() bool { return near.Status().Regions[0].Reachable }, longWait, time.Millisecond)
	told := map[string]query.Answer{"over": over, "refused": near.ask("send", "refused", 2*time.Second)}
	require.Nil(t, told["refused"].Err, "what was refused had not run")
	require.Equal(t, []journal.Kind{journal.KindRegionUnreachable, journal.KindRegionReachable}, near.events.all())
	for index, answer := range answers {
		told[fmt.Sprint("out-", index)] = answer
	}
	fleet.checkExecutions(t, told)
}

// A connection that is reset at some byte of the reply: what ran is never said
// not to have run, and a request of a route that is not repeatable is not
// offered to the other entry.
func TestResetWithinTheReply(t *testing.T) {
	fleet := startFleet(t)
	target := fleet.member.listener.Address()
	bounds := remote.Config{FirstPause: time.Hour, LongestPause: time.Hour}
	told := map[string]query.Answer{}
	for _, bytes := range []int64{0, 1, 20, 60, 100, 140, 180, 220} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			way, other := testlink.New(t, target), testlink.New(t, target)
			way.LimitReplies(bytes)
			alone := newNearSide(t, bounds, remotePlan(way.Address()))
			id := fmt.Sprint("reset-", bytes)
			told[id] = alone.ask("send", id, time.Second)
			both := newNearSide(t, bounds, remotePlan(way.Address(), other.Address()))
			for number := range 8 {
				id := fmt.Sprint("both-", bytes, "-", number)
				crossings := both.calls.crossings.Load()
				told[id] = both.ask("send", id, time.Second)
				if told[id].Err != nil && told[id].Verdict != verdict.NotRun {
					require.Equal(t, crossings+1, both.calls.crossings.Load(), "offered again though it may have run")
				}
			}
			repeated := newNearSide(t, bounds, remotePlan(way.Address(), netip.MustParseAddrPort(target)))
			for number := range 8 {
				require.Nil(t, repeated.ask("find", fmt.Sprint("again-", number), 2*time.Second).Err, "another entry was to be asked")
			}
		})
	}
	fleet.checkExecutions(t, told)
}

// deafAddress returns an address at which connections are neither taken nor
// refused: the queue of its listener is full, so that the kernel drops further
// ones, as a network does that drops packets.
func deafAddress(t *testing.T) netip.AddrPort {
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

// Connections that are never made are given up well before the deadline, so that
// the request provably was not run and another entry can be asked.
func TestConnectionsThatAreNeverMade(t *testing.T) {
	deaf := deafAddress(t)
	near := newNearSide(t, remote.Config{FirstPause: time.Hour, LongestPause: time.Hour}, remotePlan(deaf))
	// The deadline is shorter than the dialer's own limit of a second.
	refused := near.ask("send", "id", 900*time.Millisecond)
	require.Equal(t, verdict.NotRun, refused.Verdict)
	require.Equal(t, verdict.ReasonRegionUnreachable, refused.Err.Reason, "not timeout")
	require.Eventually(t, func() bool { return !near.Status().Regions[0].Reachable }, longWait, time.Millisecond)
	before := near.calls.crossings.Load()
	require.Equal(t, verdict.ReasonRegionUnreachable, near.ask("send", "id", 2*time.Second).Err.Reason)
	require.Equal(t, before, near.calls.crossings.Load())

	fleet := startFleet(t)
	both := newNearSide(t, remote.Config{}, remotePlan(deaf, netip.MustParseAddrPort(fleet.member.listener.Address())))
	both.warm(t)
	told := map[string]query.Answer{}
	for number := range 10 {
		id := fmt.Sprint("beside-", number)
		told[id] = both.ask("send", id, 4*time.Second)
		require.Nil(t, told[id].Err)
	}
	fleet.checkExecutions(t, told)
}

// A router without a lease hands over nothing.
func TestWithoutALeaseNothingIsHandedOver(t *testing.T) {
	near := newNearSide(t, remote.Config{}, remotePlan(netip.MustParseAddrPort(nobody)))
	near.ExtendLease(time.Time{})
	refused := near.ask("send", "id", time.Second)
	require.Equal(t, verdict.ReasonNoLease, refused.Err.Reason)
	require.Equal(t, verdict.NotRun, refused.Verdict)
	require.Zero(t, near.calls.crossings.Load())
}
