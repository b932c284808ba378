package rollout

import "time"

// Limits bound the traffic that a bad version may receive.
type Limits struct {
	// CanaryShare is the maximum share of a service's requests, from the start of the
	// roll-out to its deadline, that a bad version may receive.
	CanaryShare float64
}

// Parameters of the phases of a roll-out.
const (
	// canaryFraction is the part of CanaryShare that the canary uses. The rest covers the
	// requests that a bad version receives in the ramp before it is detected.
	canaryFraction = 0.6
	// rampTrafficShare is the share of calls that goes to the new version in the ramp.
	rampTrafficShare = 0.3
	// shiftFraction is the part of the roll-out's duration, between minShift and maxShift, that
	// is reserved for moving all calls and observing them on the new version. Some versions
	// fail only under full load.
	shiftFraction = 0.3
	minShift      = 1500 * time.Millisecond
	maxShift      = 5 * time.Second
	// rampFraction is the part of that time spent in the ramp, minWatchFraction the minimum
	// part under full load.
	rampFraction     = 0.3
	minWatchFraction = 0.35
	// minAnswers is the number of answers that the new version needs to leave the canary.
	minAnswers = 10
	// endMargin is how long before its deadline a roll-out ends, whatever the evidence.
	endMargin = 400 * time.Millisecond
)

// Situation is the input of Decide.
type Situation struct {
	Phase Phase
	// Elapsed is the time since the roll-out started, InPhase the time since its phase did, and
	// Duration the time allowed for the whole roll-out.
	Elapsed  time.Duration
	InPhase  time.Duration
	Duration time.Duration
	Evidence Evidence
	// Drained reports that all reachable routers send to the new version only and that the old
	// one has no calls in flight.
	Drained bool
}

// Step is the transition to another phase; the zero value keeps the present one.
type Step struct {
	Phase  Phase
	Reason string
}

// Decide returns the next step of a running roll-out.
func Decide(now Situation) Step {
	if verdict := Judge(now.Evidence); verdict != nil {
		return Step{Phase: RolledBack, Reason: verdict.String()}
	}
	total := now.Evidence.Total()
	shift := min(maxShift, max(minShift, time.Duration(shiftFraction*float64(now.Duration))))
	ending := now.Elapsed >= now.Duration-endMargin
	switch now.Phase {
	case Canary:
		switch {
		case now.Elapsed < now.Duration-shift:
			return Step{}
		case total.New.Answers >= minAnswers:
			return Step{Phase: Ramp, Reason: "no mark of a bad version under the canary share"}
		case ending:
			return Step{Phase: RolledBack, Reason: "too few answers of the new version to trust it"}
		}
	case Ramp:
		if now.InPhase >= time.Duration(rampFraction*float64(shift)) {
			return Step{Phase: Shifted, Reason: "no mark of a bad version in the ramp"}
		}
	case Shifted:
		watched := now.InPhase >= time.Duration(minWatchFraction*float64(shift))
		if watched && now.Drained || ending {
			return Step{Phase: Done, Reason: "no mark of a bad version under the whole load"}
		}
	}
	return Step{}
}

// RuleForPhase returns the rule that routers follow in a phase.
func RuleForPhase(target string, phase Phase, limits Limits) Rule {
	rule := Rule{Target: target, Phase: phase}
	switch phase {
	case Canary:
		rule.Share = canaryFraction * limits.CanaryShare
	case Ramp:
		rule.Share = rampTrafficShare
	}
	return rule
}
