package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestIDSetMatchesMap compares the set with a map. The hashes come from a small
// range that includes 0, so that they collide.
func TestIDSetMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, model := newIDSet(0), map[idHash]bool{}
		set.multiplier = rapid.Uint64().Draw(t, "multiplier") | 1
		hash := rapid.Map(rapid.Uint64Range(0, 300), func(value uint64) idHash { return idHash(value) })
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			value := hash.Draw(t, "hash")
			if rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				set.remove(value)
				delete(model, value)
			} else {
				set.add(value)
				model[value] = true
			}
		}
		for value := range idHash(301) {
			require.Equal(t, model[value], set.has(value), "%d", value)
		}
	})
}
