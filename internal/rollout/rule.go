package rollout

import "slices"

// Phase is the state of a roll-out.
type Phase string

// The phases.
const (
	// Canary sends a small share of the calls to servers of the new version.
	Canary Phase = "canary"
	// Ramp sends a larger share for a short time before Shifted.
	Ramp Phase = "ramp"
	// Shifted sends all calls to the new version; the other servers finish calls in flight.
	Shifted Phase = "shifted"
	// Done and RolledBack are the final phases.
	Done       Phase = "done"
	RolledBack Phase = "rolled_back"
)

// Running reports whether the roll-out has not ended.
func (p Phase) Running() bool { return p == Canary || p == Ramp || p == Shifted }

// Rule defines which servers of a service calls may go to. The zero value allows all.
type Rule struct {
	// Target is the new version.
	Target string `json:"target"`
	Phase  Phase  `json:"phase"`
	// Share is the share of calls, from 0 to 1, sent to the new version in Canary and Ramp.
	Share float64 `json:"share,omitempty"`
	// Barred are versions that earlier roll-outs rolled back; they receive no calls.
	Barred []string `json:"barred,omitempty"`
}

// Side is the set of servers that an attempt may go to.
type Side uint8

// The sides.
const (
	// Either allows all servers, as without a roll-out.
	Either Side = iota
	// Old allows servers of all versions except the new one, New only those of the new one.
	Old
	New
)

// SideOf returns the side for an attempt. A random draw from 0 to 1, made once per call,
// decides whether the call belongs to the share of the new version. Only its first attempt goes
// there; further ones go to the old version, which is known to work. If no server of the new
// version is known, all attempts go to the old one.
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

// Allows reports whether an attempt on a side may go to a server of a version.
func (r Rule) Allows(side Side, version string) bool {
	if slices.Contains(r.Barred, version) {
		return false
	}
	return side == Either || (side == New) == (version == r.Target)
}

// ConflictError reports that another roll-out of the service is in progress.
type ConflictError struct{ Service, Target string }

// Error implements error.
func (e *ConflictError) Error() string {
	return "a roll-out of " + e.Service + " to version " + e.Target + " is under way"
}
