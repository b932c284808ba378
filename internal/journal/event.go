// Package journal defines the events that operators read after a failure:
// what failed, when, for how long, and what was affected.
package journal

import "time"

// Kind names a type of event. Kinds are part of the operators' interface.
type Kind string

// Event kinds.
const (
	KindReplicaEjected      Kind = "replica_ejected"
	KindReplicaReturned     Kind = "replica_returned"
	KindShardUncovered      Kind = "shard_uncovered"
	KindShardCovered        Kind = "shard_covered"
	KindCoverageBelowPolicy Kind = "coverage_below_policy"
	KindLeaseLost           Kind = "lease_lost"
	KindLeaseGained         Kind = "lease_gained"
	KindLeaderChanged       Kind = "leader_changed"
	KindVoterLost           Kind = "voter_lost"
	KindVoterReturned       Kind = "voter_returned"
	KindVoterReplaced       Kind = "voter_replaced"
	KindDiskSlow            Kind = "disk_slow"
	KindDiskFailed          Kind = "disk_failed"
	KindChangeAccepted      Kind = "change_accepted"
	KindChangeRefused       Kind = "change_refused"
	KindDrainBegun          Kind = "drain_begun"
	KindDrainDone           Kind = "drain_done"
	KindSurgeRefused        Kind = "surge_refused"
	KindClaimRefused        Kind = "claim_refused"
	KindRestarted           Kind = "restarted"
	KindCrashed             Kind = "crashed"
	KindRelayLost           Kind = "relay_lost"
	KindUpstreamLost        Kind = "upstream_lost"
	KindSnapshotRestarted   Kind = "snapshot_restarted"
	KindBadEcho             Kind = "bad_echo"
	KindEventsDropped       Kind = "events_dropped"
	// A router can't reach any entry router of another region, whose name is in
	// the detail, or can reach one again.
	KindRegionUnreachable Kind = "region_unreachable"
	KindRegionReachable   Kind = "region_reachable"
)

// Routine reports whether events of the kind result from planned work. They are
// numerous and stored separately from failures.
func (k Kind) Routine() bool {
	switch k {
	case KindChangeAccepted, KindRestarted, KindDrainBegun, KindDrainDone:
		return true
	default:
		return false
	}
}

// Event is one entry of the journal. Equal events close in time are merged into
// one with a count and a time span.
type Event struct {
	// ID is unique per source: source, boot number and sequence.
	ID     string
	Time   time.Time
	Kind   Kind
	Source string
	// Service, Shard and Address identify the subject of the event; empty if the
	// kind has none.
	Service string
	Shard   string
	Address string
	Detail  string
	// Count is the number of equal events merged into this one, LastTime the
	// time of the last one.
	Count    uint64
	LastTime time.Time
}
