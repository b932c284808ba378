package state

import (
	"fmt"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	eventjournal "github.com/martenstage/martenstage/internal/journal"
)

// Revision is one accepted configuration. Numbers start at 1 and go up by one.
type Revision struct {
	Number   uint64
	ChangeID string
	Author   string
	Comment  string
	Accepted time.Time
	// CompressedText is the whole text, or TextDelta its difference from that of
	// the revision before. Both are empty when TextDropped is set. The machine
	// does not look into them; see Machine.TextChain.
	CompressedText []byte
	TextDelta      []byte
	TextDropped    bool
	// RollbackOf is the revision whose text was taken again, or 0.
	RollbackOf uint64
}

// isDelta reports whether the text is kept as a difference.
func (r *Revision) isDelta() bool { return len(r.TextDelta) > 0 }

func (r *Revision) textSize() int { return len(r.CompressedText) + len(r.TextDelta) }

// configuration is the history, oldest first, and the plan of its last entry.
type configuration struct {
	revisions []Revision
	// plan is the compressed plan of the last whole revision, planDeltas lead
	// from it to that of the last entry.
	plan       []byte
	planDeltas [][]byte
	// withText counts the newest revisions that keep their text, textBytes is
	// their size.
	withText  int
	textBytes int
}

func (c *configuration) latest() Revision {
	if len(c.revisions) == 0 {
		return Revision{}
	}
	return c.revisions[len(c.revisions)-1]
}

// append adds a revision; texts is how many revisions may keep their text.
func (c *configuration) append(revision Revision, texts int, limits Limits) {
	c.revisions = append(c.revisions, revision)
	c.withText++
	c.textBytes += revision.textSize()
	for c.withText > texts || c.textBytes > limits.TextBytes {
		if !c.dropOldestChain() {
			break
		}
	}
	if excess := len(c.revisions) - max(limits.Revisions, c.withText); excess > 0 {
		c.revisions = append([]Revision(nil), c.revisions[excess:]...)
	}
}

// Latest returns the newest revision; its number is 0 on an empty history.
func (m *Machine) Latest() Revision { return m.config.latest() }

// CompressedPlan returns the plan of the last revision that was submitted
// whole; PlanDeltas lead from it to that of the latest one. The caller must not
// change it.
func (m *Machine) CompressedPlan() []byte { return m.config.plan }

// PlanDeltas returns the encoded plan deltas of the revisions since the last
// one that was submitted whole. The caller must not change them.
func (m *Machine) PlanDeltas() [][]byte { return m.config.planDeltas }

// Revision returns a revision by number, and whether it is still kept.
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

// applyChange decides a submitted configuration: it is accepted only when the
// latest revision is the one that it was written against.
func (m *Machine) applyChange(command *v1.ChangeCommand) ChangeResult {
	if first, known := m.ChangeResult(command.GetChangeId(), command.GetRequestHash()); known {
		return first
	}
	result := m.decideChange(command)
	m.changes.remember(command.GetChangeId(), command.GetRequestHash(), result, m.now, m.limits)
	m.recordChange(command, result)
	return result
}

func (m *Machine) decideChange(command *v1.ChangeCommand) ChangeResult {
	latest := m.config.latest()
	if command.GetInvalid() != "" {
		return ChangeResult{Result: v1.ApplyResult_APPLY_RESULT_INVALID, Revision: latest.Number, Detail: command.GetInvalid()}
	}
	if command.GetExpectedRevision() != latest.Number {
		return conflict(command.GetExpectedRevision(), latest)
	}
	if refusal := m.refuseDelta(command); refusal != "" {
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
	m.config.takePlan(command)
	m.config.append(revision, m.texts(), m.limits)
	return ChangeResult{Result: v1.ApplyResult_APPLY_RESULT_ACCEPTED, Revision: revision.Number}
}

func conflict(expected uint64, latest Revision) ChangeResult {
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

// recordChange writes the decision to the journal in the same command, so that
// no crash can separate the two.
func (m *Machine) recordChange(command *v1.ChangeCommand, result ChangeResult) {
	kind, detail := eventjournal.KindChangeRefused, result.Detail
	if result.Result == v1.ApplyResult_APPLY_RESULT_ACCEPTED {
		kind, detail = eventjournal.KindChangeAccepted, fmt.Sprintf("revision %d", result.Revision)
	}
	id := "change/" + command.GetChangeId()
	by := fmt.Sprintf("by %s: ", command.GetAuthor())
	detail = fmt.Sprintf("%s%s (change %s)", by, detail, command.GetChangeId())
	if kind == eventjournal.KindChangeRefused && m.journal.repeat(m.Now(), controlSource, string(kind), by) {
		return
	}
	m.record(id, kind, "", detail)
}
