package rollout

import (
	"math"
	"time"
)

// Buckets of the times of answers: two for each power of two, from 1 ms on.
const (
	Buckets         = 28
	bucketsPerPower = 2
)

// Counts is what was observed of one version on one route.
type Counts struct {
	Answers uint64 `json:"answers"`
	// Bad are failures of the server's own and attempts that broke off.
	Bad uint64 `json:"bad,omitempty"`
	// Took counts good answers by how long they took.
	Took [Buckets]uint64 `json:"took"`
}

// Observe takes an answer in.
func (c *Counts) Observe(bad bool, took time.Duration) {
	c.Answers++
	if bad {
		c.Bad++
		return
	}
	c.Took[bucketOf(took)]++
}

func bucketOf(took time.Duration) int {
	milliseconds := took.Seconds() * 1000
	if milliseconds <= 1 {
		return 0
	}
	return min(Buckets-1, int(bucketsPerPower*math.Log2(milliseconds)))
}

func (c *Counts) add(other Counts) {
	c.Answers += other.Answers
	c.Bad += other.Bad
	for index, count := range other.Took {
		c.Took[index] += count
	}
}

// timed is how many answers are counted by how long they took.
func (c *Counts) timed() (count uint64) {
	for _, in := range c.Took {
		count += in
	}
	return count
}

// above counts the answers in a bucket and those that took longer.
func (c *Counts) above(bucket int) (count uint64) {
	for _, in := range c.Took[min(bucket, Buckets):] {
		count += in
	}
	return count
}

// Pair is what was observed of both versions.
type Pair struct {
	Old Counts `json:"old"`
	New Counts `json:"new"`
}

// Of returns the counts of a side.
func (p *Pair) Of(fresh bool) *Counts {
	if fresh {
		return &p.New
	}
	return &p.Old
}

// Evidence is what was observed of a roll-out, by route.
type Evidence map[string]*Pair

// maxRoutes bounds the routes that are told apart; further ones count as one.
const maxRoutes = 64

// Observe takes an answer on a route in.
func (e Evidence) Observe(route string, fresh, bad bool, took time.Duration) {
	pair, known := e[route]
	if !known {
		if len(e) >= maxRoutes {
			route = ""
		}
		if pair = e[route]; pair == nil {
			pair = &Pair{}
			e[route] = pair
		}
	}
	pair.Of(fresh).Observe(bad, took)
}

// Add takes in what another router observed.
func (e Evidence) Add(other Evidence) {
	for route, pair := range other {
		if pair == nil {
			continue
		}
		if _, known := e[route]; !known && len(e) >= maxRoutes {
			route = ""
		}
		if e[route] == nil {
			e[route] = &Pair{}
		}
		e[route].Old.add(pair.Old)
		e[route].New.add(pair.New)
	}
}

// Whole returns the sum over all routes.
func (e Evidence) Whole() Pair {
	var whole Pair
	for _, pair := range e {
		whole.Old.add(pair.Old)
		whole.New.add(pair.New)
	}
	return whole
}
