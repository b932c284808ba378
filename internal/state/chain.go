package state

import (
	"slices"

	"github.com/cockroachdb/errors"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Formats of the state. A format defines which fields commands may carry and
// which limits apply. Voters that run different program versions apply the same
// log and must reach equal states, so the format is raised by a command.
const (
	// formatFullText stores the full text and plan of every revision.
	formatFullText uint32 = 1
	// formatDeltas allows a revision to be stored as a delta from its predecessor.
	formatDeltas uint32 = 2
	// LatestFormat is the newest format that this program supports.
	LatestFormat = formatDeltas
)

// Format returns the format of the state.
func (m *Machine) Format() uint32 { return m.format }

// applyFormat raises the format. It never lowers it, because a program that
// supports only the old format cannot read commands committed under the new one.
func (m *Machine) applyFormat(command *v1.FormatCommand) error {
	if command.GetFormat() > LatestFormat {
		return errors.Newf("state format %d is newer than the latest supported format %d", command.GetFormat(), LatestFormat)
	}
	m.format = max(m.format, command.GetFormat())
	return nil
}

// maxTexts returns how many revisions may keep their text. Texts are dropped one
// chain at a time, so allowing one chain more than Limits.Revisions keeps the
// text of at least Limits.Revisions revisions.
func (m *Machine) maxTexts() int {
	if m.format < formatDeltas {
		return m.limits.Texts
	}
	return m.limits.Revisions + m.limits.ChainLength
}

// DeltaFits reports whether the next revision may be submitted as deltas of the
// given sizes. The result stays valid until another revision is accepted, because
// nothing else changes the chain that the latest revision is rebuilt from.
func (m *Machine) DeltaFits(textBytes, planBytes int) bool {
	latest := m.config.latest()
	if m.format < formatDeltas || latest.Number == 0 || latest.TextDropped {
		return false
	}
	full, deltas, _ := m.TextChain(latest.Number)
	// The deltas of a chain take at most the size of its full text, or ChainBytes
	// if that is more, so TextBytes holds even if only one chain is kept.
	return len(deltas) < m.limits.ChainLength &&
		totalSize(deltas)+textBytes <= max(len(full), m.limits.ChainBytes) &&
		totalSize(m.config.planDeltas)+planBytes <= max(len(m.config.plan), m.limits.ChainBytes)
}

func totalSize(parts [][]byte) int {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	return total
}

// deltaRefusal returns why a change can't be applied as deltas, or "" if it can.
// The expected revision has matched, so the leader has checked DeltaFits against
// the same revision and a refusal indicates a faulty leader. All voters refuse
// alike, since the result depends only on the replicated state.
func (m *Machine) deltaRefusal(command *v1.ChangeCommand) string {
	switch {
	case len(command.GetTextDelta()) == 0 && len(command.GetPlanDelta()) == 0:
		return ""
	case len(command.GetTextDelta()) == 0 || len(command.GetPlanDelta()) == 0:
		return "the change holds a difference of only one of text and plan"
	case !m.DeltaFits(len(command.GetTextDelta()), len(command.GetPlanDelta())):
		return "the change holds differences that the history has no room or no base for"
	default:
		return ""
	}
}

// setPlan stores the plan, or the plan delta, of an accepted change.
func (c *configuration) setPlan(command *v1.ChangeCommand) {
	if delta := command.GetPlanDelta(); len(delta) > 0 {
		c.planDeltas = append(c.planDeltas, delta)
		return
	}
	c.plan, c.planDeltas = command.GetCompressedPlan(), nil
}

// dropOldestChain drops the oldest full text that is kept, with the deltas based
// on it. It drops nothing and returns false if that chain contains the latest
// revision.
func (c *configuration) dropOldestChain() bool {
	first := len(c.revisions) - c.textCount
	end := first + 1
	for end < len(c.revisions) && c.revisions[end].isDelta() {
		end++
	}
	if end == len(c.revisions) {
		return false
	}
	for index := first; index < end; index++ {
		revision := &c.revisions[index]
		c.textBytes -= revision.textSize()
		revision.CompressedText, revision.TextDelta, revision.TextDropped = nil, nil, true
	}
	c.textCount -= end - first
	return true
}

// TextChain returns the full text and the deltas, at most Limits.ChainLength, from
// which textdelta.Rebuild restores the text of a revision. It returns false if the
// text is no longer kept. The caller must not modify the returned slices.
func (m *Machine) TextChain(number uint64) (full []byte, deltas [][]byte, kept bool) {
	revision, found := m.Revision(number)
	if !found || revision.TextDropped {
		return nil, nil, false
	}
	for index := int(number - m.config.revisions[0].Number); index >= 0; index-- {
		revision := &m.config.revisions[index]
		if !revision.isDelta() {
			slices.Reverse(deltas)
			return revision.CompressedText, deltas, true
		}
		deltas = append(deltas, revision.TextDelta)
	}
	return nil, nil, false
}
