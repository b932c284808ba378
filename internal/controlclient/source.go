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
	// repeatAfter is how often an observation that still holds is told again,
	// well before control would forget it.
	repeatAfter = membership.ObservationLifetime / 3
	// observationLimit is how long an observation is repeated at most, should
	// the router never see the back end again.
	observationLimit = 10 * time.Minute
)

// SourceConfig describes the router that follows.
type SourceConfig struct {
	Name string
	Zone string
	// Address at which peers reach the router.
	Address string
	Boot    uint64
	// Upstreams are relays, or control voters on a small site.
	Upstreams []string
}

// SourceDeps are the parts that a Source works with.
type SourceDeps struct {
	Dial follower.Dial
	// Events may be nil.
	Events     follower.Events
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
	// Routes returns what the router did with requests lately; may be nil.
	Routes func(now time.Time) []*v1.RouteReport
	// Random returns a number in [0,1) for jitter.
	Random func() float64
}

// Source is a router's configuration source. It implements
// router.ConfigSource.
type Source struct {
	upstreams []string
	follower  *follower.Follower
	routes    func(now time.Time) []*v1.RouteReport
	// pace of the reports about requests; it belongs to the follower's goroutine.
	pace routestats.Pace

	mutex        sync.Mutex
	target       router.ConfigSink
	routers      *membership.Table[membership.Node]
	machines     *membership.Table[membership.Machine]
	observations map[netip.AddrPort]*observation
}

// observation is what the router itself saw of a back end.
type observation struct {
	state  membership.State
	seenAt time.Time
	// told is to whom and when it was last told; the zero value is nobody.
	told   follower.Upstream
	toldAt time.Time
	// underWay marks what the call under way tells.
	underWay membership.State
}

// NewSource returns a source that has nothing yet.
func NewSource(config SourceConfig, deps SourceDeps) (*Source, error) {
	source := &Source{
		upstreams:    config.Upstreams,
		routes:       deps.Routes,
		routers:      membership.NewRouterTable(),
		machines:     membership.NewMachineTable(),
		observations: make(map[netip.AddrPort]*observation),
	}
	node := membership.Node{
		Name: config.Name, Role: membership.RoleRouter, Zone: config.Zone,
		Address: config.Address, Boot: config.Boot,
	}
	upper, err := follower.New(follower.Config{Node: node, Upstreams: config.Upstreams}, follower.Deps{
		Dial: deps.Dial, Sink: intake{source}, Reporter: source, Events: deps.Events,
		Logger: deps.Logger, Registerer: deps.Registerer, Random: deps.Random,
	})
	if err != nil {
		return nil, err
	}
	source.follower = upper
	return source, nil
}

// Run implements router.ConfigSource.
func (s *Source) Run(ctx context.Context, target router.ConfigSink) error {
	s.mutex.Lock()
	s.target = target
	s.mutex.Unlock()
	err := s.follower.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Observe implements router.ConfigSource.
func (s *Source) Observe(address netip.AddrPort, state query.MachineState) {
	if s.note(address, membershipStates[state]) {
		// The call that is held now does not tell it. Outside the lock, because
		// the follower calls the sink under its own.
		s.follower.Poke()
	}
}

// note keeps an observation and reports whether it is news.
func (s *Source) note(address netip.AddrPort, word membership.State) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, found := s.observations[address]
	if !found {
		if word == membership.Live {
			return false // nothing was said before that would have to be withdrawn
		}
		known = &observation{}
		s.observations[address] = known
	}
	known.seenAt = steadyclock.Now()
	if known.state == word {
		return false
	}
	known.state, known.told = word, follower.Upstream{}
	return true
}

// sink returns whom Run delivers to; nil before.
func (s *Source) sink() router.ConfigSink {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.target
}

// Leave implements router.ConfigSource.
func (s *Source) Leave(ctx context.Context) error { return s.follower.Leave(ctx) }

// Describe implements router.ConfigSource.
func (s *Source) Describe() string { return "control through " + strings.Join(s.upstreams, ", ") }

// Prepare implements follower.Reporter: it adds the observations that the
// upstream does not know, or would soon forget.
func (s *Source) Prepare(now time.Time, upstream follower.Upstream, request *v1.SyncRequest) {
	if s.routes != nil && s.pace.Due(now, upstream.Address) {
		request.Routes = s.routes(now)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, known := range s.observations {
		known.underWay = 0
		if now.Sub(known.seenAt) > observationLimit {
			delete(s.observations, address)
			continue
		}
		if known.told == upstream && now.Sub(known.toldAt) < repeatAfter {
			continue
		}
		known.underWay = known.state
		request.Observations = append(request.Observations, &v1.MachineState{
			Address: address.String(), State: known.state.String(),
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
	for address, known := range s.observations {
		if known.underWay == 0 || known.underWay != known.state {
			continue
		}
		known.told, known.toldAt = upstream, now
		if known.state == membership.Live {
			delete(s.observations, address)
		}
	}
}

var membershipStates = map[query.MachineState]membership.State{
	query.MachineLive: membership.Live, query.MachineLeaving: membership.Leaving, query.MachineGone: membership.Gone,
}

var queryStates = map[membership.State]query.MachineState{
	membership.Live: query.MachineLive, membership.Leaving: query.MachineLeaving, membership.Gone: query.MachineGone,
}

// intake takes in what the follower learns and hands it to the router.
type intake struct{ source *Source }

// InstallPlan implements follower.Sink.
func (s intake) InstallPlan(revision uint64, installed *plan.Plan) {
	s.source.sink().InstallPlan(revision, installed)
}

// ExtendLease implements follower.Sink.
func (s intake) ExtendLease(_ uint64, until time.Time) {
	// The router may leave before it ever ran.
	if target := s.source.sink(); target != nil {
		target.ExtendLease(until)
	}
}

// MergeRouters implements follower.Sink.
func (s intake) MergeRouters(changes membership.Changes[membership.Node]) {
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
			continue // a peer without an address takes no handed-over requests
		}
		peers = append(peers, router.Peer{Name: node.Name, Zone: node.Zone, Address: address, Boot: node.Boot})
	}
	s.source.sink().InstallRouters(peers)
}

// MergeMachines implements follower.Sink.
func (s intake) MergeMachines(changes membership.Changes[membership.Machine]) {
	s.source.mutex.Lock()
	before := s.source.machines.Values()
	merged := s.source.machines.Merge(changes)
	after := s.source.machines.Values()
	s.source.mutex.Unlock()
	if !merged {
		return
	}
	if observed := differences(before, after); len(observed) > 0 {
		s.source.sink().ObserveMachines(observed)
	}
}

// Versions implements follower.Sink.
func (s intake) Versions() (routers, machines uint64) {
	s.source.mutex.Lock()
	defer s.source.mutex.Unlock()
	return s.source.routers.Version(), s.source.machines.Version()
}

// differences lists the machines whose state is another one now. A machine
// that is no longer listed is live by everybody's word.
func differences(before, after []membership.Machine) []query.MachineObserved {
	was := make(map[string]membership.State, len(before))
	for _, machine := range before {
		was[machine.Address] = machine.State
	}
	var changed []query.MachineObserved
	note := func(text string, state membership.State) {
		if address, err := netip.ParseAddrPort(text); err == nil {
			changed = append(changed, query.MachineObserved{Address: address, State: queryStates[state]})
		}
	}
	for _, machine := range after {
		if was[machine.Address] != machine.State {
			note(machine.Address, machine.State)
		}
		delete(was, machine.Address)
	}
	for _, machine := range before {
		if _, unlisted := was[machine.Address]; unlisted {
			note(machine.Address, membership.Live)
		}
	}
	return changed
}
