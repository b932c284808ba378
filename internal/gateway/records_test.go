package gateway

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestGreatestRecordsAgreesWithSortingAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		var parts [][]byte
		var all [][]byte
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			// Few distinct values, so that equal records occur; a trailing fragment is no
			// record.
			body := rapid.SliceOfN(rapid.ByteRange(0, 1), 0, 100).Draw(t, "body")
			parts = append(parts, body)
			for record := range slices.Chunk(body, recordBytes) {
				if len(record) == recordBytes {
					all = append(all, record)
				}
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := slices.Concat(all[:min(limit, len(all))]...)
		require.Equal(t, append([]byte{}, want...), append([]byte{}, greatestRecords(parts, limit)...))
	})
}

// BenchmarkGreatestRecords merges the parts of one cell.
func BenchmarkGreatestRecords(b *testing.B) {
	parts := make([][]byte, 14)
	for number := range parts {
		parts[number] = make([]byte, 1000)
		for index := range parts[number] {
			parts[number][index] = byte(index*(number+7) + index/16*31)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		greatestRecords(parts, 50)
	}
}
