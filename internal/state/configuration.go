package state

import (
	"fmt"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	eventjournal "github.com/martenstage/martenstage/internal/journal"
)

// Revision is one accepted configuration. Numbers start at 1 and are consecutive.
type Revision struct {
	Number   uint64
	ChangeID string
	Author   string
	Comment  string
	Accepted time.Time
	// CompressedText is the full text, or else TextDelta is the delta from the text
	// of the previous revision. Both are empty if TextDropped is set. The machine
	// does not decode them; see Machine.TextChain.
	CompressedText []byte
	TextDelta      []byte
	TextDropped    bool
	// RollbackOf is the revision whose text this one restores, or 0.
	RollbackOf uint64
}

// isDelta reports whether the text is stored as a delta.
func (r *Revision) isDelta() bool { return len(r.TextDelta) > 0 }

func (r *Revision) textSize() int { return len(r.CompressedText) + len(r.TextDelta) }

// configuration holds the history, oldest first, and the plan of the latest
// revision.
type configuration struct {
	revisions []Revision
	// plan is the compressed plan of the last revision submitted in full;
	// planDeltas lead from it to the plan of the latest revision.
	plan       []byte
	planDeltas [][]byte
	// textCount is the number of newest revisions that keep their text or delta,
	// textBytes the total size of these.
	textCount int
	textBytes int
}

func (c *configuration) latest() Revision {
	if len(c.revisions) == 0 {
		return Revision{}
	}
	return c.revisions[len(c.revisions)-1]
}

// append adds a revision and drops old texts and revisions beyond the limits;
// maxTexts is how many revisions may keep their text.
func (c *configuration) append(revision Revision, maxTexts int, limits Limits) {
	c.revisions = append(c.revisions, revision)
	c.textCount++
	c.textBytes += revision.textSize()
	for c.textCount > maxTexts || c.textBytes > limits.TextBytes {
		if !c.dropOldestChain() {
			break
		}
	}
	if excess := len(c.revisions) - max(limits.Revisions, c.textCount); excess > 0 {
		c.revisions = append([]Revision(nil), c.revisions[excess:]...)
	}
}

// Latest returns the newest revision, or the zero Revision if there is none.
func (m *Machine) Latest() Revision { return m.config.latest() }

// CompressedPlan returns the plan of the last revision that was submitted in
// full; PlanDeltas lead from it to the plan of the latest revision. The caller
// must not modify it.
func (m *Machine) CompressedPlan() []byte { return m.config.plan }

// PlanDeltas returns the encoded plan deltas of the revisions after the last one
// that was submitted in full. The caller must not modify them.
func (m *Machine) PlanDeltas() [][]byte { return m.config.planDeltas }

// Revision returns a revision by number and whether it is still kept.
func (m *Machine) Revision(number uint64) (Revision, bool) {
	if len(m.config.revisions) == 0 || number < m.config.revisions[0].Number {
		return Revision{}, false
	}
	index := number - m.config.revisions[0].Number
	if index >= uint64(len(m.config.revisions)) {
		return Revision{}, false
	}
	return m.config.revisions[index], true
}

// History returns up to limit revisions, newest first, without texts.
func (m *Machine) History(limit int) []Revision {
	count := min(limit, len(m.config.revisions))
	history := make([]Revision, 0, count)
	for index := range count {
		revision := m.config.revisions[len(m.config.revisions)-1-index]
		revision.CompressedText, revision.TextDelta = nil, nil
		history = append(history, revision)
	}
	return history
}

// applyChange decides on a submitted configuration. It is accepted only if the
// latest revision is the expected one (compare-and-set).
func (m *Machine) applyChange(command *v1.ChangeCommand) ChangeResult {
	if first, known := m.ChangeResult(command.GetChangeId(), command.GetRequestHash()); known {
		return first
	}
	result := m.decideChange(command)
	m.changes.record(command.GetChangeId(), command.GetRequestHash(), result, m.now, m.limits)
	m.recordChange(command, result)
	return result
}

func (m *Machine) decideChange(command *v1.ChangeCommand) ChangeResult {
	latest := m.config.latest()
	if command.GetInvalid() != "" {
		return ChangeResult{Result: v1.ApplyResult_APPLY_RESULT_INVALID, Revision: latest.Number, Detail: command.GetInvalid()}
	}
	if command.GetExpectedRevision() != latest.Number {
		return conflictResult(command.GetExpectedRevision(), latest)
	}
	if refusal := m.deltaRefusal(command); refusal != "" {
		return ChangeResult{Result: v1.ApplyResult_APPLY_RESULT_INVALID, Revision: latest.Number, Detail: refusal}
	}
	revision := Revision{
		Number:         latest.Number + 1,
		ChangeID:       command.GetChangeId(),
		Author:         command.GetAuthor(),
		Comment:        command.GetComment(),
		Accepted:       m.Now(),
		CompressedText: command.GetCompressedText(),
		TextDelta:      command.GetTextDelta(),
		RollbackOf:     command.GetRollbackOf(),
	}
	m.config.setPlan(command)
	m.config.append(revision, m.maxTexts(), m.limits)
	return ChangeResult{Result: v1.ApplyResult_APPLY_RESULT_ACCEPTED, Revision: revision.Number}
}

func conflictResult(expected uint64, latest Revision) ChangeResult {
	detail := fmt.Sprintf("written against revision %d, but the latest is %d", expected, latest.Number)
	if latest.Number > 0 {
		detail += fmt.Sprintf(" by %s (change %s)", latest.Author, latest.ChangeID)
	}
	return ChangeResult{
		Result:       v1.ApplyResult_APPLY_RESULT_CONFLICT,
		Revision:     latest.Number,
		WinnerAuthor: latest.Author,
		Detail:       detail,
	}
}

// recordChange records the decision in the journal as part of the same command,
// so that a crash cannot leave one without the other.
func (m *Machine) recordChange(command *v1.ChangeCommand, result ChangeResult) {
	kind, detail := eventjournal.KindChangeRefused, result.Detail
	if result.Result == v1.ApplyResult_APPLY_RESULT_ACCEPTED {
		kind, detail = eventjournal.KindChangeAccepted, fmt.Sprintf("revision %d", result.Revision)
	}
	id := "change/" + command.GetChangeId()
	authorPrefix := fmt.Sprintf("by %s: ", command.GetAuthor())
	detail = fmt.Sprintf("%s%s (change %s)", authorPrefix, detail, command.GetChangeId())
	if kind == eventjournal.KindChangeRefused && m.journal.countRepeat(m.Now(), controlSource, string(kind), authorPrefix) {
		return
	}
	m.record(id, kind, "", detail)
}
