// Package incident makes the report that the people on duty in the morning
// read. It pairs the journal's events into incidents with a beginning and an
// end, sums up which answers were affected, and says what is left to do.
//
// Several routers see the same failure, each with its own clock and its own
// word on when it was over. An incident lasts from the first witness that saw
// it begin to the last one that saw it end. Episodes that follow each other
// closely are one incident with a count.
package incident

import (
	"time"

	"github.com/martenstage/martenstage/internal/journal"
)

// Class is a type of incident.
type Class string

// Classes of incidents, in the order in which reports list them.
const (
	ShardUncovered Class = "shard without replicas"
	ShortAnswers   Class = "answers short of policy"
	LeaseLost      Class = "no lease"
	RegionLost     Class = "region unreachable"
	RelayLost      Class = "relay lost"
	UpstreamLost   Class = "upstream not answering"
	Crashed        Class = "process crashed"
	VoterLost      Class = "voter lost"
	DiskFailed     Class = "disk failed"
	DiskSlow       Class = "disk slow"
	ReplicaEjected Class = "replica ejected"
	Drain          Class = "drain"
	SurgeRefused   Class = "surge refused"
	ClaimRefused   Class = "claims refused"
	BadEcho        Class = "replies to another request"
	Restarts       Class = "requests restarted on another snapshot"
	EventsDropped  Class = "events dropped"
)

// Incident is something that lasted.
type Incident struct {
	Class Class `json:"class"`
	// Subject is the address or the name of what it is about; empty when
	// Service and Shard say all.
	Subject string `json:"subject,omitempty"`
	Service string `json:"service,omitempty"`
	Shard   string `json:"shard,omitempty"`
	// Detail is that of the first event.
	Detail string    `json:"detail,omitempty"`
	Begun  time.Time `json:"begun"`
	// Ended is zero while it goes on.
	Ended time.Time `json:"ended,omitzero"`
	// Episodes is how often it began anew.
	Episodes int `json:"episodes"`
	// Count is how many events say so.
	Count uint64 `json:"count"`
	// Witnesses are the processes that saw it, sorted.
	Witnesses []string `json:"witnesses"`
}

// Open reports whether the incident goes on.
func (i *Incident) Open() bool { return i.Ended.IsZero() }

// Lasted is how long the incident took, up to a time if it goes on.
func (i *Incident) Lasted(until time.Time) time.Duration {
	if i.Open() {
		return until.Sub(i.Begun)
	}
	return i.Ended.Sub(i.Begun)
}

// overlaps reports whether the incident touches a window.
func (i *Incident) overlaps(since, until time.Time) bool {
	return i.Begun.Before(until) && (i.Open() || !i.Ended.Before(since))
}

// Moment is something that happened at one time.
type Moment struct {
	Time     time.Time    `json:"time"`
	LastTime time.Time    `json:"last_time"`
	Kind     journal.Kind `json:"kind"`
	Source   string       `json:"source"`
	Address  string       `json:"address,omitempty"`
	Detail   string       `json:"detail,omitempty"`
	Count    uint64       `json:"count"`
}

// momentKinds are the kinds that begin and end nothing.
var momentKinds = map[journal.Kind]bool{
	journal.KindLeaderChanged:  true,
	journal.KindVoterReplaced:  true,
	journal.KindChangeAccepted: true,
	journal.KindChangeRefused:  true,
	journal.KindRestarted:      true,
}
