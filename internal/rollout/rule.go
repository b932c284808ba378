package rollout

import "slices"

// Phase is how far a roll-out is.
type Phase string

// The phases.
const (
	// Canary: a small share of the calls goes to servers of the new version.
	Canary Phase = "canary"
	// Ramp: a larger share does, for the moment before all do.
	Ramp Phase = "ramp"
	// Shifted: all calls go to them; the others still work on what they have.
	Shifted Phase = "shifted"
	// Done and RolledBack are the ends.
	Done       Phase = "done"
	RolledBack Phase = "rolled_back"
)

// Running reports whether the roll-out has not ended.
func (p Phase) Running() bool { return p == Canary || p == Ramp || p == Shifted }

// Rule says which servers of a service calls may go to. The zero value allows all.
type Rule struct {
	// Target is the new version.
	Target string `json:"target"`
	Phase  Phase  `json:"phase"`
	// Share of the calls, 0 to 1, goes to servers of the new version in Canary and Ramp.
	Share float64 `json:"share,omitempty"`
	// Barred are versions that earlier roll-outs took back: they get nothing.
	Barred []string `json:"barred,omitempty"`
}

// Side is which servers one attempt may go to.
type Side uint8

// The sides.
const (
	// Either: no roll-out says otherwise.
	Either Side = iota
	// Old are the servers of all versions but the new one, New those of the new one.
	Old
	New
)

// SideOf returns where an attempt goes. A draw from 0 to 1 decides, once for each call,
// whether it is one of the share; further attempts of such a call go to the old version,
// which is known to work. Without a server of the new version all go to the old one.
func (r Rule) SideOf(draw float64, first, newKnown bool) Side {
	switch r.Phase {
	case Canary, Ramp:
		if first && newKnown && draw < r.Share {
			return New
		}
		return Old
	case Shifted:
		if newKnown {
			return New
		}
		return Old
	case RolledBack:
		return Old
	default:
		return Either
	}
}

// Allows reports whether a server of a version is on a side.
func (r Rule) Allows(side Side, version string) bool {
	if slices.Contains(r.Barred, version) {
		return false
	}
	return side == Either || (side == New) == (version == r.Target)
}

// ConflictError says that another roll-out of a service is under way.
type ConflictError struct{ Service, Target string }

// Error names both.
func (e *ConflictError) Error() string {
	return "a roll-out of " + e.Service + " to version " + e.Target + " is under way"
}
