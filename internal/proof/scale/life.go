package scale

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
)

// life is what one run of a hollow follower learned. It implements
// follower.Sink.
type life struct {
	// services begins the names of the services that a plan may have.
	services string

	mutex    sync.Mutex
	installs []install
	until    time.Time
	gaps     []gap
	// foreign counts plans with services of another region.
	foreign int
	// routers and machines are the versions of the tables. Their content is
	// not kept: the tables of thousands of followers in one process would be
	// all that its memory shows. Real routers beside the fleet show their cost.
	routers, machines uint64
	// ended is zero while the follower runs.
	ended time.Time
}

type install struct {
	revision uint64
	at       time.Time
}

// gap is a time without a lease between two leases.
type gap struct {
	end    time.Time
	length time.Duration
}

// InstallPlan implements follower.Sink. The follower itself keeps the plan.
func (l *life) InstallPlan(revision uint64, installed *plan.Plan) {
	now := time.Now()
	foreign := lo.SomeBy(installed.Services, func(service plan.Service) bool {
		return !strings.HasPrefix(service.Name, l.services)
	})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if foreign {
		l.foreign++
	}
	l.installs = append(l.installs, install{revision: revision, at: now})
}

// ExtendLease implements follower.Sink.
func (l *life) ExtendLease(_ uint64, until time.Time) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.until.IsZero() && l.until.Before(now) && until.After(now) {
		l.gaps = append(l.gaps, gap{end: now, length: now.Sub(l.until)})
	}
	l.until = until
}

// MergeRouters implements follower.Sink.
func (l *life) MergeRouters(changes membership.Changes[membership.Node]) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.routers = max(l.routers, changes.Version)
}

// MergeMachines implements follower.Sink.
func (l *life) MergeMachines(changes membership.Changes[membership.Machine]) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.machines = max(l.machines, changes.Version)
}

// Versions implements follower.Sink.
func (l *life) Versions() (routers, machines uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.routers, l.machines
}

func (l *life) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended = time.Now()
}

// lifeState is what a follower is at a moment.
type lifeState struct {
	ended    bool
	revision uint64
	holding  bool
	// lapsed says that it had a lease and lost it.
	lapsed  bool
	foreign int
}

func (l *life) state(now time.Time) lifeState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := lifeState{ended: !l.ended.IsZero(), foreign: l.foreign}
	if len(l.installs) == 0 {
		return state
	}
	state.revision = l.installs[len(l.installs)-1].revision
	state.holding = now.Before(l.until)
	state.lapsed = !l.until.IsZero() && !state.holding
	return state
}

// reached says when the follower had a revision or a higher one installed.
// Counted is false for followers that joined after the revision was accepted,
// which begin with it, and for those that ended before they had it.
func (l *life) reached(accepted Accepted) (at time.Time, counted bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.installs) == 0 || l.installs[0].at.After(accepted.At) {
		return time.Time{}, false
	}
	index := sort.Search(len(l.installs), func(index int) bool {
		return l.installs[index].revision >= accepted.Revision
	})
	if index < len(l.installs) {
		return l.installs[index].at, true
	}
	return time.Time{}, l.ended.IsZero()
}

// gapsSince returns the gaps that ended after a time.
func (l *life) gapsSince(since time.Time) []gap {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []gap
	for _, known := range l.gaps {
		if known.end.After(since) {
			found = append(found, known)
		}
	}
	return found
}
