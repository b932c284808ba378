package emulator

import (
	"time"

	"github.com/martenstage/martenstage/internal/proof/servicetime"
)

// Outlook is what will become of a query on a server, for experiments that
// compare a decision with the best one.
type Outlook struct {
	// ServiceTime is how long the server would work on the query from now on.
	ServiceTime time.Duration
	// Slots and Queue bound the queries that run and wait.
	Slots, Queue int
	Zone         string
}

// Foresee returns the outlook of a query, or false if the server would refuse
// it now.
func (s *Server) Foresee(query servicetime.Query, generation uint32, version uint64) (Outlook, bool) {
	elapsed := s.fleet.elapsed()
	active := s.conditions.Load()
	_, held := s.holdings[holding{service: query.Service, generation: generation, shard: query.Shard}]
	if !held || s.isDraining() || s.isLoading() || active.has(FaultCrash) ||
		!s.schedule(query.Service).holds(version, elapsed) {
		return Outlook{}, false
	}
	query.Server = s.name
	base := s.fleet.config.Model.ServiceTime(query, elapsed)
	slots := cap(s.slots.free)
	return Outlook{
		ServiceTime: time.Duration(float64(base) * active.slowFactor() * s.coldFactor(elapsed)),
		Slots:       slots, Queue: int(s.slots.maximum), Zone: s.zone,
	}, true
}
