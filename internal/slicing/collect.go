package slicing

import "time"

// Collection counts the parts of an answer that is assembled from slices and decides when to
// return it.
type Collection struct {
	// Numbers of shards: all, those with a part received, and those that failed.
	Total    int
	Received int
	Failed   int
	// MinCoverage is the minimum coverage: the fraction of the shards, 0 to 1, that an answer needs.
	MinCoverage float64
	// Cutoff is the time from which an answer with sufficient coverage is returned without
	// waiting for more parts. Zero disables it.
	Cutoff time.Time
	// Deadline is when the answer is returned at the latest.
	Deadline time.Time
	// SufficientAt is when the parts reached the minimum coverage; zero if they have not.
	SufficientAt time.Time
}

// Add records a part received at a time.
func (c *Collection) Add(at time.Time) {
	c.Received++
	if c.SufficientAt.IsZero() && c.covers(c.Received) {
		c.SufficientAt = at
	}
}

// DueAtCutoff reports whether coverage was sufficient at the cutoff, so that any time from then
// until the answer is a delay of this router's own.
func (c *Collection) DueAtCutoff() bool {
	return !c.Cutoff.IsZero() && !c.SufficientAt.IsZero() && !c.SufficientAt.After(c.Cutoff)
}

// Decision is the next step for a collection.
type Decision uint8

// Possible decisions.
const (
	Wait Decision = iota
	// Answer returns the parts received so far.
	Answer
	// FailCoverage means that the minimum coverage can no longer be reached.
	FailCoverage
	// FailTimeout means that the minimum coverage was not reached by the deadline.
	FailTimeout
)

// roundingSlack tolerates rounding errors in a minimum coverage written with few digits.
const roundingSlack = 1e-9

// Decide returns the decision at a time.
func (c *Collection) Decide(now time.Time) Decision {
	pending := c.Total - c.Received - c.Failed
	sufficient := c.Received > 0 && c.covers(c.Received)
	pastCutoff := !c.Cutoff.IsZero() && !now.Before(c.Cutoff)
	expired := !now.Before(c.Deadline)
	switch {
	case sufficient && (pending <= 0 || pastCutoff || expired):
		return Answer
	case expired:
		return FailTimeout
	case pending <= 0 || !c.covers(c.Received+pending):
		return FailCoverage
	}
	return Wait
}

func (c *Collection) covers(parts int) bool { return MeetsCoverage(parts, c.Total, c.MinCoverage) }

// MeetsCoverage reports whether a number of parts out of a total reaches the minimum coverage, 0 to
// 1.
func MeetsCoverage(parts, total int, minCoverage float64) bool {
	return float64(parts)/float64(total)+roundingSlack >= minCoverage
}

// Next returns when Decide may change its result without another part.
func (c *Collection) Next(now time.Time) time.Time {
	if !c.Cutoff.IsZero() && now.Before(c.Cutoff) && c.Cutoff.Before(c.Deadline) {
		return c.Cutoff
	}
	return c.Deadline
}
