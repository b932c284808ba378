package emulator

import (
	"io"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/plan"
)

// Fleet is a set of emulated back ends.
type Fleet struct {
	config   Config
	recorder Recorder
	logger   logrus.FieldLogger
	servers  []*Server
	started  time.Time
	stop     chan struct{}
	duties   sync.WaitGroup

	mutex sync.Mutex
	// active holds the faults under way and the servers each applies to.
	active map[string]*activeFault
	nextID int
	// rolls are those of the configuration and those injected.
	rolls    []Roll
	isClosed bool
}

// New builds the back ends of the replicas in the plans. None listens before
// Start.
func New(config Config, dependencies Dependencies) (*Fleet, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	fleet := &Fleet{
		config:   config,
		recorder: dependencies.Recorder,
		logger:   dependencies.Logger,
		stop:     make(chan struct{}),
		active:   map[string]*activeFault{},
		rolls:    slices.Clone(config.Rolls),
	}
	if fleet.recorder == nil {
		fleet.recorder = discard{}
	}
	if fleet.logger == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		fleet.logger = silent
	}
	fleet.buildServers()
	for _, roll := range config.Rolls {
		if !fleet.serves(roll.Service) {
			return nil, errors.Newf("index roll: unknown service %q", roll.Service)
		}
	}
	return fleet, fleet.prepareScript()
}

// prepareScript names the faults of the script by their place, so that the
// servers they choose do not depend on faults injected meanwhile.
func (f *Fleet) prepareScript() error {
	f.config.Script = slices.Clone(f.config.Script)
	for index := range f.config.Script {
		fault := &f.config.Script[index]
		if fault.ID == "" {
			fault.ID = "script-" + strconv.Itoa(index+1)
		}
		if len(f.choose(fault)) == 0 {
			return errors.Newf("fault %d of the script: no server matches", index+1)
		}
	}
	return nil
}

// buildServers makes one server for each address of the plans.
func (f *Fleet) buildServers() {
	byAddress := map[netip.AddrPort]*Server{}
	for _, one := range f.config.Plans {
		for placement := range one.Placements() {
			server, found := byAddress[placement.Replica.Address]
			if !found {
				server = newServer(f, placement.Replica)
				byAddress[placement.Replica.Address] = server
				f.servers = append(f.servers, server)
			}
			server.hold(placement)
		}
	}
	slices.SortFunc(f.servers, func(left, right *Server) int { return left.planned.Compare(right.planned) })
}

// Start opens all listeners and begins the script. On an error nothing is left
// open.
func (f *Fleet) Start() error {
	f.started = time.Now()
	for _, server := range f.servers {
		if err := server.listen(); err != nil {
			f.Close()
			return err
		}
	}
	f.updateSchedules()
	f.duties.Add(2)
	go f.runScript()
	go f.sampleReports()
	f.logger.WithFields(logrus.Fields{"backends": len(f.servers), "seed": f.config.Model.Seed}).Info("back ends listen")
	return nil
}

// Close ends all servers, lets running queries end as cancelled and waits
// until their records are written.
func (f *Fleet) Close() {
	f.mutex.Lock()
	wasClosed := f.isClosed
	f.isClosed = true
	f.mutex.Unlock()
	if wasClosed {
		return
	}
	close(f.stop)
	f.duties.Wait()
	for _, server := range f.servers {
		server.close()
	}
}

// Servers returns the back ends in the order of their planned addresses.
func (f *Fleet) Servers() []*Server { return f.servers }

// ServerAt returns the back end that listens on an address.
func (f *Fleet) ServerAt(address netip.AddrPort) (*Server, bool) {
	return lo.Find(f.servers, func(server *Server) bool { return server.bound == address })
}

// BoundPlan returns a copy of a plan with the addresses that the back ends
// listen on in place of those with port 0.
func (f *Fleet) BoundPlan(one *plan.Plan) *plan.Plan {
	bound := *one
	bound.Services = slices.Clone(one.Services)
	for s := range bound.Services {
		service := &bound.Services[s]
		service.Generations = slices.Clone(service.Generations)
		for g := range service.Generations {
			generation := &service.Generations[g]
			generation.Shards = slices.Clone(generation.Shards)
			for h := range generation.Shards {
				generation.Shards[h].Replicas = slices.Clone(generation.Shards[h].Replicas)
			}
		}
	}
	byPlanned := lo.KeyBy(f.servers, func(server *Server) netip.AddrPort { return server.planned })
	for placement := range bound.Placements() {
		if server, found := byPlanned[placement.Replica.Address]; found {
			placement.Replica.Address = server.bound
		}
	}
	return &bound
}

func (f *Fleet) serves(service string) bool {
	return slices.ContainsFunc(f.servers, func(server *Server) bool { return server.services[service] })
}

// Roll brings the next index version of a service. Its At counts from now.
func (f *Fleet) Roll(roll Roll) error {
	if !f.serves(roll.Service) {
		return errors.Newf("unknown service %q", roll.Service)
	}
	roll.At += f.elapsed()
	f.mutex.Lock()
	f.rolls = append(f.rolls, roll)
	f.mutex.Unlock()
	f.updateSchedules()
	return nil
}

// updateSchedules gives every server the schedule of the known rolls.
func (f *Fleet) updateSchedules() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	byService := lo.GroupBy(f.rolls, func(roll Roll) string { return roll.Service })
	for _, rolls := range byService {
		slices.SortStableFunc(rolls, func(left, right Roll) int { return int(left.At - right.At) })
	}
	for _, server := range f.servers {
		schedules := map[string]*versionSchedule{}
		for service := range server.services {
			schedules[service] = newVersionSchedule(f.config.Model.Seed, server.name, f.config.FirstVersion, byService[service])
		}
		server.schedules.Store(&schedules)
	}
}

// schedule returns the index versions of a service that the server holds.
func (s *Server) schedule(service string) *versionSchedule {
	if schedules := s.schedules.Load(); schedules != nil {
		if found := (*schedules)[service]; found != nil {
			return found
		}
	}
	return &versionSchedule{}
}

func (f *Fleet) elapsed() time.Duration { return time.Since(f.started) }

func (f *Fleet) newID() string {
	f.nextID++
	return "fault-" + strconv.Itoa(f.nextID)
}

// sampleReports keeps the history that lagging reports are taken from.
func (f *Fleet) sampleReports() {
	defer f.duties.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
			for _, server := range f.servers {
				server.sampleReport()
			}
		}
	}
}
