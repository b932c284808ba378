package probing

import (
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// Probe is the outcome of one probe.
type Probe struct {
	// At is when the probe ended.
	At time.Time
	// Reachable is false if the probe got no answer. Silent is also set if the
	// probe timed out, which on its own says nothing about the back end.
	Reachable bool
	Silent    bool
	State     backendapi.ReadyState
	// Holdings is the back end's tag for the set of versions that it can serve, if
	// it sends one.
	Holdings string
}

// Meaning classifies the end of an attempt by what it shows about the back end.
type Meaning uint8

// Meanings of replies.
const (
	// MeaningNone shows nothing.
	MeaningNone Meaning = iota
	// MeaningServing is a reply of a back end that accepts work.
	MeaningServing
	// MeaningDraining is a refusal or a reply header of a draining back end.
	MeaningDraining
	// MeaningFailed is an attempt that failed.
	MeaningFailed
	// MeaningHoldingsChanged is a refusal because the back end does not hold what the
	// router assumes that it holds.
	MeaningHoldingsChanged
)

// Reply is the end of one attempt at a back end.
type Reply struct {
	// Sent is when the attempt was sent, a lower bound for the time of the reply.
	Sent time.Time
	// At is when the attempt ended.
	At      time.Time
	Meaning Meaning
	// Holdings is the holdings tag of the reply.
	Holdings string
}

// condition is the state that the last probe found.
type condition uint8

const (
	conditionUnknown condition = iota
	conditionReady
	conditionUnreachable
	conditionDraining
	conditionWarming
)

// Schedule decides when a back end is probed next. The zero value is not usable;
// call New.
type Schedule struct {
	config      Config
	randomState uint64
	routers     int

	// probedAt is when the last probe ended, or when the first is due.
	probedAt  time.Time
	condition condition
	// lostProbes is the number of consecutive probes that timed out.
	lostProbes int
	// conditionSince is when the condition was first found.
	conditionSince time.Time
	holdings       string
	// pauseFactor is the jitter of the current pause.
	pauseFactor float64
	// servedAt is the send time of the newest query whose reply counts as an
	// observation.
	servedAt time.Time
	// suspected is set from a reply that makes the state uncertain until the next
	// probe.
	suspected bool
	// refusedAt is set by a reply that signals draining, until the health endpoint
	// confirms it or a later query is served.
	refusedAt time.Time
	// closeProbingUntil is the end of close probing after an external report.
	closeProbingUntil time.Time
}

// New returns the schedule of a back end that was never probed. The first probe
// is due within half an interval. The seed determines the jitter.
func New(config Config, now time.Time, seed uint64) *Schedule {
	schedule := &Schedule{config: config.withDefaults(), randomState: seed, routers: 1}
	schedule.probedAt = now.Add(time.Duration(schedule.random() * float64(schedule.config.Interval) / 2))
	return schedule
}

// SetRouters sets the number of routers that use the back end.
func (s *Schedule) SetRouters(count int) { s.routers = max(count, 1) }

// Due returns the time of the next probe.
func (s *Schedule) Due() time.Time {
	switch {
	case s.condition == conditionUnknown:
		return s.probedAt
	case s.probedClosely():
		return s.afterPause(s.probedAt, s.config.Interval)
	case s.condition != conditionReady:
		return s.afterPause(s.probedAt, s.downPause())
	default:
		return s.readyDue()
	}
}

// probedClosely reports whether to probe at the shortest interval.
func (s *Schedule) probedClosely() bool {
	refused := !s.refusedAt.IsZero() && s.probedAt.Sub(s.refusedAt) < drainDistrust
	return s.suspected || refused || s.probedAt.Before(s.closeProbingUntil)
}

// downPause grows with the time that the back end has been down, so that its
// return is noticed within a fraction of that time.
func (s *Schedule) downPause() time.Duration {
	return min(max(s.probedAt.Sub(s.conditionSince)/downDivisor, s.config.Interval), s.config.DownPause)
}

// readyDue returns the time of the next probe of a ready back end: the idle pause
// after the last observation, but at most the longer pause for observed back ends
// after the last probe.
func (s *Schedule) readyDue() time.Time {
	pause := s.config.idlePause(s.routers)
	probe := s.afterPause(s.probedAt, pause)
	served := s.afterPause(s.servedAt, pause)
	if !served.After(probe) {
		return probe
	}
	latest := s.afterPause(s.probedAt, s.config.ObservedPause)
	if latest.Before(served) {
		return latest
	}
	return served
}

func (s *Schedule) afterPause(moment time.Time, pause time.Duration) time.Time {
	return moment.Add(time.Duration(float64(pause) * s.pauseFactor))
}

// ObserveProbe records the outcome of a probe.
func (s *Schedule) ObserveProbe(probe Probe) {
	found := conditionOf(probe)
	if found != s.condition {
		s.condition, s.conditionSince = found, probe.At
	}
	s.lostProbes++
	if !probe.Silent {
		s.lostProbes = 0
	}
	if found != conditionReady && (!probe.Silent || s.lostProbes >= unreachableAfter) {
		// The health endpoint confirms that the back end is unusable; from now on
		// the schedule waits for its return.
		s.refusedAt = time.Time{}
	}
	s.probedAt, s.holdings, s.suspected = probe.At, probe.Holdings, false
	s.pauseFactor = 1 - jitterFraction + 2*jitterFraction*s.random()
}

// ProbeSkipped records that a due probe was not made or that its outcome was lost. The
// next probe is due an interval later.
func (s *Schedule) ProbeSkipped(now time.Time) {
	if s.condition == conditionUnknown {
		s.probedAt = now.Add(s.config.Interval)
		return
	}
	s.probedAt, s.suspected = now, true
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

// ObserveReply records the end of an attempt.
func (s *Schedule) ObserveReply(reply Reply) {
	switch reply.Meaning {
	case MeaningServing:
		s.observeServing(reply)
	case MeaningDraining:
		s.refusedAt = reply.At
	case MeaningFailed:
		// Ignored if a query that was sent later has been answered.
		s.suspected = s.suspected || !s.servedAt.After(reply.Sent)
	case MeaningHoldingsChanged:
		s.suspected = true
	case MeaningNone:
	}
}

func (s *Schedule) observeServing(reply Reply) {
	if reply.Sent.After(s.refusedAt) {
		s.refusedAt = time.Time{}
	}
	switch {
	case reply.Holdings == "":
		// Unlike a probe, the reply does not show what the back end holds.
	case reply.Holdings != s.holdings:
		s.suspected = s.suspected || s.holdings != ""
	case reply.Sent.After(s.servedAt):
		s.servedAt = reply.Sent
	}
}

// ProbeClosely starts close probing after a change of an external report about the back end.
func (s *Schedule) ProbeClosely(now time.Time) { s.closeProbingUntil = now.Add(closeProbingTime) }

// random returns the next number in [0,1) of a sequence determined by the seed
// (Steele, Lea and Flood, "Fast splittable pseudorandom number generators",
// 2014).
func (s *Schedule) random() float64 {
	const increment, firstFactor, secondFactor = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
	s.randomState += increment
	mixed := s.randomState
	mixed = (mixed ^ mixed>>30) * firstFactor
	mixed = (mixed ^ mixed>>27) * secondFactor
	mixed ^= mixed >> 31
	const mantissaBits = 53
	return float64(mixed>>(64-mantissaBits)) / (1 << mantissaBits)
}
