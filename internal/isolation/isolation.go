// Package isolation decides whether a router is cut off from the routers of all other
// zones, so that it is better left out by whoever sends clients to it. It has no I/O and
// reads no clock.
//
// Silence alone proves little: a router that has no processor time takes all others for
// silent. So a suspicion, which costs nothing in calm, only begins rounds of probes, and a
// round counts only if routers of the own zone answered in it, which show that the router
// itself is able to hear.
package isolation

import "time"

// Bounds of suspicions and rounds.
const (
	// Quiet is how long nothing may have come from other zones for a failure there to
	// begin probes. Routers exchange slices several times a second.
	Quiet = 150 * time.Millisecond
	// RoundsInVain in a row make a router isolated: two, so that one lost packet, which is
	// sent again only after a second, isolates nobody.
	RoundsInVain = 2
	// RoundsInDoubt are how many rounds without an answer from the own zone end a
	// suspicion.
	RoundsInDoubt = 3
)

// Round is what came of probes sent at about the same time.
type Round struct {
	// Own counts the routers of the own zone that answered, Others those of other zones.
	Own    int
	Others int
}

// Finding is what is known after a round.
type Finding uint8

// Findings.
const (
	// Connected: some other zone is reached, or nothing can be found out.
	Connected Finding = iota
	// Uncertain: another round is needed.
	Uncertain
	// Isolated: the own zone is reached and no other.
	Isolated
)

// Detector keeps what is known of one router. The zero value has no suspicion. It belongs
// to one goroutine.
type Detector struct {
	heard   time.Time
	vain    int
	doubt   int
	finding Finding
}

// Heard takes in that something came from another zone.
func (d *Detector) Heard(now time.Time) {
	if now.After(d.heard) {
		d.heard = now
	}
}

// Suspects reports whether a failure of a router of another zone is to begin probes.
func (d *Detector) Suspects(now time.Time) bool {
	return d.finding == Connected && now.Sub(d.heard) > Quiet
}

// Take takes in a round and returns the finding after it.
func (d *Detector) Take(round Round) Finding {
	switch {
	case round.Others > 0:
		d.vain, d.doubt, d.finding = 0, 0, Connected
	case d.finding == Isolated:
	case round.Own > 0:
		d.vain++
		d.finding = Uncertain
		if d.vain >= RoundsInVain {
			d.finding = Isolated
		}
	default:
		d.doubt++
		d.finding = Uncertain
		if d.doubt >= RoundsInDoubt {
			d.vain, d.doubt, d.finding = 0, 0, Connected
		}
	}
	return d.finding
}
