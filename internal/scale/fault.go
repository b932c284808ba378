package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
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
	// FaultKillLeader kills the control voter that leads.
	FaultKillLeader Fault = "kill-leader"
	// FaultCutRegion pauses all relays of a region, a ninth of the zones, so
	// that the nodes there hear nothing, and resumes them later.
	FaultCutRegion Fault = "cut-region"
)

// Faults lists all faults.
var Faults = []Fault{FaultKillRelay, FaultKillLeader, FaultCutRegion}

const (
	// calmBefore is the time from the begin of a phase to its fault, watchAfter
	// from the fault, or the end of a cut, to the end of the phase.
	calmBefore = 3 * time.Second
	watchAfter = 22 * time.Second
	cutTime    = 30 * time.Second
	regions    = 9
	// holdingPoll is the grain of the times that followers were without a lease.
	holdingPoll = 200 * time.Millisecond
)

// duration is the length of the fault's phase.
func (f Fault) duration() time.Duration {
	if f == FaultCutRegion {
		return calmBefore + cutTime + watchAfter
	}
	return calmBefore + watchAfter
}

// Recovery is what the followers went through around a fault.
type Recovery struct {
	// Struck are the processes that the fault hit.
	Struck []string `json:"struck"`
	// LowestHolding is the smallest number of followers with a valid lease.
	LowestHolding int `json:"lowest_holding"`
	// AllHolding is the time in seconds from the fault, or from the end of a
	// cut, until all running followers held a lease from then on; -1 when they
	// did not by the end of the phase.
	AllHolding float64 `json:"all_holding_s"`
}

// strike waits, causes a fault, and watches the leases until the context ends.
func (r *Run) strike(ctx context.Context, fault Fault) (Recovery, error) {
	recovery := Recovery{AllHolding: -1}
	if !wait.For(ctx, calmBefore) {
		return recovery, ctx.Err()
	}
	struck, err := r.victims(ctx, fault)
	if err != nil {
		return recovery, err
	}
	for _, process := range struck {
		recovery.Struck = append(recovery.Struck, process.Name)
	}
	r.logger.WithFields(logrus.Fields{"fault": fault, "processes": recovery.Struck}).Info("fault begins")
	since := time.Now()
	recovery.LowestHolding, _ = r.holding(ctx)
	if fault == FaultCutRegion {
		if err := signalAll(struck, syscall.SIGSTOP); err != nil {
			return recovery, errors.CombineErrors(err, signalAll(struck, syscall.SIGCONT))
		}
		cut, cancel := context.WithTimeout(ctx, cutTime)
		r.watchLeases(cut, &recovery, since)
		cancel()
		since = time.Now()
		err = signalAll(struck, syscall.SIGCONT)
	} else {
		r.markDead(struck)
		err = signalAll(struck, syscall.SIGKILL)
	}
	r.watchLeases(ctx, &recovery, since)
	return recovery, err
}

// victims picks the processes that a fault hits.
func (r *Run) victims(ctx context.Context, fault Fault) ([]Process, error) {
	switch fault {
	case FaultKillRelay:
		// The last one, so that the real routers keep theirs.
		alive := r.alive(r.withRole(RoleRelay))
		if len(alive) == 0 {
			return nil, errors.New("no relay is left to kill")
		}
		return alive[len(alive)-1:], nil
	case FaultKillLeader:
		status, err := r.client.Status(ctx)
		if err != nil {
			return nil, err
		}
		leader := fmt.Sprintf("control-%d", status.GetLeaderId())
		index := slices.IndexFunc(r.processes, func(process Process) bool { return process.Name == leader })
		if index < 0 {
			return nil, errors.Newf("the leader %s is not among the processes", leader)
		}
		return r.processes[index : index+1], nil
	case FaultCutRegion:
		cutZones := max(1, r.config.Zones/regions)
		var struck []Process
		for index, process := range r.withRole(RoleRelay) {
			if zone := index % r.config.Zones; r.config.Zones-zone <= cutZones {
				struck = append(struck, process)
			}
		}
		return r.alive(struck), nil
	default:
		return nil, errors.Newf("unknown fault %q", fault)
	}
}

// watchLeases counts the followers with a lease until the context ends.
func (r *Run) watchLeases(ctx context.Context, recovery *Recovery, since time.Time) {
	recovery.AllHolding = -1
	for wait.For(ctx, holdingPoll) {
		holding, running := r.holding(ctx)
		recovery.LowestHolding = min(recovery.LowestHolding, holding)
		switch {
		case holding < running:
			recovery.AllHolding = -1
		case recovery.AllHolding < 0:
			recovery.AllHolding = time.Since(since).Seconds()
		}
	}
}

// holding asks all fleets how many followers run and how many hold a lease.
func (r *Run) holding(ctx context.Context) (holding, running int) {
	for _, process := range r.withRole(RoleHollow) {
		var state State
		if body, err := r.sampler.get(ctx, "http://"+process.Metrics+pathState); err == nil && json.Unmarshal(body, &state) == nil {
			holding += state.Holding
			running += state.Running
		}
	}
	return holding, running
}

// alive leaves out the processes that faults have killed.
func (r *Run) alive(processes []Process) []Process {
	return lo.Reject(processes, func(process Process, _ int) bool { return r.dead[process.Name] })
}

func (r *Run) markDead(processes []Process) {
	for _, process := range processes {
		r.dead[process.Name] = true
	}
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
