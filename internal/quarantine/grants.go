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

// endTrial records that the issuer of a command has ended its trial.
func (r *Record) endTrial(command Command) {
	if command.Start == 0 {
		r.Trials = max(len(r.Grants), r.Trials-1)
		return
	}
	r.removeGrants(func(g Grant) bool { return g.By == command.By && g.Start == command.Start })
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
