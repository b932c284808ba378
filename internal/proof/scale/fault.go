package scale

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/wait"
)

// Fault is what a run does to the measured processes in a phase of its own.
type Fault string

// Faults.
const (
	// FaultKillRelay kills one relay for good.
	FaultKillRelay Fault = "kill-relay"
	// FaultKillLeader kills the control voter that leads a region.
	FaultKillLeader Fault = "kill-leader"
	// FaultCutRegion cuts a region off for a while. With one control group all
	// relays of a ninth of the zones are paused, so that the nodes there hear
	// nothing. With a group for each region nothing is there to be cut: the
	// connections between the processes of two regions are counted, of which
	// there must be none, and the region's own operator goes on.
	FaultCutRegion Fault = "cut-region"
	// FaultLoseRack lets 40 followers of one zone vanish at once, and come back
	// later.
	FaultLoseRack Fault = "lose-rack"
	// FaultLoseZone lets all followers of one zone of a region vanish, and come
	// back later, and kills the zone's relays and voters for good.
	FaultLoseZone Fault = "lose-zone"
	// FaultLoseControl pauses all voters of a region for a while.
	FaultLoseControl Fault = "lose-control"
	// FaultLoseOthers pauses all voters and relays of all regions but one for a
	// while: to that one, all others are gone.
	FaultLoseOthers Fault = "lose-others"
)

// Faults lists all faults.
var Faults = []Fault{
	FaultKillRelay, FaultKillLeader, FaultCutRegion, FaultLoseRack, FaultLoseZone, FaultLoseControl, FaultLoseOthers,
}

const (
	// calmBefore is the time from the begin of a phase to its fault, watchAfter
	// from the fault, or the end of a cut, to the end of the phase.
	calmBefore = 3 * time.Second
	watchAfter = 22 * time.Second
	cutTime    = 30 * time.Second
	// lostTime is how long the followers of a rack or zone stay away, longer
	// than their leases.
	lostTime = 12 * time.Second
	// targetRegions is the number of regions of the target.
	targetRegions = 9
	// rackNodes is how many nodes a rack has.
	rackNodes = 40
	// holdingPoll is the grain of the times that followers were without a lease.
	holdingPoll = 200 * time.Millisecond
)

// lasts reports whether the fault ends after cutTime.
func (f Fault) lasts() bool {
	return f == FaultCutRegion || f == FaultLoseControl || f == FaultLoseOthers
}

// duration is the length of the fault's phase.
func (f Fault) duration() time.Duration {
	if f.lasts() {
		return calmBefore + cutTime + watchAfter
	}
	return calmBefore + watchAfter
}

// Recovery is what the followers went through around a fault.
type Recovery struct {
	// Region that the fault struck, or that it left alone if it struck all others.
	Region int `json:"region"`
	// Struck are the processes that the fault hit, and StruckFollowers counts
	// the followers that vanished.
	Struck          []string `json:"struck"`
	StruckFollowers int      `json:"struck_followers"`
	// LowestHolding is the smallest number of followers with a valid lease.
	LowestHolding int `json:"lowest_holding"`
	// AllHolding is the time in seconds from the fault, or from the end of a
	// cut, until all running followers held a lease from then on; -1 when they
	// did not by the end of the phase.
	AllHolding float64 `json:"all_holding_s"`
	// LostHere and LostElsewhere count leases that lapsed in regions that the
	// fault struck, and in all others.
	LostHere      int `json:"leases_lost_here"`
	LostElsewhere int `json:"leases_lost_elsewhere"`
	// Crossings counts open connections between processes of two regions.
	Crossings int `json:"connections_across_regions"`
}

// strikes reports whether a fault of a region strikes another one.
func (f Fault) strikes(region, other int) bool {
	return (region == other) != (f == FaultLoseOthers)
}

// strike waits, causes a fault, and watches the leases until the context ends.
func (r *Run) strike(ctx context.Context, fault Fault, region int) (Recovery, error) {
	recovery := Recovery{AllHolding: -1, Region: region}
	if !wait.For(ctx, calmBefore) {
		return recovery, ctx.Err()
	}
	struck, err := r.victims(ctx, fault, region)
	if err != nil {
		return recovery, err
	}
	if recovery.Crossings, err = crossings(r.processes); err != nil {
		return recovery, err
	}
	recovery.Struck = lo.Map(struck.processes, func(process Process, _ int) string { return process.Name })
	r.logger.WithFields(logrus.Fields{"fault": fault, "region": region, "processes": recovery.Struck}).Info("fault begins")
	since := time.Now()
	recovery.LowestHolding = r.state(ctx).Holding
	if fault.lasts() {
		if err := signalAll(struck.processes, syscall.SIGSTOP); err != nil {
			return recovery, errors.CombineErrors(err, signalAll(struck.processes, syscall.SIGCONT))
		}
		cut, cancel := context.WithTimeout(ctx, cutTime)
		r.watchLeases(cut, &recovery, since)
		cancel()
		since = time.Now()
		err = signalAll(struck.processes, syscall.SIGCONT)
	} else {
		r.dead.add(struck.processes)
		err = signalAll(struck.processes, syscall.SIGKILL)
		recovery.StruckFollowers = r.groups[region].fail(ctx, struck.zone, struck.followers)
	}
	r.watchLeases(ctx, &recovery, since)
	return recovery, err
}

// watchLeases counts the followers with a lease until the context ends.
func (r *Run) watchLeases(ctx context.Context, recovery *Recovery, since time.Time) {
	recovery.AllHolding = -1
	for wait.For(ctx, holdingPoll) {
		state := r.state(ctx)
		if ctx.Err() != nil {
			return // some fleets may not have answered any more
		}
		recovery.LowestHolding = min(recovery.LowestHolding, state.Holding)
		switch {
		case state.Holding < state.Running:
			recovery.AllHolding = -1
		case recovery.AllHolding < 0:
			recovery.AllHolding = time.Since(since).Seconds()
		}
	}
}

// state sums up what the fleets of all regions answer.
func (r *Run) state(ctx context.Context) State {
	return lo.Reduce(r.groups, func(sum State, group *group, _ int) State { return sum.plus(group.state(ctx)) }, State{})
}

// signalAll sends a signal to processes that the caller of the run started.
func signalAll(processes []Process, number syscall.Signal) error {
	var failed error
	for _, process := range processes {
		running, err := os.FindProcess(process.PID)
		if err == nil {
			err = running.Signal(number)
		}
		failed = errors.CombineErrors(failed, errors.Wrapf(err, "signal to %s", process.Name))
	}
	return failed
}
