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

// twoRevisions installs revision 1, and 2 when it is told to.
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

// staleEngine keeps the first configuration for ever.
type staleEngine struct{ router.Engine }

func (e staleEngine) Step(now time.Time, event query.Event) []query.Command {
	if installed, ok := event.(query.ConfigInstalled); ok && installed.Revision > 1 {
		return nil
	}
	return e.Engine.Step(now, event)
}

// oneBackend starts a back end and returns the plan of a route to it.
func oneBackend(t *testing.T, logger *logrus.Logger) *plan.Plan {
	whole := costPlan(nil, plan.Merge{Kind: plan.MergeConcat})
	whole.Services[0].Generations[0].Shards = []plan.Shard{{Name: "all", Replicas: []plan.Replica{
		{Address: netip.MustParseAddrPort("127.0.0.1:0"), Zone: "a", Slots: 4, Connections: 4}}}}
	fleet, err := emulator.New(emulator.Config{Plans: []*plan.Plan{whole}, QueuePerSlot: 64, FirstVersion: 1, MaxBody: 1 << 20,
		Model: servicetime.Model{Default: servicetime.Distribution{Median: time.Millisecond}}},
		emulator.Dependencies{Logger: logger})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	t.Cleanup(fleet.Close)
	return fleet.BoundPlan(whole)
}

// runAdmissions runs a router that takes its configuration from a source and records its
// admissions, and returns what asks it.
func runAdmissions(
	t *testing.T, logger *logrus.Logger, source router.ConfigSource, admitted *admissionrecord.Summary, wrap func(router.Engine) router.Engine,
) (ask func() query.Answer) {
	served, running := runRouter(t, logger, source, admitted, wrap)
	return func() query.Answer {
		return served.Query(running, router.Request{CallerID: "r", Route: "find", Body: []byte(`{}`)})
	}
}

// runRouter runs a router until the test ends, and returns the context that it runs in.
func runRouter(
	t *testing.T, logger *logrus.Logger, source router.ConfigSource, admitted *admissionrecord.Summary, wrap func(router.Engine) router.Engine,
) (*router.Router, context.Context) {
	metrics := prometheus.NewRegistry()
	served := router.New(router.Config{Name: "router-1", Zone: "a", Boot: 1, Alone: true, ProbeInterval: 10 * time.Millisecond}, router.Dependencies{
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

func silentLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// judgeTwoRevisions runs a router through a change and returns what the judge
// says of the admissions that it recorded.
func judgeTwoRevisions(t *testing.T, wrap func(router.Engine) router.Engine) judge.Result {
	t.Helper()
	logger := silentLogger()
	source := &twoRevisions{plan: oneBackend(t, logger), next: make(chan struct{}), changed: make(chan struct{})}
	admitted := admissionrecord.NewSummary("router-1")
	ask := runAdmissions(t, logger, source, admitted, wrap)
	require.Eventually(t, func() bool { return ask().Complete }, 20*time.Second, time.Millisecond)
	close(source.next)
	<-source.changed
	inForce := time.Now()
	time.Sleep(2 * judge.DefaultClockSkew) // an earlier admission may be that much late
	require.True(t, ask().Complete)
	judged := judge.New(judge.Config{})
	judged.AddOperatorAnswer(records.OperatorAnswer{ChangeID: "second", Accepted: true, Revision: 2, Received: inForce, InForce: inForce})
	lo.ForEach(admitted.Take(), func(admission records.Admission, _ int) { judged.AddAdmission(admission) })
	return judged.Result()
}

// What a router records of its admissions shows the judge an engine that admits
// under a revision that is said to be replaced everywhere.
func TestStaleAdmissionsAreCaught(t *testing.T) {
	sound := judgeTwoRevisions(t, func(sound router.Engine) router.Engine { return sound })
	require.Empty(t, sound.Violations)
	require.GreaterOrEqual(t, sound.Counts.Admissions, 2)
	broken := judgeTwoRevisions(t, func(sound router.Engine) router.Engine { return staleEngine{sound} })
	require.Equal(t, map[judge.Invariant]int{judge.AcceptedInForce: 1}, broken.ByInvariant)
}

// leased installs a plan under a lease that ends.
type leased struct {
	plan  *plan.Plan
	lease time.Duration
}

// Run implements router.ConfigSource.
func (s *leased) Run(ctx context.Context, sink router.ConfigSink) error {
	sink.InstallPlan(1, s.plan)
	sink.ExtendLease(steadyclock.Now().Add(s.lease))
	<-ctx.Done()
	return nil
}

func (*leased) Observe(netip.AddrPort, query.MachineState) {}
func (*leased) Leave(context.Context) error                { return nil }
func (*leased) Describe() string                           { return "test" }

// TestLeaseEndsWhileTheMachineIsSuspended suspends a router's machine for longer than its
// lease, while the clock that stands still then says that it is good: nothing is admitted.
func TestLeaseEndsWhileTheMachineIsSuspended(t *testing.T) {
	machine := suspension.NewMachine(t)
	logger := silentLogger()
	source := &leased{plan: oneBackend(t, logger), lease: time.Hour}
	ask := runAdmissions(t, logger, source, admissionrecord.NewSummary("router-1"), func(engine router.Engine) router.Engine { return engine })
	require.Eventually(t, func() bool { return ask().Complete }, 20*time.Second, time.Millisecond)
	machine.Suspend(2 * time.Hour)
	answer := ask()
	require.NotNil(t, answer.Err)
	require.Equal(t, verdict.ReasonNoLease, answer.Err.Reason)
	require.Equal(t, verdict.NotRun, answer.Err.Verdict)
}

// TestAdmissionsAreRecordedByTheWallClock guards against records whose times are off by how long the
// machine was suspended, which are compared with those of other machines.
func TestAdmissionsAreRecordedByTheWallClock(t *testing.T) {
	machine := suspension.NewMachine(t)
	logger := silentLogger()
	source := &leased{plan: oneBackend(t, logger), lease: 4 * time.Hour}
	admitted := admissionrecord.NewSummary("router-1")
	ask := runAdmissions(t, logger, source, admitted, func(engine router.Engine) router.Engine { return engine })
	machine.Suspend(2 * time.Hour)
	require.Eventually(t, func() bool { return ask().Complete }, 20*time.Second, time.Millisecond)
	for _, recorded := range admitted.Take() {
		require.True(t, recorded.Until.Before(time.Now().Add(time.Hour)), "recorded at %v", recorded.Until)
	}
}

// slowToLease takes a lease in only once it is let.
type slowToLease struct {
	router.Engine
	asked chan<- struct{}
	let   <-chan struct{}
}

func (e slowToLease) Step(now time.Time, event query.Event) []query.Command {
	if _, ok := event.(query.LeaseRenewed); ok {
		e.asked <- struct{}{}
		<-e.let
	}
	return e.Engine.Step(now, event)
}

// TestReadyOnlyOnceEnginesHoldTheLease delays the engine that is told of the first lease:
// the router is not ready meanwhile, since the engine would refuse what came.
func TestReadyOnlyOnceEnginesHoldTheLease(t *testing.T) {
	logger := silentLogger()
	source := &leased{plan: oneBackend(t, logger), lease: time.Hour}
	asked, let := make(chan struct{}, 1024), make(chan struct{})
	letAll := sync.OnceFunc(func() { close(let) })
	served, running := runRouter(t, logger, source, admissionrecord.NewSummary("router-1"), func(engine router.Engine) router.Engine {
		return slowToLease{Engine: engine, asked: asked, let: let}
	})
	t.Cleanup(letAll)
	<-asked
	require.Never(t, func() bool { ready, _ := served.Ready(); return ready }, 300*time.Millisecond, time.Millisecond)
	letAll()
	require.Eventually(t, func() bool { ready, _ := served.Ready(); return ready }, 10*time.Second, time.Millisecond)
	require.Nil(t, served.Query(running, router.Request{CallerID: "r", Route: "find", Body: []byte(`{}`)}).Err)
}
