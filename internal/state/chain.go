package state

import (
	"slices"

	"github.com/cockroachdb/errors"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Formats of the state. A format says what commands may hold and which bounds
// hold, so that voters of two versions of the program, which apply the same
// log, keep equal states: the change from one to the next is a command too.
const (
	// formatWhole: each revision is submitted and kept whole.
	formatWhole uint32 = 1
	// formatDeltas: a revision may be the difference from the one before.
	formatDeltas uint32 = 2
	// LatestFormat is the newest format that this program knows.
	LatestFormat = formatDeltas
)

// Format returns the format of the state.
func (m *Machine) Format() uint32 { return m.format }

// applyFormat raises the format. It never goes back, since a program that knew
// only the old one could not read what was committed under the new one.
func (m *Machine) applyFormat(command *v1.FormatCommand) error {
	if command.GetFormat() > LatestFormat {
		return errors.Newf("the state is of format %d, this program knows up to %d", command.GetFormat(), LatestFormat)
	}
	m.format = max(m.format, command.GetFormat())
	return nil
}

// texts is how many revisions may keep their text. Texts leave by whole chains,
// so that a chain more than Revisions keeps at least Revisions of them.
func (m *Machine) texts() int {
	if m.format < formatDeltas {
		return m.limits.Texts
	}
	return m.limits.Revisions + m.limits.ChainLength
}

// DeltaFits reports whether a revision after the latest one may be submitted as
// differences of a number of bytes. The answer holds for as long as the latest
// revision is the latest: what leads to it is not touched by anything else.
func (m *Machine) DeltaFits(textBytes, planBytes int) bool {
	latest := m.config.latest()
	if m.format < formatDeltas || latest.Number == 0 || latest.TextDropped {
		return false
	}
	whole, deltas, _ := m.TextChain(latest.Number)
	// A chain is at most twice as large as its whole text, or by ChainBytes
	// larger, so that TextBytes holds even if one chain is all that is kept.
	return len(deltas) < m.limits.ChainLength &&
		totalSize(deltas)+textBytes <= max(len(whole), m.limits.ChainBytes) &&
		totalSize(m.config.planDeltas)+planBytes <= max(len(m.config.plan), m.limits.ChainBytes)
}

func totalSize(parts [][]byte) int {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	return total
}

// refuseDelta says why a change can't be taken as differences, or "". The leader
// asked DeltaFits of the same revision, since the comparison of the expected
// revision has passed; so a refusal means a faulty leader. It is the same on all
// voters, because it depends on nothing but their equal states.
func (m *Machine) refuseDelta(command *v1.ChangeCommand) string {
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

// takePlan keeps the plan of an accepted change.
func (c *configuration) takePlan(command *v1.ChangeCommand) {
	if delta := command.GetPlanDelta(); len(delta) > 0 {
		c.planDeltas = append(c.planDeltas, delta)
		return
	}
	c.plan, c.planDeltas = command.GetCompressedPlan(), nil
}

// dropOldestChain drops the oldest whole text that is kept, with the differences
// that build on it. It returns false when the latest revision is one of them.
func (c *configuration) dropOldestChain() bool {
	first := len(c.revisions) - c.withText
	after := first + 1
	for after < len(c.revisions) && c.revisions[after].isDelta() {
		after++
	}
	if after == len(c.revisions) {
		return false
	}
	for index := first; index < after; index++ {
		revision := &c.revisions[index]
		c.textBytes -= revision.textSize()
		revision.CompressedText, revision.TextDelta, revision.TextDropped = nil, nil, true
	}
	c.withText -= after - first
	return true
}

// TextChain returns what the text of a revision is rebuilt from: a whole text as
// it was submitted, and the differences that lead from it to the revision's
// (textdelta.Rebuild), at most Limits.ChainLength. It returns false when the
// text is not kept. The caller must not change them.
func (m *Machine) TextChain(number uint64) (whole []byte, deltas [][]byte, kept bool) {
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
