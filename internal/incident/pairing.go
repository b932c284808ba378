package incident

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/martenstage/martenstage/internal/journal"
)

const (
	// joinGap is the longest quiet time between episodes of one incident.
	joinGap = 5 * time.Minute
	// confirmTime is how long a new leader may take to see a voter lost. One
	// that it doesn't see lost then has returned.
	confirmTime = 30 * time.Second
)

// classesOfSpans are the kinds of events that say how long something went on by
// their own time span.
var classesOfSpans = map[journal.Kind]Class{
	journal.KindCoverageBelowPolicy: ShortAnswers,
	journal.KindSurgeRefused:        SurgeRefused,
	journal.KindClaimRefused:        ClaimRefused,
	journal.KindBadEcho:             BadEcho,
	journal.KindSnapshotRestarted:   Restarts,
	journal.KindDiskSlow:            DiskSlow,
	journal.KindEventsDropped:       EventsDropped,
	journal.KindUpstreamLost:        UpstreamLost,
	journal.KindCrashed:             Crashed,
}

// key is what tells incidents apart.
type key struct {
	class                   Class
	subject, service, shard string
	// detail tells answers of different routes apart.
	detail string
}

// ongoing is the latest incident of a key.
type ongoing struct {
	*Incident
	witnesses map[string]bool
	// holding are the witnesses that saw it begin and not end.
	holding map[string]bool
	// lastEnd is when a witness last saw it end; Ended while nobody holds it.
	lastEnd time.Time
	// doubted is when a new leader took over that has yet to confirm it.
	doubted time.Time
}

// pairing turns events into incidents and moments.
type pairing struct {
	until     time.Time
	latest    map[key]*ongoing
	incidents []*ongoing
	moments   []Moment
}

// observation is an event at one moment.
type observation struct {
	journal.Event
	// again is set for the last time of an event that happened several times.
	again bool
}

// pair goes through events in the order of their times. Until is when the
// journal was read.
func pair(events []journal.Event, until time.Time) *pairing {
	ordered := observationsOf(events)
	slices.SortStableFunc(ordered, func(left, right observation) int { return left.Time.Compare(right.Time) })
	found := &pairing{until: until, latest: map[key]*ongoing{}}
	for _, seen := range ordered {
		found.take(seen)
	}
	found.finish()
	return found
}

// observationsOf takes an event that stands for several as its first and its
// last time, since others may have come between: a lease is gained, lost, and
// gained again.
func observationsOf(events []journal.Event) []observation {
	all := make([]observation, 0, len(events))
	for _, event := range events {
		all = append(all, observation{Event: event})
		_, isSpan := classesOfSpans[event.Kind]
		if isSpan || !event.LastTime.After(event.Time) {
			continue
		}
		last := event
		last.Time = event.LastTime
		all = append(all, observation{Event: last, again: true})
	}
	return all
}

func (p *pairing) take(event observation) {
	if class, isSpan := classesOfSpans[event.Kind]; isSpan {
		p.span(class, event)
		return
	}
	if momentKinds[event.Kind] && !event.again {
		p.moments = append(p.moments, Moment{
			Time: event.Time, LastTime: lastOf(event.Event), Kind: event.Kind, Source: event.Source,
			Address: event.Address, Detail: event.Detail, Count: max(event.Count, 1),
		})
	}
	replica := key{class: ReplicaEjected, subject: event.Address}
	shard := key{class: ShardUncovered, service: event.Service, shard: event.Shard}
	drain := key{class: Drain, subject: event.Address}
	switch event.Kind {
	case journal.KindReplicaEjected:
		p.begin(replica, event)
	case journal.KindReplicaReturned:
		p.end(replica, event)
	case journal.KindShardUncovered:
		p.begin(shard, event)
	case journal.KindShardCovered:
		p.end(shard, event)
	case journal.KindDrainBegun:
		p.begin(drain, event)
	case journal.KindDrainDone:
		p.end(drain, event)
	case journal.KindRegionUnreachable:
		p.begin(key{class: RegionLost, subject: event.Detail}, event)
	case journal.KindRegionReachable:
		p.end(key{class: RegionLost, subject: event.Detail}, event)
	case journal.KindDiskFailed:
		p.begin(key{class: DiskFailed, subject: event.Source}, event)
	default:
		p.takeNode(event)
	}
}

// takeNode takes what is about a process of the system itself.
func (p *pairing) takeNode(event observation) {
	voter := key{class: VoterLost, subject: event.Address}
	switch event.Kind {
	case journal.KindLeaseLost:
		for _, node := range nodesOf(event.Event) {
			p.begin(key{class: LeaseLost, subject: node}, event)
		}
	case journal.KindRelayLost:
		for _, node := range nodesOf(event.Event) {
			p.begin(key{class: RelayLost, subject: node}, event)
		}
	case journal.KindLeaseGained:
		p.endForAll(key{class: LeaseLost, subject: event.Source}, event.Time)
		p.endForAll(key{class: RelayLost, subject: event.Source}, event.Time)
	case journal.KindVoterLost:
		p.begin(voter, event)
	case journal.KindVoterReturned:
		p.endForAll(voter, event.Time)
	case journal.KindLeaderChanged:
		p.doubtVoters(event.Time)
	case journal.KindRestarted:
		p.restarted(event)
	}
}

// nodesOf lists the nodes whose lease is lost: the source itself, or those that
// the server of their leases names.
func nodesOf(event journal.Event) []string {
	if event.Detail == "" {
		return []string{event.Source}
	}
	return strings.Fields(event.Detail)
}

// restarted ends what a process that starts anew knows nothing of: what it had
// seen of back ends, and a disk that failed.
func (p *pairing) restarted(event observation) {
	p.endForAll(key{class: DiskFailed, subject: event.Source}, event.Time)
	p.endForAll(key{class: RelayLost, subject: event.Source}, event.Time)
	for found, open := range p.latest {
		switch found.class {
		case ReplicaEjected, ShardUncovered, Drain, RegionLost:
			p.release(open, event.Source, event.Time)
		}
	}
}

func (p *pairing) doubtVoters(now time.Time) {
	for found, open := range p.latest {
		if found.class == VoterLost && open.Open() && open.doubted.IsZero() {
			open.doubted = now
		}
	}
}

func (p *pairing) begin(about key, event observation) {
	open := p.at(about, event)
	if len(open.holding) == 0 {
		open.Episodes++
	}
	open.Ended = time.Time{}
	open.doubted = time.Time{}
	open.holding[event.Source] = true
	open.see(event)
}

func (p *pairing) end(about key, event observation) {
	if open, known := p.latest[about]; known {
		p.release(open, event.Source, event.Time)
	}
}

// endForAll ends an incident by a word that settles it whoever saw it begin.
func (p *pairing) endForAll(about key, now time.Time) {
	open, known := p.latest[about]
	if !known || !open.Open() {
		return
	}
	clear(open.holding)
	open.Ended, open.lastEnd = now, now
}

func (p *pairing) release(open *ongoing, witness string, now time.Time) {
	if !open.holding[witness] {
		return
	}
	delete(open.holding, witness)
	if now.After(open.lastEnd) {
		open.lastEnd = now
	}
	if len(open.holding) == 0 {
		open.Ended = open.lastEnd
	}
}

func (p *pairing) span(class Class, event observation) {
	about := key{class: class, service: event.Service, shard: event.Shard, subject: event.Address, detail: event.Detail}
	switch class {
	case DiskSlow, EventsDropped, Crashed:
		about.subject, about.detail = event.Source, ""
	case UpstreamLost:
		about.detail = "" // each follower has a reason of its own
	}
	open := p.at(about, event)
	if len(open.witnesses) == 0 {
		open.Episodes = 1
	}
	if last := lastOf(event.Event); last.After(open.Ended) {
		open.Ended = last
	}
	open.see(event)
}

// at returns the incident that an event belongs to, a new one if the latest was
// over for a while and the event is not of it.
func (p *pairing) at(about key, event observation) *ongoing {
	open, known := p.latest[about]
	if known && (event.again || open.Open() || event.Time.Sub(open.Ended) < joinGap) {
		return open
	}
	open = &ongoing{
		Incident: &Incident{
			Class: about.class, Subject: about.subject, Service: event.Service, Shard: event.Shard,
			Detail: event.Detail, Begun: event.Time,
		},
		witnesses: map[string]bool{}, holding: map[string]bool{},
	}
	p.latest[about] = open
	p.incidents = append(p.incidents, open)
	return open
}

func (o *ongoing) see(event observation) {
	if !event.again {
		o.Count += max(event.Count, 1)
	}
	o.witnesses[event.Source] = true
}

func (p *pairing) finish() {
	for _, open := range p.incidents {
		open.Witnesses = slices.Sorted(maps.Keys(open.witnesses))
		if open.Open() && !open.doubted.IsZero() && p.until.Sub(open.doubted) > confirmTime {
			open.Ended = open.doubted
		}
	}
	slices.SortStableFunc(p.incidents, func(left, right *ongoing) int {
		return cmp.Or(left.Begun.Compare(right.Begun), cmp.Compare(left.Class, right.Class),
			cmp.Compare(left.Subject, right.Subject), cmp.Compare(left.Service, right.Service),
			cmp.Compare(left.Shard, right.Shard))
	})
}

func lastOf(event journal.Event) time.Time {
	if event.LastTime.After(event.Time) {
		return event.LastTime
	}
	return event.Time
}
