package textdelta

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawText draws a text from few distinct lines, so that copies have several possible
// sources, with or without a line break at the end.
func drawText(t *rapid.T, label string) []byte {
	line := rapid.SampledFrom([]string{"\t\t}\n", "group a {\n", "group b {\n", "replica 1\n", "replica 2\n", "é\n", "x", "\n", "\x00\xff\n"})
	return []byte(strings.Join(rapid.SliceOfN(line, 0, 40).Draw(t, label), ""))
}

// edit replaces a random range of a text, not aligned to lines.
func edit(t *rapid.T, text []byte) []byte {
	from := rapid.IntRange(0, len(text)).Draw(t, "from")
	to := rapid.IntRange(from, min(len(text), from+20)).Draw(t, "to")
	return slices.Concat(text[:from], drawText(t, "replacement"), text[to:])
}

// TestChainIsRebuilt checks that every text in a sequence of edits and unrelated texts
// is rebuilt byte for byte from the first text and the deltas.
func TestChainIsRebuilt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := [][]byte{drawText(t, "first")}
		var deltas [][]byte
		for range rapid.IntRange(1, 12).Draw(t, "length") {
			last := texts[len(texts)-1]
			next := edit(t, last)
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				next = drawText(t, "unrelated")
			}
			delta, err := Make(string(last), string(next))
			require.NoError(t, err)
			again, err := Make(string(last), string(next))
			require.NoError(t, err)
			require.Equal(t, delta, again)
			texts, deltas = append(texts, next), append(deltas, delta)
		}
		for index := range texts {
			rebuilt, err := Rebuild(texts[0], deltas[:index])
			require.NoError(t, err)
			require.True(t, bytes.Equal(texts[index], rebuilt), "text %d", index)
		}
	})
}

// TestCorruptDeltaFails changes or truncates a delta, or applies it to another base.
// The result must be an error or the right text, never a panic.
func TestCorruptDeltaFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := drawText(t, "base")
		next := edit(t, base)
		delta, err := Make(string(base), string(next))
		require.NoError(t, err)
		damaged := bytes.Clone(delta)
		at := rapid.IntRange(0, len(damaged)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			damaged = damaged[:at]
		} else {
			damaged[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		rebuilt, err := Apply(base, damaged)
		if err == nil {
			require.True(t, bytes.Equal(next, rebuilt))
			return
		}
		require.ErrorContains(t, err, "delta")
		if other := edit(t, base); !bytes.Equal(other, base) {
			_, err = Apply(other, delta)
			require.ErrorContains(t, err, "made for another text")
		}
	})
}

// largeText returns a text with the given number of lines.
func largeText(lines int) []byte {
	var text bytes.Buffer
	for line := range lines {
		fmt.Fprintf(&text, "\t\t\treplica 10.%d.%d.%d:7000 zone z%d\n", line>>16, line>>8&0xff, line&0xff, line%26)
	}
	return text.Bytes()
}

// TestDeltaIsSmall checks that the size of a delta depends on the edit and not on the
// text, also if edits are far apart or a block was moved.
func TestDeltaIsSmall(t *testing.T) {
	base := largeText(20_000)
	lines := bytes.SplitAfter(base, []byte("\n"))
	moved := slices.Concat(lines[:100], lines[5000:6000], lines[100:5000], lines[6000:])
	cases := map[string]struct {
		next []byte
		most int
	}{
		"nothing changed":  {base, 40},
		"one line":         {bytes.Replace(base, []byte("10.0.9.9:"), []byte("10.9.9.9:"), 1), 110},
		"two lines apart":  {bytes.Replace(bytes.Replace(base, []byte("10.0.9.9:"), []byte("10.9.9.9:"), 1), []byte("10.0.70.9:"), []byte("10.9.9.8:"), 1), 200},
		"a block moved":    {bytes.Join(moved, nil), 60},
		"a line removed":   {slices.Concat(base[:1000], base[bytes.IndexByte(base[1000:], '\n')+1001:]), 110},
		"all lines remove": {nil, 40},
	}
	for name, test := range cases {
		delta, err := Make(string(base), string(test.next))
		require.NoError(t, err)
		require.LessOrEqual(t, len(delta), test.most, name)
		rebuilt, err := Apply(base, delta)
		require.NoError(t, err)
		require.True(t, bytes.Equal(test.next, rebuilt), name)
	}
}

// TestLongChainIsJoined checks a text that splits into more than maxPieces pieces.
func TestLongChainIsJoined(t *testing.T) {
	base := largeText(3 * maxPieces)
	lines := bytes.SplitAfter(base, []byte("\n"))
	for index := 0; index < len(lines)-1; index += 2 {
		lines[index] = []byte("changed\n")
	}
	next := bytes.Join(lines, nil)
	first, err := Make(string(base), string(next))
	require.NoError(t, err)
	second, err := Make(string(next), string(base))
	require.NoError(t, err)
	rebuilt, err := Rebuild(base, [][]byte{first, second})
	require.NoError(t, err)
	require.True(t, bytes.Equal(base, rebuilt))
}
