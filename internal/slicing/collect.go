package slicing

import "time"

// Collection counts the parts of an answer that is put together from slices and
// decides when it is given.
type Collection struct {
	// Total shards; In have a part, Out will have none.
	Total int
	In    int
	Out   int
	// Least is the share of the shards, 0 to 1, that an answer needs.
	Least float64
	// Cut is when parts that suffice are answered with; zero for never.
	Cut time.Time
	// Deadline is when the answer is given at the latest.
	Deadline time.Time
	// Sufficed is when the parts reached the least share; zero if they did not.
	Sufficed time.Time
}

// Add takes in a part that came at a time.
func (c *Collection) Add(at time.Time) {
	c.In++
	if c.Sufficed.IsZero() && c.reaches(c.In) {
		c.Sufficed = at
	}
}

// DueAtCut reports whether the parts sufficed when the cut came, so that whatever
// passed from then until the answer is a delay of this router's own.
func (c *Collection) DueAtCut() bool {
	return !c.Cut.IsZero() && !c.Sufficed.IsZero() && !c.Sufficed.After(c.Cut)
}

// Decision says what to do with a collection.
type Decision uint8

// Decisions.
const (
	Wait Decision = iota
	// Answer with the parts that are in.
	Answer
	// FailCoverage: the least share can't be reached any more.
	FailCoverage
	// FailTimeout: it was not reached in time.
	FailTimeout
)

// roundingSlack keeps a share that was written with few digits reachable.
const roundingSlack = 1e-9

// Decide returns what to do at a time.
func (c *Collection) Decide(now time.Time) Decision {
	open := c.Total - c.In - c.Out
	suffices := c.In > 0 && c.reaches(c.In)
	pastCut := !c.Cut.IsZero() && !now.Before(c.Cut)
	over := !now.Before(c.Deadline)
	switch {
	case suffices && (open <= 0 || pastCut || over):
		return Answer
	case over:
		return FailTimeout
	case open <= 0 || !c.reaches(c.In+open):
		return FailCoverage
	}
	return Wait
}

func (c *Collection) reaches(parts int) bool { return Suffices(parts, c.Total, c.Least) }

// Suffices reports whether so many parts of a total reach the least share, 0 to 1, that an
// answer needs.
func Suffices(parts, total int, least float64) bool {
	return float64(parts)/float64(total)+roundingSlack >= least
}

// Next returns when Decide may change without another part.
func (c *Collection) Next(now time.Time) time.Time {
	if !c.Cut.IsZero() && now.Before(c.Cut) && c.Cut.Before(c.Deadline) {
		return c.Cut
	}
	return c.Deadline
}
