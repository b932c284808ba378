package state

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/textdelta"
)

// chainLimits returns limits small enough that a short test reaches every bound on
// texts.
func chainLimits() Limits {
	limits := smallLimits()
	limits.Revisions, limits.Texts, limits.TextBytes = 12, 3, 1500
	limits.ChainLength, limits.ChainBytes = 5, 300
	return limits
}

func formatCommand(format uint32) *v1.StateCommand {
	return &v1.StateCommand{Body: &v1.StateCommand_Format{Format: &v1.FormatCommand{Format: format}}}
}

// submit applies a change as a leader does, with deltas if they fit. Texts are not
// compressed, and the text also serves as the plan.
func (h *harness) submit(id, base, text string) ChangeResult {
	command := &v1.ChangeCommand{
		ChangeId: id, ExpectedRevision: h.machine.Latest().Number, RequestHash: ApplyHash(text, 0),
		CompressedText: []byte(text), CompressedPlan: []byte(text), Author: id,
	}
	delta, err := textdelta.Make(base, text)
	require.NoError(h.t, err)
	if h.machine.DeltaFits(len(delta), len(delta)) {
		command.CompressedText, command.CompressedPlan = nil, nil
		command.TextDelta, command.PlanDelta = delta, delta
	}
	return h.apply(&v1.StateCommand{Body: &v1.StateCommand_Change{Change: command}}).Change
}

// rebuildText rebuilds the text of a revision and reports whether it is kept.
func (h *harness) rebuildText(number uint64) (string, bool) {
	full, deltas, kept := h.machine.TextChain(number)
	if !kept {
		return "", false
	}
	require.LessOrEqual(h.t, len(deltas), h.machine.limits.ChainLength)
	text, err := textdelta.Rebuild(full, deltas)
	require.NoError(h.t, err)
	return string(text), true
}

// TestDeltaHistoryIsRebuilt submits random sequences of texts, with restarts and the
// change of format at random points. It checks that every kept text and the plan
// are rebuilt byte for byte and that no bound is exceeded.
func TestDeltaHistoryIsRebuilt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, chainLimits())
		var texts []string // by accepted revision
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "group x {\n", "é"}), 0, 30)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				base := ""
				if len(texts) > 0 {
					base = texts[len(texts)-1]
				}
				text := strings.Join(lines.Draw(t, "text"), "")
				if rapid.Bool().Draw(t, "edit") {
					text = base + "c\n"
				}
				result := h.submit(fmt.Sprint("change-", len(texts)), base, text)
				require.Equal(t, accepted, result.Result, result.Detail)
				texts = append(texts, text)
			},
			"format":  func(*rapid.T) { h.apply(formatCommand(LatestFormat)) },
			"restart": h.restart,
			"":        func(*rapid.T) { h.requireTexts(texts) },
		})
	})
}

// requireTexts checks the bounds and compares the kept texts with the accepted ones.
func (h *harness) requireTexts(texts []string) {
	config, limits := &h.machine.config, h.machine.limits
	largest := 0
	for _, text := range texts {
		largest = max(largest, len(text))
	}
	require.LessOrEqual(h.t, config.textBytes, max(limits.TextBytes, largest+max(largest, limits.ChainBytes)))
	require.LessOrEqual(h.t, len(config.revisions), limits.Revisions+limits.ChainLength)
	require.LessOrEqual(h.t, totalSize(config.planDeltas), max(len(config.plan), limits.ChainBytes))
	kept := 0
	for index, want := range texts {
		got, found := h.rebuildText(uint64(index + 1))
		if found {
			kept++
			require.Equal(h.t, want, got, "revision %d", index+1)
		}
	}
	require.Equal(h.t, config.textCount, kept)
	if len(texts) == 0 {
		return
	}
	plan, err := textdelta.Rebuild(h.machine.CompressedPlan(), h.machine.PlanDeltas())
	require.NoError(h.t, err)
	require.Equal(h.t, texts[len(texts)-1], string(plan))
	_, latestKept := h.rebuildText(uint64(len(texts)))
	require.True(h.t, latestKept)
	for _, listed := range h.machine.History(len(texts)) {
		require.Empty(h.t, listed.CompressedText)
		require.Empty(h.t, listed.TextDelta)
	}
}

// TestDeltasRequireFormat2 checks that deltas are neither accepted nor written to a
// snapshot before the format is raised, and that the format is never lowered.
func TestDeltasRequireFormat2(t *testing.T) {
	h := newHarness(t, chainLimits())
	h.submit("one", "", "text\n")
	require.False(t, h.machine.DeltaFits(0, 0))
	delta, err := textdelta.Make("text\n", "text\nmore\n")
	require.NoError(t, err)
	change := func(id string) ChangeResult {
		return h.apply(&v1.StateCommand{Body: &v1.StateCommand_Change{Change: &v1.ChangeCommand{
			ChangeId: id, ExpectedRevision: 1, TextDelta: delta, PlanDelta: delta,
		}}}).Change
	}
	require.Equal(t, invalid, change("early").Result)
	before, err := h.machine.Snapshot()
	require.NoError(t, err)
	require.EqualValues(t, formatFullText, before[len(snapshotMagic)])

	h.apply(formatCommand(formatDeltas))
	h.apply(formatCommand(formatFullText))
	require.Equal(t, formatDeltas, h.machine.Format())
	require.Equal(t, accepted, change("late").Result)
	require.Equal(t, invalid, change("early").Result, "a resend gets the first answer")
	after, err := h.machine.Snapshot()
	require.NoError(t, err)
	require.EqualValues(t, formatDeltas, after[len(snapshotMagic)])
	h.reload()

	data, err := Encode(h.now, formatCommand(LatestFormat+1))
	require.NoError(t, err)
	_, err = h.machine.Apply(data)
	require.ErrorContains(t, err, "format 3")
}

// TestConcurrentDeltas submits two changes against the same revision, both as
// deltas. The second must be refused and change neither text nor plan.
func TestConcurrentDeltas(t *testing.T) {
	h := newHarness(t, chainLimits())
	h.apply(formatCommand(LatestFormat))
	h.submit("one", "", "text\n")
	for index, text := range []string{"text\nfirst\n", "text\nsecond\n"} {
		delta, err := textdelta.Make("text\n", text)
		require.NoError(t, err)
		result := h.apply(&v1.StateCommand{Body: &v1.StateCommand_Change{Change: &v1.ChangeCommand{
			ChangeId: text, ExpectedRevision: 1, TextDelta: delta, PlanDelta: delta,
		}}}).Change
		require.Equal(t, []v1.ApplyResult{accepted, refused}[index], result.Result)
	}
	h.requireTexts([]string{"text\n", "text\nfirst\n"})
}

// TestRestoreRejectsDeltaWithoutBase corrupts a snapshot so that it contains a delta
// but not the text that the delta is based on.
func TestRestoreRejectsDeltaWithoutBase(t *testing.T) {
	h := newHarness(t, chainLimits())
	h.apply(formatCommand(LatestFormat))
	h.submit("one", "", "text\n")
	h.submit("two", "text\n", "text\nmore\n")
	require.NotEmpty(t, h.machine.Latest().TextDelta)
	h.machine.config.revisions[0].TextDropped = true
	snapshot, err := h.machine.Snapshot()
	require.NoError(t, err)
	require.ErrorContains(t, New(chainLimits()).Restore(snapshot), "revision 2 as the difference from a text")
}

// serverLine returns a configuration line for a server; all have the same length.
func serverLine(network, server int) string {
	return fmt.Sprintf("\t\t\treplica 127.%03d.%03d.%03d:9 zone zone-%02d\n", network, server>>8, server&0xff, server%26)
}

// TestTenThousandRevisionsAreKept submits Limits.Revisions texts of a large
// configuration, each with one line changed, and checks that samples of all of them
// can be rebuilt.
func TestTenThousandRevisionsAreKept(t *testing.T) {
	// The uncompressed text is as large as the compressed text of 57,000 servers.
	const servers, spotChecks, step = 7_700, 40, 7919
	limits := DefaultLimits()
	h := newHarness(t, limits)
	h.apply(formatCommand(LatestFormat))
	var text []byte
	for server := range servers {
		text = append(text, serverLine(64, server)...)
	}
	width := len(serverLine(64, 0))
	checked := map[uint64][]byte{}
	for number := range limits.Revisions {
		command := &v1.ChangeCommand{ChangeId: fmt.Sprint("change-", number), ExpectedRevision: uint64(number), Author: "malee"}
		base := bytes.Clone(text)
		server := number * step % servers
		copy(text[server*width:], serverLine(65+number%100, server))
		if delta, err := textdelta.Make(string(base), string(text)); err == nil && h.machine.DeltaFits(len(delta), len(delta)) {
			command.TextDelta, command.PlanDelta = delta, delta
		} else {
			command.CompressedText = bytes.Clone(text)
			command.CompressedPlan = command.CompressedText
		}
		require.Equal(t, accepted, h.machine.applyChange(command).Result)
		if number%(limits.Revisions/spotChecks) == 0 || number == limits.Revisions-1 {
			checked[uint64(number+1)] = bytes.Clone(text)
		}
	}
	h.reload()
	require.LessOrEqual(t, h.machine.config.textBytes, limits.TextBytes)
	for number, want := range checked {
		got, kept := h.rebuildText(number)
		require.True(t, kept, "revision %d", number)
		require.True(t, string(want) == got, "revision %d", number)
	}
	t.Logf("%d revisions with text in %d bytes, of %d", h.machine.config.textCount, h.machine.config.textBytes, limits.TextBytes)
}

// TestDeltaSnapshotIsReadable restores the snapshot of version 2 in testdata and
// checks that it is written again byte for byte.
func TestDeltaSnapshotIsReadable(t *testing.T) {
	path := filepath.Join("testdata", "snapshot-v2.bin")
	texts := []string{"a\nb\nc\n", "a\nchanged\nc\n", "a\nchanged\nc\nd\n"}
	if *writeGolden {
		h := newHarness(t, DefaultLimits())
		h.apply(formatCommand(formatDeltas))
		for index, text := range texts {
			h.submit(fmt.Sprint("change-", index), append([]string{""}, texts...)[index], text)
		}
		data, err := h.machine.Snapshot()
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, data, 0o644))
	}
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.EqualValues(t, formatDeltas, data[len(snapshotMagic)])
	h := newHarness(t, DefaultLimits())
	require.NoError(t, h.machine.Restore(data))
	require.Len(t, h.machine.PlanDeltas(), 2)
	h.requireTexts(texts)
	again, err := h.machine.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
}
