package directory

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestPackedDocumentKeepsTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "text")
		packed, err := PackDocument(text)
		require.NoError(t, err)
		unpacked, err := packed.Text()
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, unpacked))
		if len(packed) > 1 {
			_, err = packed[:rapid.IntRange(0, len(packed)-1).Draw(t, "cut")].Text()
			require.Error(t, err)
		}
	})
}

// TestLargeDocumentsAreCompressed packs a document with many routes over the same shards.
func TestLargeDocumentsAreCompressed(t *testing.T) {
	route := bytes.Repeat([]byte(`"shard-17","shard-18","shard-19",`), 50)
	text := bytes.Repeat(route, 350)
	packer := &documentPacker{}
	packed, err := packer.pack(3, text)
	require.NoError(t, err)
	require.Less(t, 50*len(packed), len(text))
	again, err := packer.pack(3, nil)
	require.NoError(t, err)
	require.Equal(t, packed, again)
	newer, err := packer.pack(4, []byte("other"))
	require.NoError(t, err)
	require.NotEqual(t, packed, newer)
}
