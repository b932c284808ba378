package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/proof/servicetime"
)

// ErrUnknownFault is returned for a fault id that is not active.
var ErrUnknownFault = errors.New("no such fault is active")

// activeFault is a fault under way.
type activeFault struct {
	fault   *Fault
	servers []*Server
	// end fires when the fault's time is over; nil when it has none.
	end *time.Timer
}

// Inject begins a fault now and returns its id. A fault with a duration ends
// by itself.
func (f *Fleet) Inject(fault Fault) (string, error) {
	if err := fault.validate(); err != nil {
		return "", err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isClosed {
		return "", errors.New("the fleet is closed")
	}
	if fault.ID == "" {
		fault.ID = f.newID()
	}
	if _, taken := f.active[fault.ID]; taken {
		return "", errors.Newf("a fault %q is already active", fault.ID)
	}
	servers := f.choose(&fault)
	if len(servers) == 0 {
		return "", errors.New("no server matches")
	}
	begun := &activeFault{fault: &fault, servers: servers}
	f.active[fault.ID] = begun
	for _, server := range servers {
		server.beginFault(&fault)
	}
	if fault.For > 0 {
		begun.end = time.AfterFunc(fault.For, func() { _ = f.Clear(fault.ID) })
	}
	f.log(&fault, len(servers)).Info("fault begins")
	return fault.ID, nil
}

// Clear ends a fault.
func (f *Fleet) Clear(id string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ended, found := f.active[id]
	if !found || f.isClosed {
		return errors.Wrapf(ErrUnknownFault, "fault %q", id)
	}
	delete(f.active, id)
	if ended.end != nil {
		ended.end.Stop()
	}
	var failure error
	for _, server := range ended.servers {
		failure = errors.CombineErrors(failure, server.endFault(ended.fault))
	}
	f.log(ended.fault, len(ended.servers)).Info("fault ends")
	return failure
}

// ClearAll ends every fault.
func (f *Fleet) ClearAll() error {
	var failure error
	for _, document := range f.faultDocuments() {
		if err := f.Clear(document.ID); !errors.Is(err, ErrUnknownFault) {
			failure = errors.CombineErrors(failure, err)
		}
	}
	return failure
}

func (f *Fleet) log(fault *Fault, servers int) *logrus.Entry {
	return f.logger.WithFields(logrus.Fields{"fault": fault.ID, "kind": fault.Kind, "backends": servers})
}

// choose returns the servers that a fault applies to.
func (f *Fleet) choose(fault *Fault) []*Server {
	wanted := fault.Servers
	chosen := lo.Filter(f.servers, func(server *Server, _ int) bool {
		return (wanted.Service == "" || server.services[wanted.Service]) &&
			(wanted.Group == "" || server.groups[wanted.Group]) &&
			(wanted.Zone == "" || server.zone == wanted.Zone) &&
			(!wanted.Address.IsValid() || server.bound == wanted.Address || server.planned == wanted.Address)
	})
	if wanted.Fraction <= 0 || wanted.Fraction >= 1 || len(chosen) == 0 {
		return chosen
	}
	// The first of a shuffled list, so that the count is exact and at least 1.
	order := func(server *Server) float64 {
		return servicetime.Uniform(f.config.Model.Seed, fault.ID, server.planned.String(), 0)
	}
	slices.SortFunc(chosen, func(left, right *Server) int { return cmp.Compare(order(left), order(right)) })
	count := max(1, int(wanted.Fraction*float64(len(chosen))+0.5))
	return chosen[:count]
}

// beginFault makes a fault take effect on the server.
func (s *Server) beginFault(fault *Fault) {
	before := s.conditions.Load()
	// Reports are kept before replies can ask for old ones.
	switch fault.Kind {
	case FaultHealthFrozen:
		s.reports.freeze(s.trueHealth(true))
	case FaultHealthLag:
		s.startLag(fault)
	}
	s.conditions.Store(before.with(fault))
	switch fault.Kind {
	case FaultPause:
		if !before.has(FaultPause) {
			gate := make(chan struct{})
			s.pause.Store(&gate)
		}
	case FaultCrash:
		s.stopListening(true)
	case FaultDrain:
		s.noteDeparture()
	case FaultCold:
		s.warmUp()
	}
}

// endFault takes a fault's effect back.
func (s *Server) endFault(fault *Fault) error {
	after := s.conditions.Load().without(fault)
	s.conditions.Store(after)
	switch fault.Kind {
	case FaultPause:
		if !after.has(FaultPause) {
			close(*s.pause.Swap(nil))
		}
	case FaultCrash:
		if after.has(FaultCrash) {
			return nil
		}
		s.drainCalled.Store(false)
		s.noteDeparture()
		s.warmUp()
		return s.listen()
	case FaultDrain:
		s.noteDeparture()
	case FaultCold:
		s.coldSince.Store(0)
	}
	return nil
}

// runScript begins each fault of the script at its time.
func (f *Fleet) runScript() {
	defer f.duties.Done()
	script := slices.Clone(f.config.Script)
	slices.SortStableFunc(script, func(left, right Fault) int { return cmp.Compare(left.At, right.At) })
	for _, fault := range script {
		timer := time.NewTimer(fault.At - f.elapsed())
		select {
		case <-f.stop:
			timer.Stop()
			return
		case <-timer.C:
		}
		if _, err := f.Inject(fault); err != nil {
			f.logger.WithError(err).Error("fault of the script failed")
		}
	}
}
