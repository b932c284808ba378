// Package network carries messages between the processes of a simulation. It
// delays every message and, by the rules in force, loses, repeats, holds back
// and reorders them. A cut in one direction loses everything in it.
package network

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/proof/virtualtime"
)

// Place is where a process runs.
type Place struct {
	Name   string
	Zone   string
	Region string
}

// Selector matches places; empty fields match any.
type Selector struct {
	Name   string
	Zone   string
	Region string
}

func (s Selector) matches(place *Place) bool {
	return (s.Name == "" || s.Name == place.Name) &&
		(s.Zone == "" || s.Zone == place.Zone) &&
		(s.Region == "" || s.Region == place.Region)
}

// Rule is a fault of all messages from one set of places to another.
type Rule struct {
	From Selector
	To   Selector
	// OutsideFrom inverts From, OutsideTo inverts To: the rule holds for all
	// other places.
	OutsideFrom, OutsideTo bool
	// Cut loses everything. Loss and Duplicate are shares in thousandths.
	Cut       bool
	Loss      int
	Duplicate int
	// Delay is the longest additional delay; each message draws its own, so
	// that messages overtake each other.
	Delay time.Duration
}

// perMille is the unit of Rule.Loss and Rule.Duplicate.
const perMille = 1000

func (r *Rule) matches(from, to *Place) bool {
	return r.From.matches(from) != r.OutsideFrom && r.To.matches(to) != r.OutsideTo
}

// Network is the state of all links.
type Network struct {
	queue  *virtualtime.Queue
	random *rand.Rand
	rules  []*Rule
	// Lost and Repeated count messages.
	Lost, Repeated uint64
}

// New returns a network without faults.
func New(queue *virtualtime.Queue, random *rand.Rand) *Network {
	return &Network{queue: queue, random: random}
}

// Add puts a rule in force.
func (n *Network) Add(rule *Rule) { n.rules = append(n.rules, rule) }

// Remove ends a rule.
func (n *Network) Remove(rule *Rule) {
	n.rules = slices.DeleteFunc(n.rules, func(known *Rule) bool { return known == rule })
}

// One-way delays without faults.
const (
	sameZone    = 150 * time.Microsecond
	otherZone   = time.Millisecond
	otherRegion = 8 * time.Millisecond
	// jitter is the longest addition, in parts of the delay.
	jitter = 2
)

// Message is one message on its way.
type Message struct {
	From, To *Place
	// Repeatable messages may arrive twice. Those within one connection do not.
	Repeatable bool
	Arrive     func()
}

// Send puts a message on its way and reports whether it will arrive, which
// the sender must not act on.
func (n *Network) Send(message Message) bool {
	delay := n.delay(message.From, message.To)
	for _, rule := range n.rules {
		if !rule.matches(message.From, message.To) {
			continue
		}
		if rule.Cut || (rule.Loss > 0 && n.random.IntN(perMille) < rule.Loss) {
			n.Lost++
			return false
		}
		if rule.Delay > 0 {
			delay += time.Duration(n.random.Int64N(int64(rule.Delay)))
		}
		if message.Repeatable && rule.Duplicate > 0 && n.random.IntN(perMille) < rule.Duplicate {
			n.Repeated++
			n.queue.After(delay+time.Duration(n.random.Int64N(int64(2*delay))), message.Arrive)
		}
	}
	n.queue.After(delay, message.Arrive)
	return true
}

// Connected reports whether no cut lies between two places, in either
// direction. A new connection needs both.
func (n *Network) Connected(from, to *Place) bool {
	return !slices.ContainsFunc(n.rules, func(rule *Rule) bool {
		return rule.Cut && (rule.matches(from, to) || rule.matches(to, from))
	})
}

func (n *Network) delay(from, to *Place) time.Duration {
	base := sameZone
	switch {
	case from.Region != to.Region:
		base = otherRegion
	case from.Zone != to.Zone:
		base = otherZone
	}
	return base + time.Duration(n.random.Int64N(int64(base/jitter)))
}
