package scale

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// victims is what a fault hits.
type victims struct {
	processes []Process
	// followers is the most followers of the zone that vanish.
	followers int
	zone      string
}

// victims picks what a fault hits in a region.
func (r *Run) victims(ctx context.Context, fault Fault, region int) (victims, error) {
	own := r.groups[region]
	switch fault {
	case FaultKillRelay:
		// The last one, so that the real routers keep theirs.
		alive := r.dead.without(withRole(own.processes, RoleRelay))
		if len(alive) == 0 {
			return victims{}, errors.New("no relay is left to kill")
		}
		return victims{processes: alive[len(alive)-1:]}, nil
	case FaultKillLeader:
		leader, err := own.leader(ctx)
		return victims{processes: []Process{leader}}, err
	case FaultLoseRack:
		return victims{zone: own.lastZone(), followers: rackNodes}, nil
	case FaultLoseZone:
		zone := own.lastZone()
		struck := lo.Filter(own.processes, func(process Process, _ int) bool {
			return process.Zone == zone && (process.Role == RoleControl || process.Role == RoleRelay)
		})
		return victims{processes: r.dead.without(struck), zone: zone, followers: math.MaxInt}, nil
	default:
		return victims{processes: r.dead.without(r.paused(fault, region))}, nil
	}
}

// paused lists the processes that a fault stops for a while.
func (r *Run) paused(fault Fault, region int) []Process {
	if fault == FaultCutRegion {
		if len(r.groups) > 1 {
			return nil
		}
		cutZones := max(1, r.config.Zones/targetRegions)
		return lo.Filter(withRole(r.processes, RoleRelay), func(_ Process, index int) bool {
			return r.config.Zones-index%r.config.Zones <= cutZones
		})
	}
	return lo.Filter(r.processes, func(process Process, _ int) bool {
		paused := process.Role == RoleControl || process.Role == RoleRelay && fault == FaultLoseOthers
		return paused && fault.strikes(region, process.Region)
	})
}

// leader returns the process of the voter that leads.
func (g *group) leader(ctx context.Context) (Process, error) {
	status, err := g.observer.Status(ctx)
	if err != nil {
		return Process{}, err
	}
	suffix := fmt.Sprintf("-%d", status.GetLeaderId())
	leader, found := lo.Find(withRole(g.processes, RoleControl), func(process Process) bool {
		return strings.HasSuffix(process.Name, suffix)
	})
	if !found {
		return leader, errors.Newf("the leader %d is not among the processes", status.GetLeaderId())
	}
	return leader, nil
}

// lastZone is the zone of the last relay.
func (g *group) lastZone() string {
	last, _ := lo.Last(withRole(g.processes, RoleRelay))
	return last.Zone
}

// fail lets followers of a zone vanish, and returns how many.
func (g *group) fail(ctx context.Context, zone string, most int) int {
	failed := 0
	for _, process := range withRole(g.processes, RoleHollow) {
		request := failRequest{Zone: zone, Count: most - failed, Absence: lostTime}
		var response failResponse
		if err := g.run.sampler.post(ctx, "http://"+process.Metrics+pathFail, request, &response); err == nil {
			failed += response.Failed
		}
	}
	return failed
}

// deaths holds the processes that faults have killed.
type deaths struct {
	mutex sync.Mutex
	names map[string]bool
}

func newDeaths() *deaths { return &deaths{names: make(map[string]bool)} }

func (d *deaths) add(processes []Process) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, process := range processes {
		d.names[process.Name] = true
	}
}

func (d *deaths) has(process Process) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.names[process.Name]
}

// without leaves out the dead ones of some processes.
func (d *deaths) without(processes []Process) []Process {
	return lo.Reject(processes, func(process Process, _ int) bool { return d.has(process) })
}
