package quarantine

import (
	"slices"
	"time"
)

// maxTrialTime is how long a trial counts as in flight without a reported outcome. A router that is
// lost for good reports none.
const maxTrialTime = 2 * time.Minute

// Grant is a trial that a start of a router holds.
type Grant struct {
	By    string    `json:"by"`
	Start uint64    `json:"start"`
	At    time.Time `json:"at"`
	// Overlaps is set once a server has terminated in another trial: what ended that one may end
	// the server of this one as well, so that both count once.
	Overlaps bool `json:"overlaps,omitempty"`
}

// endedBy reports whether a command shows that the trial is no longer in flight: its router has
// started again, requests another one, of which it runs one at a time, or took too long.
func (g Grant) endedBy(command Command) bool {
	return g.By == command.By && command.Start != 0 || command.At.Sub(g.At) > maxTrialTime
}

// grantTrial decides on a request for a trial.
func (r *Record) grantTrial(request Command) bool {
	r.removeGrants(func(g Grant) bool { return g.endedBy(request) })
	if r.Quarantined || r.Trials >= MaxTrials {
		return false
	}
	r.Trials++
	if request.Start != 0 {
		// Copied because readers may still hold the previous slice.
		r.Grants = append(slices.Clone(r.Grants), Grant{By: request.By, Start: request.Start, At: request.At})
	}
	return true
}

// endTrial records that the issuer of a command has ended its trial. It reports whether the trial
// overlapped with one whose server terminated.
func (r *Record) endTrial(command Command) (overlapped bool) {
	if command.Start == 0 {
		r.Trials = max(len(r.Grants), r.Trials-1)
		return false
	}
	r.removeGrants(func(g Grant) bool {
		own := g.By == command.By && g.Start == command.Start
		overlapped = overlapped || own && g.Overlaps
		return own
	})
	return overlapped
}

// markOverlapping marks the trials in flight after a server has terminated in a trial.
func (r *Record) markOverlapping() {
	r.Grants = slices.Clone(r.Grants)
	for index := range r.Grants {
		r.Grants[index].Overlaps = true
	}
}

// removeGrants removes trials that are no longer in flight.
func (r *Record) removeGrants(ended func(Grant) bool) {
	kept := slices.DeleteFunc(slices.Clone(r.Grants), ended)
	r.Trials -= len(r.Grants) - len(kept)
	r.Grants = kept
	if len(kept) == 0 {
		r.Grants = nil
	}
}
