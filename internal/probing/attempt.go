package probing

import (
	"time"

	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// ProbeOf returns what a probe's outcome says to a Schedule.
func ProbeOf(observed query.HealthObserved, at time.Time) Probe {
	return Probe{
		At: at, Reachable: observed.Reachable, Silent: observed.Silent, State: observed.Health.State, Holdings: observed.Health.Holdings,
	}
}

// ReplyOf returns what the end of an attempt that was sent at a time says to a
// Schedule.
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

// meaningOfFailure reads a failed attempt. A refusal for load is no observation
// of a back end that serves: one that has restarted and is still loading its
// index answers alike.
func meaningOfFailure(failed query.AttemptFailed) Meaning {
	refused := failed.Verdict == verdict.NotRun && failed.Report.Known
	switch {
	case failed.Report.Draining || failed.Reason == verdict.ReasonDraining:
		return MeaningDraining
	case failed.Reason == verdict.ReasonSnapshotGone || (refused && failed.Reason == verdict.ReasonNoReplica):
		return MeaningMoved
	case failed.Reason == verdict.ReasonCanceled || failed.Reason == verdict.ReasonNoReplica:
		return MeaningNone
	default:
		return MeaningLost
	}
}
