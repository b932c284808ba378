package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// fullMachine returns a machine filled to about its default limits.
func fullMachine(b *testing.B) *Machine {
	limits := DefaultLimits()
	machine := New(limits)
	machine.now = 1_700_000_000_000
	text := []byte(strings.Repeat("x", limits.TextBytes/limits.Texts))
	for number := range limits.Revisions {
		machine.applyChange(&v1.ChangeCommand{
			ChangeId: fmt.Sprintf("%026d", number), ExpectedRevision: uint64(number), RequestHash: ApplyHash(fmt.Sprint(number), 0),
			CompressedText: text, CompressedPlan: text, Author: "somchai", Comment: "a replica was replaced",
		})
	}
	detail := strings.Repeat("x", limits.ChangeBytes/limits.Changes)
	for number := range limits.Changes {
		machine.applyChange(&v1.ChangeCommand{ChangeId: fmt.Sprintf("refused-%026d", number), Invalid: detail, Author: "somchai"})
	}
	for number := 0; machine.claims.liveBytes+200 < limits.ClaimBytes; number++ {
		machine.claims.claim(&v1.ClaimOperation{
			RequestId: fmt.Sprintf("%036d", number), Holder: "router-17/1764658800000000000", Call: uint64(number + 1),
			Digest: "0123456789abcdef", ExpiryMs: 3_600_000,
		}, machine.now, limits)
	}
	for number := range limits.ClaimIDs - len(machine.claims.live) {
		machine.claims.addTombstone(tombstone{id: hashID(fmt.Sprint(number)), removeAt: machine.now + int64(number)*30})
	}
	return machine
}

// BenchmarkSnapshotAtBounds measures the size of a snapshot of a state at its
// limits, and the time to write and to restore it.
func BenchmarkSnapshotAtBounds(b *testing.B) {
	machine := fullMachine(b)
	var data []byte
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			var err error
			data, err = machine.Snapshot()
			require.NoError(b, err)
		}
		b.ReportMetric(float64(len(data))/(1<<20), "MiB")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			require.NoError(b, New(DefaultLimits()).Restore(data))
		}
	})
	b.Logf("%d revisions, %d results, %d claims, %d expired ids, %d events", len(machine.config.revisions),
		len(machine.changes.order), len(machine.claims.live), len(machine.claims.tombstones), len(machine.journal.all()))
}

// BenchmarkIDSet compares idSet with a map, both filled to Limits.ClaimIDs.
func BenchmarkIDSet(b *testing.B) {
	hashes := make([]idHash, DefaultLimits().ClaimIDs)
	for index := range hashes {
		hashes[index] = hashID(fmt.Sprint(index))
	}
	b.Run("set", func(b *testing.B) {
		for b.Loop() {
			set := newIDSet(len(hashes))
			for _, hash := range hashes {
				set.add(hash)
			}
		}
	})
	b.Run("map", func(b *testing.B) {
		for b.Loop() {
			set := make(map[idHash]struct{}, len(hashes))
			for _, hash := range hashes {
				set[hash] = struct{}{}
			}
		}
	})
}
