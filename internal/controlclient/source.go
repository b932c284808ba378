package controlclient

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/follower"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/routestats"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

const (
	// repeatInterval is how often an observation that still holds is reported again,
	// well before control discards it.
	repeatInterval = membership.ObservationLifetime / 3
	// maxObservationAge is how long an observation is repeated if the router never
	// sees the back end again.
	maxObservationAge = 10 * time.Minute
)

// SourceConfig describes the router that a Source runs in.
type SourceConfig struct {
	Name string
	Zone string
	// Address is where other routers reach this router.
	Address string
	Boot    uint64
	// Upstreams are the addresses of relays, or of control voters on a small site.
	Upstreams []string
}

// SourceDeps holds the dependencies of a Source.
type SourceDeps struct {
	Dial follower.Dial
	// Events may be nil.
	Events     follower.Events
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
	// Routes returns recent request statistics per route; may be nil.
	Routes func(now time.Time) []*v1.RouteReport
	// Random returns a number in [0,1) for jitter.
	Random func() float64
}

// Source is a router's configuration source. It implements router.ConfigSource.
type Source struct {
	upstreams    []string
	follower     *follower.Follower
	routeReports func(now time.Time) []*v1.RouteReport
	// pace limits the request statistics reports; used only by the follower's
	// goroutine.
	pace routestats.Pace

	mutex        sync.Mutex
	configSink   router.ConfigSink
	routers      *membership.Table[membership.Node]
	machines     *membership.Table[membership.Machine]
	observations map[netip.AddrPort]*observation
}

// observation is the state of a back end as seen by this router.
type observation struct {
	state      membership.State
	observedAt time.Time
	// reportedTo and reportedAt are the upstream and time of the last report; the
	// zero value means not reported.
	reportedTo follower.Upstream
	reportedAt time.Time
	// inFlight is the state that the call in flight reports; 0 if none.
	inFlight membership.State
}

// NewSource returns a source without any configuration yet.
func NewSource(config SourceConfig, deps SourceDeps) (*Source, error) {
	source := &Source{
		upstreams:    config.Upstreams,
		routeReports: deps.Routes,
		routers:      membership.NewRouterTable(),
		machines:     membership.NewMachineTable(),
		observations: make(map[netip.AddrPort]*observation),
	}
	node := membership.Node{
		Name: config.Name, Role: membership.RoleRouter, Zone: config.Zone,
		Address: config.Address, Boot: config.Boot,
	}
	newFollower, err := follower.New(follower.Config{Node: node, Upstreams: config.Upstreams}, follower.Deps{
		Dial: deps.Dial, Sink: followerSink{source}, Reporter: source, Events: deps.Events,
		Logger: deps.Logger, Registerer: deps.Registerer, Random: deps.Random,
	})
	if err != nil {
		return nil, err
	}
	source.follower = newFollower
	return source, nil
}

// Run implements router.ConfigSource.
func (s *Source) Run(ctx context.Context, sink router.ConfigSink) error {
	s.mutex.Lock()
	s.configSink = sink
	s.mutex.Unlock()
	err := s.follower.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Observe implements router.ConfigSource.
func (s *Source) Observe(address netip.AddrPort, state query.MachineState) {
	if s.recordObservation(address, membershipStates[state]) {
		// The call in flight does not contain this state. Interrupt is called
		// without s.mutex, because the follower calls the sink while it holds its own lock.
		s.follower.Interrupt()
	}
}

// recordObservation stores an observation and reports whether it is new.
func (s *Source) recordObservation(address netip.AddrPort, state membership.State) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, found := s.observations[address]
	if !found {
		if state == membership.Live {
			return false // no earlier report needs to be withdrawn
		}
		current = &observation{}
		s.observations[address] = current
	}
	current.observedAt = steadyclock.Now()
	if current.state == state {
		return false
	}
	current.state, current.reportedTo = state, follower.Upstream{}
	return true
}

// sink returns the sink that Run delivers to; nil before Run.
func (s *Source) sink() router.ConfigSink {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.configSink
}

// Leave implements router.ConfigSource.
func (s *Source) Leave(ctx context.Context) error { return s.follower.Release(ctx) }

// Describe implements router.ConfigSource.
func (s *Source) Describe() string { return "control through " + strings.Join(s.upstreams, ", ") }

// Prepare implements follower.Reporter. It adds the observations that the upstream
// does not know or would soon discard.
func (s *Source) Prepare(now time.Time, upstream follower.Upstream, request *v1.SyncRequest) {
	if s.routeReports != nil && s.pace.Due(now, upstream.Address) {
		request.Routes = s.routeReports(now)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, current := range s.observations {
		current.inFlight = 0
		if now.Sub(current.observedAt) > maxObservationAge {
			delete(s.observations, address)
			continue
		}
		if current.reportedTo == upstream && now.Sub(current.reportedAt) < repeatInterval {
			continue
		}
		current.inFlight = current.state
		request.Observations = append(request.Observations, &v1.MachineState{
			Address: address.String(), State: current.state.String(),
		})
	}
	slices.SortFunc(request.Observations, func(left, right *v1.MachineState) int {
		return cmp.Compare(left.GetAddress(), right.GetAddress())
	})
}

// Delivered implements follower.Reporter.
func (s *Source) Delivered(upstream follower.Upstream, _ *v1.SyncRequest) {
	now := steadyclock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, current := range s.observations {
		if current.inFlight == 0 || current.inFlight != current.state {
			continue
		}
		current.reportedTo, current.reportedAt = upstream, now
		if current.state == membership.Live {
			delete(s.observations, address)
		}
	}
}

var membershipStates = map[query.MachineState]membership.State{
	query.MachineLive: membership.Live, query.MachineDraining: membership.Leaving, query.MachineRemoved: membership.Gone,
}

var queryStates = map[membership.State]query.MachineState{
	membership.Live: query.MachineLive, membership.Leaving: query.MachineDraining, membership.Gone: query.MachineRemoved,
}

// followerSink passes what the follower receives to the router.
type followerSink struct{ source *Source }

// InstallPlan implements follower.Sink.
func (s followerSink) InstallPlan(revision uint64, installed *plan.Plan) {
	s.source.sink().InstallPlan(revision, installed)
}

// ExtendLease implements follower.Sink.
func (s followerSink) ExtendLease(_ uint64, until time.Time) {
	// The router may release its lease before Run was called.
	if sink := s.source.sink(); sink != nil {
		sink.ExtendLease(until)
	}
}

// MergeRouters implements follower.Sink.
func (s followerSink) MergeRouters(changes membership.Changes[membership.Node]) {
	s.source.mutex.Lock()
	merged := s.source.routers.Merge(changes)
	nodes := s.source.routers.Values()
	s.source.mutex.Unlock()
	if !merged {
		return
	}
	peers := make([]router.Peer, 0, len(nodes))
	for _, node := range nodes {
		address, err := netip.ParseAddrPort(node.Address)
		if err != nil {
			continue // a router without an address can't receive handed-over requests
		}
		peers = append(peers, router.Peer{Name: node.Name, Zone: node.Zone, Address: address, Boot: node.Boot})
	}
	s.source.sink().InstallRouters(peers)
}

// MergeMachines implements follower.Sink.
func (s followerSink) MergeMachines(changes membership.Changes[membership.Machine]) {
	s.source.mutex.Lock()
	before := s.source.machines.Values()
	merged := s.source.machines.Merge(changes)
	after := s.source.machines.Values()
	s.source.mutex.Unlock()
	if !merged {
		return
	}
	if observed := changedMachines(before, after); len(observed) > 0 {
		s.source.sink().ObserveMachines(observed)
	}
}

// Versions implements follower.Sink.
func (s followerSink) Versions() (routers, machines uint64) {
	s.source.mutex.Lock()
	defer s.source.mutex.Unlock()
	return s.source.routers.Version(), s.source.machines.Version()
}

// changedMachines lists the machines whose state changed. A machine that is no
// longer listed counts as live.
func changedMachines(before, after []membership.Machine) []query.MachineObserved {
	statesBefore := make(map[string]membership.State, len(before))
	for _, machine := range before {
		statesBefore[machine.Address] = machine.State
	}
	var changed []query.MachineObserved
	add := func(text string, state membership.State) {
		if address, err := netip.ParseAddrPort(text); err == nil {
			changed = append(changed, query.MachineObserved{Address: address, State: queryStates[state]})
		}
	}
	for _, machine := range after {
		if statesBefore[machine.Address] != machine.State {
			add(machine.Address, machine.State)
		}
		delete(statesBefore, machine.Address)
	}
	for _, machine := range before {
		if _, unlisted := statesBefore[machine.Address]; unlisted {
			add(machine.Address, membership.Live)
		}
	}
	return changed
}
