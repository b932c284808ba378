package rollout

import "time"

// Limits bound what a bad version may get.
type Limits struct {
	// CanaryShare of all requests of a service, between order and deadline, may go to a bad
	// version.
	CanaryShare float64
}

// Steps of a roll-out.
const (
	// canaryPart of the share that is allowed is used for the canary; the rest is for what
	// goes to the version before it is convicted in the ramp.
	canaryPart = 0.6
	// rampShare of the calls goes to the new version in the ramp.
	rampShare = 0.3
	// shiftPart of the time that was ordered, within the two bounds, is kept for moving all
	// calls and watching them there: some versions are bad only under load.
	shiftPart  = 0.3
	shiftLeast = 1500 * time.Millisecond
	shiftMost  = 5 * time.Second
	// rampPart of that is the ramp, watchPart the least time under the whole load.
	rampPart  = 0.3
	watchPart = 0.35
	// leastAnswers of the new version are needed for it to be trusted.
	leastAnswers = 10
	// endMargin before the deadline a roll-out ends whatever is known.
	endMargin = 400 * time.Millisecond
)

// Situation is what the next step is decided by.
type Situation struct {
	Phase Phase
	// Elapsed is the time since the order, Inside since the present phase began.
	Elapsed  time.Duration
	Inside   time.Duration
	Duration time.Duration
	Evidence Evidence
	// Quiet says that every router that is there sends to the new version alone, and that the
	// old one works on nothing any more.
	Quiet bool
}

// Step is what to do next; the zero value is to go on.
type Step struct {
	Phase Phase
	Why   string
}

// Decide returns the next step of a running roll-out.
func Decide(now Situation) Step {
	if convicted := Judge(now.Evidence); convicted != nil {
		return Step{Phase: RolledBack, Why: convicted.String()}
	}
	whole := now.Evidence.Whole()
	shift := min(shiftMost, max(shiftLeast, time.Duration(shiftPart*float64(now.Duration))))
	ending := now.Elapsed >= now.Duration-endMargin
	switch now.Phase {
	case Canary:
		switch {
		case now.Elapsed < now.Duration-shift:
			return Step{}
		case whole.New.Answers >= leastAnswers:
			return Step{Phase: Ramp, Why: "no mark of a bad version under the canary share"}
		case ending:
			return Step{Phase: RolledBack, Why: "too few answers of the new version to trust it"}
		}
	case Ramp:
		if now.Inside >= time.Duration(rampPart*float64(shift)) {
			return Step{Phase: Shifted, Why: "no mark of a bad version in the ramp"}
		}
	case Shifted:
		watched := now.Inside >= time.Duration(watchPart*float64(shift))
		if watched && now.Quiet || ending {
			return Step{Phase: Done, Why: "no mark of a bad version under the whole load"}
		}
	}
	return Step{}
}

// RuleOf returns what routers are told of a phase.
func RuleOf(target string, phase Phase, limits Limits) Rule {
	rule := Rule{Target: target, Phase: phase}
	switch phase {
	case Canary:
		rule.Share = canaryPart * limits.CanaryShare
	case Ramp:
		rule.Share = rampShare
	}
	return rule
}
