package slicing

import "time"

// Collection counts the parts of an answer that is assembled from slices and decides when to
// return it.
type Collection struct {
	// Numbers of shards: all, those with a part received, and those that failed.
	Total int
	In    int
	Out   int
	// Least is the minimum coverage: the fraction of the shards, 0 to 1, that an answer needs.
	Least float64
	// Cut is the soft deadline: from then on an answer with sufficient coverage is returned
	// without waiting for more parts. Zero disables it.
	Cut time.Time
	// Deadline is when the answer is returned at the latest.
	Deadline time.Time
	// SufficientAt is when the parts reached the minimum coverage; zero if they have not.
	SufficientAt time.Time
}

// Add records a part received at a time.
func (c *Collection) Add(at time.Time) {
	c.In++
	if c.SufficientAt.IsZero() && c.covers(c.In) {
		c.SufficientAt = at
	}
}

// DueAtCut reports whether coverage was sufficient at the soft deadline, so that any time from
// then until the answer is a delay of this router's own.
func (c *Collection) DueAtCut() bool {
	return !c.Cut.IsZero() && !c.SufficientAt.IsZero() && !c.SufficientAt.After(c.Cut)
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
	pending := c.Total - c.In - c.Out
	sufficient := c.In > 0 && c.covers(c.In)
	pastSoftDeadline := !c.Cut.IsZero() && !now.Before(c.Cut)
	expired := !now.Before(c.Deadline)
	switch {
	case sufficient && (pending <= 0 || pastSoftDeadline || expired):
		return Answer
	case expired:
		return FailTimeout
	case pending <= 0 || !c.covers(c.In+pending):
		return FailCoverage
	}
	return Wait
}

func (c *Collection) covers(parts int) bool { return Suffices(parts, c.Total, c.Least) }

// Suffices reports whether a number of parts out of a total reaches the minimum coverage, 0 to
// 1.
func Suffices(parts, total int, minCoverage float64) bool {
	return float64(parts)/float64(total)+roundingSlack >= minCoverage
}

// Next returns when Decide may change its result without another part.
func (c *Collection) Next(now time.Time) time.Time {
	if !c.Cut.IsZero() && now.Before(c.Cut) && c.Cut.Before(c.Deadline) {
		return c.Cut
	}
	return c.Deadline
}
