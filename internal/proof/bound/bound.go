// Package bound works out how many gathered requests anyone could have answered in
// time in a window, from which servers were sound and what was asked. It is no
// simulator: it takes the best order of all calls for granted, and so gives an upper
// bound that tells which windows are lost whatever is done.
package bound

import (
	"math"
	"time"
)

// Shard is what one shard can do in a window.
type Shard struct {
	// Servers are those that answer in time when they have room.
	Servers int
	// Slots of each server.
	Slots int
}

// Pauses of a server.
type Pauses struct {
	Length time.Duration
	Every  time.Duration
}

// part of the time that a server pauses.
func (p Pauses) part() float64 {
	if p.Every <= 0 {
		return 0
	}
	return float64(p.Length) / float64(p.Every)
}

// Route is one kind of request of a window.
type Route struct {
	// PerSecond requests arrive, each asking every shard for Work.
	PerSecond float64
	Work      time.Duration
	// Due is how long after its arrival a request is worth its full credit.
	Due time.Duration
	// LeastShare of the shards has to be in.
	LeastShare float64
}

// Window is a time in which nothing changes.
type Window struct {
	Shards []Shard
	Pauses Pauses
	// Route is the one that is bounded; Others only take room.
	Route  Route
	Others []Route
}

// Result bounds what could be served.
type Result struct {
	// Capacity is the part of the requests that the slots suffice for.
	Capacity float64
	// Unpaused is the part of the requests that meet no pause which makes a needed
	// part late.
	Unpaused float64
	// Share of the shards that such an answer can have.
	Share float64
	// Credit is the part of the full credit: capacity × unpaused × share².
	Credit float64
}

// Bound works out the bound of a window.
func Bound(window Window) Result {
	total := len(window.Shards)
	needed := int(math.Ceil(window.Route.LeastShare*float64(total) - 1e-9))
	capacities := make([]float64, total)
	up, single := 0, 0
	for index, shard := range window.Shards {
		capacities[index] = window.capacity(shard)
		if shard.Servers > 0 {
			up++
		}
		if shard.Servers == 1 {
			single++
		}
	}
	if total == 0 || up < needed {
		return Result{}
	}
	result := Result{Capacity: served(capacities, needed), Share: float64(up) / float64(total)}
	// As many shards as can be spared may pause without harm.
	result.Unpaused = atMost(up-needed, single, window.lateByPause())
	result.Credit = result.Capacity * result.Unpaused * result.Share * result.Share
	return result
}

// capacity is the part of what is asked that a shard has slots for.
func (w Window) capacity(shard Shard) float64 {
	asked := w.Route.PerSecond * w.Route.Work.Seconds()
	for _, other := range w.Others {
		asked += other.PerSecond * other.Work.Seconds()
	}
	has := float64(shard.Servers*shard.Slots) * (1 - w.Pauses.part())
	if asked <= 0 {
		return 1
	}
	return min(1, has/asked)
}

// lateByPause is the part of the requests for which a shard of one server is late by a
// pause: those that arrive so early in it that its end comes too late for their work,
// or that are being worked on when it begins.
func (w Window) lateByPause() float64 {
	if w.Pauses.Every <= 0 {
		return 0
	}
	patience := w.Route.Due - w.Route.Work
	harmful := max(0, w.Pauses.Length-patience) + w.Route.Work
	return min(1, float64(harmful)/float64(w.Pauses.Every))
}

// served is the largest part of the requests that can each have a number of parts when
// shards have capacity for the given parts of them: the largest x with
// x × needed <= the sum of min(x, capacity).
func served(capacities []float64, needed int) float64 {
	low, high := 0.0, 1.0
	for range 40 {
		middle := (low + high) / 2
		sum := 0.0
		for _, capacity := range capacities {
			sum += min(middle, capacity)
		}
		if sum >= middle*float64(needed)-1e-9 {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// atMost is the chance that of a number of independent events, each with a
// probability, at most so many happen.
func atMost(many, events int, probability float64) float64 {
	sum := 0.0
	for happened := 0; happened <= min(many, events); happened++ {
		ways := 1.0
		for factor := range happened {
			ways *= float64(events-factor) / float64(factor+1)
		}
		sum += ways * math.Pow(probability, float64(happened)) * math.Pow(1-probability, float64(events-happened))
	}
	return min(1, sum)
}
