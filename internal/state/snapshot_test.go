package state

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

var writeGolden = flag.Bool("write-golden", false, "write the snapshot of the present version to testdata")

func goldenPath() string { return filepath.Join("testdata", "snapshot-v1.bin") }

// goldenCommands returns commands that fill every part of the state.
func goldenCommands() []*v1.StateCommand {
	change := func(id, text string, expected uint64) *v1.StateCommand {
		return &v1.StateCommand{Body: &v1.StateCommand_Change{Change: &v1.ChangeCommand{
			ChangeId: id, ExpectedRevision: expected, CompressedText: []byte(text), RequestHash: ApplyHash(text, 0),
			CompressedPlan: []byte("plan of " + text), Author: "somchai", Comment: "why",
		}}}
	}
	claims := &v1.ClaimBatch{Operations: []*v1.ClaimOperation{
		{RequestId: "expired", Holder: "router-1", Call: 1, Digest: "a", ExpiryMs: 1},
		{RequestId: "held", Holder: "router-1", Call: 2, Digest: "b", ExpiryMs: 60_000},
		{RequestId: "ran", Holder: "router-1", Call: 3, Digest: "c", ExpiryMs: 60_000},
		{RequestId: "ran", Holder: "router-1", Call: 3, Settle: v1.ClaimOutcome_CLAIM_OUTCOME_RAN},
	}}
	drain := &v1.DrainCommand{ChangeId: "d", Address: "127.0.0.1:9000", Draining: true, Author: "malee"}
	return []*v1.StateCommand{
		change("one", "first", 0),
		change("two", "second", 1),
		change("late", "third", 1),
		{Body: &v1.StateCommand_Claims{Claims: claims}},
		{Body: &v1.StateCommand_Drain{Drain: drain}},
	}
}

// TestOldSnapshotIsReadable restores the snapshot of version 1 in testdata.
func TestOldSnapshotIsReadable(t *testing.T) {
	if *writeGolden {
		machine := New(DefaultLimits())
		for index, command := range goldenCommands() {
			data, err := Encode(time.UnixMilli(1_700_000_000_000+int64(index)*10), command)
			require.NoError(t, err)
			_, err = machine.Apply(data)
			require.NoError(t, err)
		}
		data, err := machine.Snapshot()
		require.NoError(t, err)
		require.NoError(t, os.MkdirAll(filepath.Dir(goldenPath()), 0o755))
		require.NoError(t, os.WriteFile(goldenPath(), data, 0o644))
	}
	data, err := os.ReadFile(goldenPath())
	require.NoError(t, err)
	machine := New(DefaultLimits())
	require.NoError(t, machine.Restore(data))

	require.Equal(t, uint64(2), machine.Latest().Number)
	require.Equal(t, "second", string(machine.Latest().CompressedText))
	require.Equal(t, "plan of second", string(machine.CompressedPlan()))
	result, known := machine.ChangeResult("late", ApplyHash("third", 0))
	require.True(t, known)
	require.Equal(t, v1.ApplyResult_APPLY_RESULT_CONFLICT, result.Result)
	require.Equal(t, "somchai", result.WinnerAuthor)
	marks, version := machine.Drains()
	require.Equal(t, uint64(1), version)
	require.Equal(t, "127.0.0.1:9000", marks[0].Address)
	require.Len(t, machine.Events(EventFilter{Limit: 100}), 4)
	claim := func(id, digest string) ClaimResult {
		return machine.claims.claim(&v1.ClaimOperation{RequestId: id, Holder: "router-2", Call: 9, Digest: digest}, machine.now, machine.limits)
	}
	require.Equal(t, ClaimExpired, claim("expired", "a"))
	require.Equal(t, ClaimMayHaveRun, claim("held", "b"))
	require.Equal(t, ClaimRan, claim("ran", "c"))
}

// TestNewerSnapshotIsRefused checks that a snapshot of an unknown version is an
// error.
func TestNewerSnapshotIsRefused(t *testing.T) {
	data, err := New(DefaultLimits()).Snapshot()
	require.NoError(t, err)
	data[len(snapshotMagic)] = byte(snapshotVersion + 1)
	require.ErrorContains(t, New(DefaultLimits()).Restore(data), "version 3")
}

// FuzzRestore restores corrupt snapshots. The result must be an error or a state
// that can be written as a snapshot, never a panic.
func FuzzRestore(f *testing.F) {
	for _, name := range []string{"snapshot-v1.bin", "snapshot-v2.bin"} {
		golden, err := os.ReadFile(filepath.Join("testdata", name))
		require.NoError(f, err)
		f.Add(golden)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		machine := New(smallLimits())
		if machine.Restore(data) == nil {
			_, err := machine.Snapshot()
			require.NoError(t, err)
		}
	})
}

// FuzzApply applies corrupt commands, with the same requirement as FuzzRestore.
func FuzzApply(f *testing.F) {
	for _, command := range goldenCommands() {
		data, err := Encode(time.Unix(1_700_000_000, 0), command)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		machine := New(smallLimits())
		if _, err := machine.Apply(data); err != nil {
			return
		}
		_, err := machine.Snapshot()
		require.NoError(t, err)
	})
}
