package scale

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// observation is what a phase was in one region, or in all together.
type observation struct {
	sent submitted
	// waited holds the seconds from acceptance until control reported a
	// revision in force; unreported counts those that it never did.
	waited     []float64
	unreported int
	delays     *hdrhistogram.Histogram
	// slowest holds the seconds until the last follower had each revision.
	slowest    []float64
	behind     int
	gaps       int
	longestGap time.Duration
	churn      Churn
	state      State
	usages     usages
}

// observeReports takes over what the fleets report of the revisions sent.
func (o *observation) observeReports(reports []Report) {
	o.delays = newDelays()
	last := make([]time.Time, len(o.sent.accepted))
	for _, report := range reports {
		if report.Delays != nil {
			o.delays.Merge(hdrhistogram.Import(report.Delays))
		}
		for index, at := range report.Last {
			if at.After(last[index]) {
				last[index] = at
			}
		}
		o.behind += report.Behind
		o.gaps += report.Gaps
		o.longestGap = max(o.longestGap, report.LongestGap)
		o.churn = o.churn.plus(report.Churn)
	}
	for index, at := range last {
		if !at.IsZero() {
			o.slowest = append(o.slowest, max(0, at.Sub(o.sent.accepted[index].At).Seconds()))
		}
	}
}

// together sums up observations of several regions.
func together(all []observation) observation {
	sum := observation{delays: newDelays()}
	for _, one := range all {
		sum.sent.accepted = append(sum.sent.accepted, one.sent.accepted...)
		sum.sent.took = append(sum.sent.took, one.sent.took...)
		sum.sent.resent += one.sent.resent
		sum.waited = append(sum.waited, one.waited...)
		sum.unreported += one.unreported
		sum.delays.Merge(one.delays)
		sum.slowest = append(sum.slowest, one.slowest...)
		sum.behind += one.behind
		sum.gaps += one.gaps
		sum.longestGap = max(sum.longestGap, one.longestGap)
		sum.churn = sum.churn.plus(one.churn)
		sum.state = sum.state.plus(one.state)
		sum.usages.processes = append(sum.usages.processes, one.usages.processes...)
		sum.usages.used = append(sum.usages.used, one.usages.used...)
	}
	return sum
}

// set fills in the figures of an observation.
func (p *Phase) set(seen observation) {
	p.Accepted = len(seen.sent.accepted)
	p.AcceptedPerSecond = float64(p.Accepted) / p.Seconds
	p.ApplyP50, p.ApplyMax = middleAndMax(seen.sent.took)
	p.Resent = seen.sent.resent
	p.ReportedP50, p.ReportedMax = middleAndMax(seen.waited)
	p.Unreported = seen.unreported
	const p50, p99 = 50, 99
	p.InForceP50 = seconds(seen.delays.ValueAtPercentile(p50))
	p.InForceP99 = seconds(seen.delays.ValueAtPercentile(p99))
	p.InForceMax = seconds(seen.delays.Max())
	p.LastP50, _ = middleAndMax(seen.slowest)
	p.Behind, p.Gaps, p.LongestGap = seen.behind, seen.gaps, seen.longestGap.Seconds()
	p.Churn = seen.churn
	p.ForeignPlans = seen.state.Foreign
	p.setUsages(seen.usages)
}

// measured is what a phase left behind.
type measured struct {
	before, after []sample
	begin         time.Time
	struck        int
}

// conclude fills in the figures of a phase, of each region and of all.
func (r *Run) conclude(ctx context.Context, phase *Phase, taken measured) error {
	all := make([]observation, len(r.groups))
	for index, group := range r.groups {
		seen := &all[index]
		seen.sent, seen.state = group.sent, group.state(ctx)
		seen.waited, seen.unreported = group.watcher.delays(group.sent.accepted)
		reports, err := group.reports(ctx, taken.begin)
		if err != nil {
			return err
		}
		seen.observeReports(reports)
		seen.churn.Servers = group.servers
		seen.usages = r.usagesOf(group.region, phase.Seconds, taken)
		if len(r.groups) > 1 {
			part := Phase{
				Speed: phase.Speed, Seconds: phase.Seconds, Fault: phase.Fault,
				OfferedPerSecond: phase.OfferedPerSecond / float64(len(r.groups)),
			}
			part.set(*seen)
			phase.ByRegion = append(phase.ByRegion, part)
		}
	}
	phase.set(together(all))
	if phase.Recovery != nil {
		phase.Recovery.LostHere, phase.Recovery.LostElsewhere = lostLeases(phase.Fault, taken.struck, all)
	}
	return nil
}

// lostLeases counts the leases that lapsed, whether renewed later or not, in
// the regions that a fault struck and in all others.
func lostLeases(fault Fault, region int, all []observation) (here, elsewhere int) {
	for index, seen := range all {
		lost := seen.gaps + seen.state.Lapsed
		if fault.strikes(region, index) {
			here += lost
		} else {
			elsewhere += lost
		}
	}
	return here, elsewhere
}

// usagesOf is what the living processes of a region used.
func (r *Run) usagesOf(region int, seconds float64, taken measured) usages {
	var own usages
	for index, process := range r.processes {
		if process.Region != region || r.dead.has(process) {
			continue
		}
		own.processes = append(own.processes, process)
		own.used = append(own.used, usage(process, taken.before[index], taken.after[index], seconds))
	}
	return own
}

// plus adds two counts up.
func (c Churn) plus(other Churn) Churn {
	return Churn{
		Restarts: c.Restarts + other.Restarts, Replacements: c.Replacements + other.Replacements,
		Failures: c.Failures + other.Failures, Servers: c.Servers + other.Servers,
	}
}
