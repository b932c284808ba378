package rollout

import (
	"math"
	"time"
)

// Latency histogram: two buckets for each power of two, starting at 1 ms.
const (
	Buckets            = 28
	bucketsPerDoubling = 2
)

// Counts holds the observations of one version on one route.
type Counts struct {
	Answers uint64 `json:"answers"`
	// Bad counts failures of the server itself and aborted attempts.
	Bad uint64 `json:"bad,omitempty"`
	// Took is the latency histogram of the good answers.
	Took [Buckets]uint64 `json:"took"`
}

// Observe counts an answer.
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
	return min(Buckets-1, int(bucketsPerDoubling*math.Log2(milliseconds)))
}

func (c *Counts) add(other Counts) {
	c.Answers += other.Answers
	c.Bad += other.Bad
	for index, count := range other.Took {
		c.Took[index] += count
	}
}

// timedCount returns the number of answers in the latency histogram.
func (c *Counts) timedCount() (count uint64) {
	for _, in := range c.Took {
		count += in
	}
	return count
}

// countFrom returns the number of answers in a bucket and the slower ones.
func (c *Counts) countFrom(bucket int) (count uint64) {
	for _, in := range c.Took[min(bucket, Buckets):] {
		count += in
	}
	return count
}

// Pair holds the observations of both versions.
type Pair struct {
	Old Counts `json:"old"`
	New Counts `json:"new"`
}

// Of returns the counts of the new version if fresh is set, else of the old one.
func (p *Pair) Of(fresh bool) *Counts {
	if fresh {
		return &p.New
	}
	return &p.Old
}

// Evidence holds the observations of a roll-out by route.
type Evidence map[string]*Pair

// maxRoutes bounds the routes counted separately; all others share one entry.
const maxRoutes = 64

// Observe counts an answer on a route.
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

// Add adds the observations of another router.
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

// Total returns the sum over all routes.
func (e Evidence) Total() Pair {
	var total Pair
	for _, pair := range e {
		total.Old.add(pair.Old)
		total.New.add(pair.New)
	}
	return total
}
