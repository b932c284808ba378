package judge

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/records"
)

// admissionLog keeps, per node and revision, only the two times that decide
// whether a revision was reverted or came into force too late. Its size does
// not depend on the number of admissions.
type admissionLog struct {
	nodes     map[string]map[uint64]*admissionSpan
	operators []records.OperatorAnswer
}

// admissionSpan bounds the moments of the admissions under one revision. Of
// those that callers know of, each lies between a start and an end; of those that
// a router recorded, the first end and the last start are known.
type admissionSpan struct {
	earliestEnd time.Time
	latestStart time.Time
}

func newAdmissionLog() admissionLog {
	return admissionLog{nodes: map[string]map[uint64]*admissionSpan{}}
}

func (l *admissionLog) add(node string, revision uint64, start, end time.Time) {
	if l.nodes[node] == nil {
		l.nodes[node] = map[uint64]*admissionSpan{}
	}
	span, ok := l.nodes[node][revision]
	if !ok {
		l.nodes[node][revision] = &admissionSpan{earliestEnd: end, latestStart: start}
		return
	}
	if end.Before(span.earliestEnd) {
		span.earliestEnd = end
	}
	if start.After(span.latestStart) {
		span.latestStart = start
	}
}

func (l *admissionLog) judge(config Config, found *findings) {
	l.judgeOperators(found)
	for _, node := range slices.Sorted(slices.Values(lo.Keys(l.nodes))) {
		l.judgeReversals(node, config, found)
		for _, operator := range l.operators {
			if operator.Accepted {
				l.judgeBound(node, operator, config, found)
			}
		}
	}
}

// judgeReversals finds nodes that admitted under a lower revision after they
// had surely admitted under a higher one.
func (l *admissionLog) judgeReversals(node string, config Config, found *findings) {
	spans := l.nodes[node]
	revisions := slices.Sorted(slices.Values(lo.Keys(spans)))
	for index := 1; index < len(revisions); index++ {
		higher := spans[revisions[index]]
		for _, lower := range revisions[:index] {
			if spans[lower].latestStart.After(higher.earliestEnd.Add(config.ClockSkew)) {
				found.add(AcceptedInForce, "", "%s went back from revision %d to %d", node, revisions[index], lower)
			}
		}
	}
}

// judgeBound finds admissions under an older revision after an accepted one
// had to be in force, or was said to be.
func (l *admissionLog) judgeBound(node string, operator records.OperatorAnswer, config Config, found *findings) {
	limit := operator.Received.Add(config.ForceBound)
	if !operator.InForce.IsZero() {
		limit = operator.InForce.Add(config.ClockSkew)
	}
	for _, revision := range slices.Sorted(slices.Values(lo.Keys(l.nodes[node]))) {
		if revision >= operator.Revision {
			return
		}
		if latest := l.nodes[node][revision].latestStart; latest.After(limit) {
			found.add(AcceptedInForce, "", "%s admitted under revision %d, %v after revision %d had to be in force",
				node, revision, latest.Sub(limit), operator.Revision)
		}
	}
}

// judgeOperators checks that an accepted revision belongs to one change and an
// accepted change to one revision.
func (l *admissionLog) judgeOperators(found *findings) {
	changes := map[uint64]string{}
	revisions := map[string]uint64{}
	for _, operator := range l.operators {
		if !operator.Accepted {
			continue
		}
		if change, ok := changes[operator.Revision]; ok && change != operator.ChangeID {
			found.add(AcceptedInForce, "", "revision %d was accepted for both %s and %s",
				operator.Revision, change, operator.ChangeID)
		}
		if revision, ok := revisions[operator.ChangeID]; ok && revision != operator.Revision {
			found.add(AcceptedInForce, "", "change %s was accepted as revision %d and as %d",
				operator.ChangeID, revision, operator.Revision)
		}
		changes[operator.Revision] = operator.ChangeID
		revisions[operator.ChangeID] = operator.Revision
	}
}
