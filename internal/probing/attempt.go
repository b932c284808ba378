package probing

import (
	"time"

	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// ProbeOf converts a health observation for a Schedule.
func ProbeOf(observed query.HealthObserved, at time.Time) Probe {
	return Probe{
		At: at, Reachable: observed.Reachable, Silent: observed.TimedOut, State: observed.Health.State, Holdings: observed.Health.Holdings,
	}
}

// ReplyOf converts the outcome of an attempt for a Schedule.
func ReplyOf(outcome query.Event, sent, at time.Time) Reply {
	reply := Reply{Sent: sent, At: at}
	switch typed := outcome.(type) {
	case query.PartArrived:
		reply.Meaning, reply.Holdings = meaningOfReport(typed.Report), typed.Report.Holdings
	case query.AttemptFailed:
		reply.Meaning, reply.Holdings = meaningOfFailure(typed), typed.Report.Holdings
	}
	return reply
}

func meaningOfReport(report query.Report) Meaning {
	switch {
	case report.Draining:
		return MeaningDraining
	case report.Known:
		return MeaningServing
	default:
		return MeaningNone
	}
}

// meaningOfFailure classifies a failed attempt. A refusal because of load does not
// show that the back end is serving: one that has restarted and is still loading
// its index refuses in the same way.
func meaningOfFailure(failed query.AttemptFailed) Meaning {
	refused := failed.Verdict == verdict.NotRun && failed.Report.Known
	switch {
	case failed.Report.Draining || failed.Reason == verdict.ReasonDraining:
		return MeaningDraining
	case failed.Reason == verdict.ReasonSnapshotGone || (refused && failed.Reason == verdict.ReasonNoReplica):
		return MeaningHoldingsChanged
	case failed.Reason == verdict.ReasonCanceled || failed.Reason == verdict.ReasonNoReplica:
		return MeaningNone
	default:
		return MeaningFailed
	}
}
