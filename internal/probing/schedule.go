package probing

import (
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// Probe is the outcome of one probe.
type Probe struct {
	// At is when the outcome came.
	At time.Time
	// Reachable is false when the probe got no answer. Silent is set in addition
	// when nothing was heard in time, which is no news of the back end.
	Reachable bool
	Silent    bool
	State     backendapi.ReadyState
	// Holdings is the back end's mark for what it can serve, if it has one.
	Holdings string
}

// Meaning is what the end of an attempt says about a back end.
type Meaning uint8

// Meanings of replies.
const (
	// MeaningNone says nothing.
	MeaningNone Meaning = iota
	// MeaningServing is a reply by a back end that takes work.
	MeaningServing
	// MeaningDraining is a refusal or a mark of one that leaves.
	MeaningDraining
	// MeaningLost is an attempt that was not served.
	MeaningLost
	// MeaningMoved is a refusal because the back end does not hold what the
	// router believes that it holds.
	MeaningMoved
)

// Reply is the end of one attempt at a back end.
type Reply struct {
	// Sent is when the attempt was sent; the reply is no older.
	Sent time.Time
	// At is when the attempt ended.
	At      time.Time
	Meaning Meaning
	// Holdings is the mark that the reply carried.
	Holdings string
}

// condition is what the last probe found.
type condition uint8

const (
	conditionUnknown condition = iota
	conditionReady
	conditionUnreachable
	conditionDraining
	conditionWarming
)

// Schedule says when one back end is to be probed next. The zero value is not
// usable; call New.
type Schedule struct {
	config  Config
	jitter  uint64
	routers int

	// probedAt is when the last probe ended, or when the first is due.
	probedAt  time.Time
	condition condition
	// lost is how many probes in a row were lost without a word.
	lost int
	// since is when the condition was first found.
	since    time.Time
	holdings string
	// factor spreads the pause that runs now.
	factor float64
	// heardAt is when the newest query was sent whose reply counts as an
	// observation.
	heardAt time.Time
	// doubted is set from a reply that gives reason to look until the next
	// probe.
	doubted bool
	// refusedAt is set by a reply that says draining, until the health endpoint
	// agrees or a later query is served.
	refusedAt time.Time
	// watchUntil is when close probing after the word of others ends.
	watchUntil time.Time
}

// New returns the schedule of a back end that was never probed. The first probe
// is due within half an interval. Schedules with equal seeds make equal choices.
func New(config Config, now time.Time, seed uint64) *Schedule {
	made := &Schedule{config: config.withDefaults(), jitter: seed, routers: 1}
	made.probedAt = now.Add(time.Duration(made.random() * float64(made.config.Interval) / 2))
	return made
}

// SetRouters tells how many routers use the back end.
func (s *Schedule) SetRouters(count int) { s.routers = max(count, 1) }

// Due returns when the next probe is to be made.
func (s *Schedule) Due() time.Time {
	switch {
	case s.condition == conditionUnknown:
		return s.probedAt
	case s.watched():
		return s.after(s.probedAt, s.config.Interval)
	case s.condition != conditionReady:
		return s.after(s.probedAt, s.downPause())
	default:
		return s.readyDue()
	}
}

// watched reports whether there is reason to probe as often as possible.
func (s *Schedule) watched() bool {
	refused := !s.refusedAt.IsZero() && s.probedAt.Sub(s.refusedAt) < distrust
	return s.doubted || refused || s.probedAt.Before(s.watchUntil)
}

// downPause grows with the time for which the back end has been down, so that
// its return is noticed within a part of that time.
func (s *Schedule) downPause() time.Duration {
	return min(max(s.probedAt.Sub(s.since)/downPart, s.config.Interval), s.config.DownPause)
}

// readyDue is the idle pause after the last observation, and the heard pause
// after the last probe at the latest.
func (s *Schedule) readyDue() time.Time {
	pause := s.config.idlePause(s.routers)
	probe := s.after(s.probedAt, pause)
	heard := s.after(s.heardAt, pause)
	if !heard.After(probe) {
		return probe
	}
	latest := s.after(s.probedAt, s.config.HeardPause)
	if latest.Before(heard) {
		return latest
	}
	return heard
}

func (s *Schedule) after(moment time.Time, pause time.Duration) time.Time {
	return moment.Add(time.Duration(float64(pause) * s.factor))
}

// Probed takes in the outcome of a probe.
func (s *Schedule) Probed(probe Probe) {
	found := conditionOf(probe)
	if found != s.condition {
		s.condition, s.since = found, probe.At
	}
	s.lost++
	if !probe.Silent {
		s.lost = 0
	}
	if found != conditionReady && (!probe.Silent || s.lost >= unreachableAfter) {
		// The health endpoint agrees that the back end is not to be used; from
		// here on its return is what is waited for.
		s.refusedAt = time.Time{}
	}
	s.probedAt, s.holdings, s.doubted = probe.At, probe.Holdings, false
	s.factor = 1 - spread + 2*spread*s.random()
}

// Skipped takes in that a due probe was not made, or that its outcome was lost.
// The next one is due an interval later.
func (s *Schedule) Skipped(now time.Time) {
	if s.condition == conditionUnknown {
		s.probedAt = now.Add(s.config.Interval)
		return
	}
	s.probedAt, s.doubted = now, true
}

func conditionOf(probe Probe) condition {
	switch {
	case !probe.Reachable:
		return conditionUnreachable
	case probe.State == backendapi.StateReady:
		return conditionReady
	case probe.State == backendapi.StateDraining:
		return conditionDraining
	default:
		return conditionWarming
	}
}

// Heard takes in the end of an attempt.
func (s *Schedule) Heard(reply Reply) {
	switch reply.Meaning {
	case MeaningServing:
		s.serving(reply)
	case MeaningDraining:
		s.refusedAt = reply.At
	case MeaningLost:
		// A query that was sent later and answered outweighs one that was lost.
		s.doubted = s.doubted || !s.heardAt.After(reply.Sent)
	case MeaningMoved:
		s.doubted = true
	case MeaningNone:
	}
}

func (s *Schedule) serving(reply Reply) {
	if reply.Sent.After(s.refusedAt) {
		s.refusedAt = time.Time{}
	}
	switch {
	case reply.Holdings == "":
		// It says nothing about what the back end holds, as a probe would.
	case reply.Holdings != s.holdings:
		s.doubted = s.doubted || s.holdings != ""
	case reply.Sent.After(s.heardAt):
		s.heardAt = reply.Sent
	}
}

// Watch takes in that the word of others about the back end changed.
func (s *Schedule) Watch(now time.Time) { s.watchUntil = now.Add(watchTime) }

// random returns the next number in [0,1) of a sequence that the seed decides
// (Steele, Lea and Flood, "Fast splittable pseudorandom number generators",
// 2014).
func (s *Schedule) random() float64 {
	const increment, firstFactor, secondFactor = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	s.jitter += increment
	mixed := s.jitter
	mixed = (mixed ^ mixed>>30) * firstFactor
	mixed = (mixed ^ mixed>>27) * secondFactor
	mixed ^= mixed >> 31
	const mantissaBits = 53
	return float64(mixed>>(64-mantissaBits)) / (1 << mantissaBits)
}
