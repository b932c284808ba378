// Package isolation decides whether a router is partitioned from the routers of all other
// zones, so that no clients should be sent to it. It does no I/O and reads no clock.
//
// Missing messages alone prove little: a router that gets no processor time sees no messages
// from any other. A suspicion, which costs nothing while all is well, therefore only starts
// rounds of probes, and a round counts only if routers of the same zone answered, which
// shows that the router itself is able to receive.
package isolation

import "time"

// Thresholds for suspicions and rounds.
const (
	// QuietTime is the time without a message from other zones after which a failure there
	// starts probes. Routers exchange slices several times a second.
	QuietTime = 150 * time.Millisecond
	// RoundsToIsolate is the number of rounds without an answer from other zones after which
	// a router is isolated. It is two because one lost packet, which is retransmitted only
	// after a second, must not isolate a router.
	RoundsToIsolate = 2
	// MaxInconclusiveRounds is the number of rounds without any answer that end a suspicion.
	MaxInconclusiveRounds = 3
)

// Round is the result of probes sent at about the same time.
type Round struct {
	// OwnZone counts the routers of the same zone that answered, OtherZones those of other zones.
	OwnZone    int
	OtherZones int
}

// Finding is the conclusion after a round.
type Finding uint8

// Findings.
const (
	// Connected: another zone was reached, or the rounds were inconclusive.
	Connected Finding = iota
	// Uncertain: another round is needed.
	Uncertain
	// Isolated: only routers of the same zone were reached.
	Isolated
)

// Detector detects whether one router is isolated. The zero value has no suspicion. It is
// not safe for concurrent use.
type Detector struct {
	lastContact        time.Time
	isolatedRounds     int
	inconclusiveRounds int
	finding            Finding
}

// ObserveContact records a message from another zone.
func (d *Detector) ObserveContact(now time.Time) {
	if now.After(d.lastContact) {
		d.lastContact = now
	}
}

// ShouldProbe reports whether a failure of a router of another zone should start probes.
func (d *Detector) ShouldProbe(now time.Time) bool {
	return d.finding == Connected && now.Sub(d.lastContact) > QuietTime
}

// ObserveRound records a round and returns the resulting finding.
func (d *Detector) ObserveRound(round Round) Finding {
	switch {
	case round.OtherZones > 0:
		d.isolatedRounds, d.inconclusiveRounds, d.finding = 0, 0, Connected
	case d.finding == Isolated:
	case round.OwnZone > 0:
		d.isolatedRounds++
		d.finding = Uncertain
		if d.isolatedRounds >= RoundsToIsolate {
			d.finding = Isolated
		}
	default:
		d.inconclusiveRounds++
		d.finding = Uncertain
		if d.inconclusiveRounds >= MaxInconclusiveRounds {
			d.isolatedRounds, d.inconclusiveRounds, d.finding = 0, 0, Connected
		}
	}
	return d.finding
}
