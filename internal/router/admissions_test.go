package router_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/admissionrecord"
	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/judge"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/proof/suspension"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// twoRevisions installs revision 1, and revision 2 once next is closed.
type twoRevisions struct {
	plan          *plan.Plan
	next, changed chan struct{}
}

// Run implements router.ConfigSource.
func (s *twoRevisions) Run(ctx context.Context, sink router.ConfigSink) error {
	sink.InstallPlan(1, s.plan)
	sink.ExtendLease(time.Now().Add(time.Hour))
	<-s.next
	sink.InstallPlan(2, s.plan)
	close(s.changed)
	<-ctx.Done()
	return nil
}

func (*twoRevisions) Observe(netip.AddrPort, query.MachineState) {}
func (*twoRevisions) Leave(context.Context) error                { return nil }
func (*twoRevisions) Describe() string                           { return "test" }

// staleEngine never replaces its first configuration.
type staleEngine struct{ router.Engine }

func (e staleEngine) Step(now time.Time, event query.Event) []query.Command {
	if installed, ok := event.(query.ConfigInstalled); ok && installed.Revision > 1 {
		return nil
	}
	return e.Engine.Step(now, event)
}

// startBackend starts a back end and returns a plan with a route to it.
func startBackend(t *testing.T, logger *logrus.Logger) *plan.Plan {
	configured := costPlan(nil, plan.Merge{Kind: plan.MergeConcat})
	configured.Services[0].Generations[0].Shards = []plan.Shard{{Name: "all", Replicas: []plan.Replica{
		{Address: netip.MustParseAddrPort("127.0.0.1:0"), Zone: "a", Slots: 4, Connections: 4}}}}
	fleet, err := emulator.New(emulator.Config{Plans: []*plan.Plan{configured}, QueuePerSlot: 64, FirstVersion: 1, MaxBody: 1 << 20,
		Model: servicetime.Model{Default: servicetime.Distribution{Median: time.Millisecond}}},
		emulator.Dependencies{Logger: logger})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	t.Cleanup(fleet.Close)
	return fleet.BoundPlan(configured)
}

// startRecordingRouter starts a router with a configuration source that records its
// admissions, and returns a function that sends it a query.
func startRecordingRouter(
	t *testing.T, logger *logrus.Logger, source router.ConfigSource, admitted *admissionrecord.Summary, wrap func(router.Engine) router.Engine,
) (sendQuery func() query.Answer) {
	served, running := runRouter(t, logger, source, admitted, wrap)
	return func() query.Answer {
		return served.Query(running, router.Request{CallerID: "r", Route: "find", Body: []byte(`{}`)})
	}
}

// runRouter runs a router until the test ends and returns it with its context.
func runRouter(
	t *testing.T, logger *logrus.Logger, source router.ConfigSource, admitted *admissionrecord.Summary, wrap func(router.Engine) router.Engine,
) (*router.Router, context.Context) {
	metrics := prometheus.NewRegistry()
	served := router.New(router.Config{Name: "router-1", Zone: "a", Boot: 1, Standalone: true, ProbeInterval: 10 * time.Millisecond}, router.Dependencies{
		Logger: logger, Registerer: metrics, Claims: router.NewLocalClaims(), Events: router.EventLog{Logger: logger},
		Backends: backend.New(backend.Config{Zone: "a"}, backend.Dependencies{Logger: logger, Registerer: metrics}),
		Source:   source, Admissions: admitted,
		NewEngine: func(int) router.Engine { return wrap(query.New(query.Config{Zone: "a"})) },
	})
	running, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- served.Run(running) }()
	t.Cleanup(func() {
		end()
		<-ended
	})
	return served, running
}

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// judgeTwoRevisions runs a router through a configuration change and returns the
// judge's result for the recorded admissions.
func judgeTwoRevisions(t *testing.T, wrap func(router.Engine) router.Engine) judge.Result {
	t.Helper()
	logger := discardLogger()
	source := &twoRevisions{plan: startBackend(t, logger), next: make(chan struct{}), changed: make(chan struct{})}
	admitted := admissionrecord.NewSummary("router-1")
	sendQuery := startRecordingRouter(t, logger, source, admitted, wrap)
	require.Eventually(t, func() bool { return sendQuery().Complete }, 20*time.Second, time.Millisecond)
	close(source.next)
	<-source.changed
	inForce := time.Now()
	time.Sleep(2 * judge.DefaultClockSkew) // an earlier admission may be recorded that much later
	require.True(t, sendQuery().Complete)
	judged := judge.New(judge.Config{})
	judged.AddOperatorAnswer(records.OperatorAnswer{ChangeID: "second", Accepted: true, Revision: 2, Received: inForce, InForce: inForce})
	lo.ForEach(admitted.Take(), func(admission records.Admission, _ int) { judged.AddAdmission(admission) })
	return judged.Result()
}

// Guards against an engine that admits under a replaced revision without being
// noticed: the judge must detect it from the router's admission records.
func TestStaleAdmissionsAreCaught(t *testing.T) {
	sound := judgeTwoRevisions(t, func(sound router.Engine) router.Engine { return sound })
	require.Empty(t, sound.Violations)
	require.GreaterOrEqual(t, sound.Counts.Admissions, 2)
	broken := judgeTwoRevisions(t, func(sound router.Engine) router.Engine { return staleEngine{sound} })
	require.Equal(t, map[judge.Invariant]int{judge.AcceptedInForce: 1}, broken.ByInvariant)
}

// leasedSource installs a plan under a lease that ends.
type leasedSource struct {
	plan  *plan.Plan
	lease time.Duration
}

// Run implements router.ConfigSource.
func (s *leasedSource) Run(ctx context.Context, sink router.ConfigSink) error {
	sink.InstallPlan(1, s.plan)
	sink.ExtendLease(steadyclock.Now().Add(s.lease))
	<-ctx.Done()
	return nil
}

func (*leasedSource) Observe(netip.AddrPort, query.MachineState) {}
func (*leasedSource) Leave(context.Context) error                { return nil }
func (*leasedSource) Describe() string                           { return "test" }

// Guards against admissions under a lease that expired while the machine was
// suspended. The monotonic clock stands still then and would show the lease as valid.
func TestLeaseEndsWhileTheMachineIsSuspended(t *testing.T) {
	machine := suspension.NewMachine(t)
	logger := discardLogger()
	source := &leasedSource{plan: startBackend(t, logger), lease: time.Hour}
	sendQuery := startRecordingRouter(t, logger, source, admissionrecord.NewSummary("router-1"), func(engine router.Engine) router.Engine { return engine })
	require.Eventually(t, func() bool { return sendQuery().Complete }, 20*time.Second, time.Millisecond)
	machine.Suspend(2 * time.Hour)
	answer := sendQuery()
	require.NotNil(t, answer.Err)
	require.Equal(t, verdict.ReasonNoLease, answer.Err.Reason)
	require.Equal(t, verdict.NotRun, answer.Err.Verdict)
}

// Guards against admission records whose times are off by the time that the machine
// was suspended: they are compared with records of other machines.
func TestAdmissionsAreRecordedByTheWallClock(t *testing.T) {
	machine := suspension.NewMachine(t)
	logger := discardLogger()
	source := &leasedSource{plan: startBackend(t, logger), lease: 4 * time.Hour}
	admitted := admissionrecord.NewSummary("router-1")
	sendQuery := startRecordingRouter(t, logger, source, admitted, func(engine router.Engine) router.Engine { return engine })
	machine.Suspend(2 * time.Hour)
	require.Eventually(t, func() bool { return sendQuery().Complete }, 20*time.Second, time.Millisecond)
	for _, recorded := range admitted.Take() {
		require.True(t, recorded.Until.Before(time.Now().Add(time.Hour)), "recorded at %v", recorded.Until)
	}
}

// delayedLeaseEngine processes a lease only once release is closed.
type delayedLeaseEngine struct {
	router.Engine
	received chan<- struct{}
	release  <-chan struct{}
}

func (e delayedLeaseEngine) Step(now time.Time, event query.Event) []query.Command {
	if _, ok := event.(query.LeaseRenewed); ok {
		e.received <- struct{}{}
		<-e.release
	}
	return e.Engine.Step(now, event)
}

// Guards against a router that reports ready before its engines have the lease and
// would refuse requests. The engine's processing of the first lease is delayed.
func TestReadyOnlyOnceEnginesHoldTheLease(t *testing.T) {
	logger := discardLogger()
	source := &leasedSource{plan: startBackend(t, logger), lease: time.Hour}
	received, release := make(chan struct{}, 1024), make(chan struct{})
	releaseAll := sync.OnceFunc(func() { close(release) })
	served, running := runRouter(t, logger, source, admissionrecord.NewSummary("router-1"), func(engine router.Engine) router.Engine {
		return delayedLeaseEngine{Engine: engine, received: received, release: release}
	})
	t.Cleanup(releaseAll)
	<-received
	require.Never(t, func() bool { ready, _ := served.Ready(); return ready }, 300*time.Millisecond, time.Millisecond)
	releaseAll()
	require.Eventually(t, func() bool { ready, _ := served.Ready(); return ready }, 10*time.Second, time.Millisecond)
	require.Nil(t, served.Query(running, router.Request{CallerID: "r", Route: "find", Body: []byte(`{}`)}).Err)
}
