package virtual

import (
	"fmt"
	"slices"

	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/records"
)

// schedule arranges a fault's beginning and end on every server it selects.
func (w *World) schedule(fault *emulator.Fault, number int) {
	if fault.ID == "" {
		fault.ID = fmt.Sprint("fault-", number)
	}
	for _, server := range w.order {
		if !w.selects(fault, server) {
			continue
		}
		server.faults = append(server.faults, fault)
		w.clock.At(fault.At, func() { server.begin(fault) })
		if fault.For > 0 {
			w.clock.At(fault.At+fault.For, func() { server.end(fault) })
		}
	}
}

func (w *World) selects(fault *emulator.Fault, server *server) bool {
	chosen := fault.Servers
	switch {
	case chosen.Service != "" && chosen.Service != server.service,
		chosen.Group != "" && chosen.Group != server.group,
		chosen.Zone != "" && chosen.Zone != server.zone,
		chosen.Address.IsValid() && chosen.Address != server.address:
		return false
	}
	return chosen.Fraction == 0 ||
		servicetime.Uniform(w.config.Model.Seed, fault.ID, server.name, 0) < chosen.Fraction
}

func (s *server) begin(fault *emulator.Fault) {
	s.active = append(s.active, fault)
	switch fault.Kind {
	case emulator.FaultDrain:
		s.depart()
	case emulator.FaultCrash:
		s.crash()
	case emulator.FaultHealthFrozen:
		frozen := s.health()
		s.frozen = &frozen
	}
}

func (s *server) end(fault *emulator.Fault) {
	s.active = slices.DeleteFunc(s.active, func(one *emulator.Fault) bool { return one == fault })
	switch fault.Kind {
	case emulator.FaultDrain:
		s.world.recorder.Departure(records.Departure{Backend: s.name, Began: virtualtime.Epoch.Add(s.departed), Returned: s.world.wall()})
		s.departed = never
		s.warmSince = s.world.clock.Now()
		s.announce(query.MachineLive)
	case emulator.FaultCrash:
		s.warmSince = s.world.clock.Now()
	case emulator.FaultHealthFrozen:
		s.frozen = nil
	}
}

// depart begins a planned leave. The platform list shows it later.
func (s *server) depart() {
	s.departed = s.world.clock.Now()
	s.world.recorder.Departure(records.Departure{Backend: s.name, Began: s.world.wall()})
	s.announce(query.MachineDraining)
}

func (s *server) announce(state query.MachineState) {
	s.world.clock.After(s.world.config.PlatformLag, func() {
		for _, router := range s.world.routers {
			router.hear(query.MachineObserved{Address: s.address, State: state})
		}
	})
}

// crash ends all work on the server; every connection breaks.
func (s *server) crash() {
	lost := slices.Concat(s.running, s.queue)
	s.running, s.queue = nil, nil
	for _, run := range lost {
		run.ended = true
		run.record.Canceled = true
		s.world.record(run)
		run.attempt.lost()
	}
	for _, router := range s.world.routers {
		router.connectionsTo(s).open = router.connectionsTo(s).busy
	}
}
