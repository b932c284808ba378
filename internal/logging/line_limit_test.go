package logging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLinesOfOneKindAreBounded(t *testing.T) {
	var bounded LineLimit
	start := time.Unix(1000, 0)
	for range maxLinesASecond {
		leftOut, tells := bounded.Take(start)
		require.True(t, tells)
		require.Zero(t, leftOut)
	}
	for range 7 {
		_, tells := bounded.Take(start.Add(time.Second - 1))
		require.False(t, tells)
	}
	leftOut, tells := bounded.Take(start.Add(time.Second))
	require.True(t, tells)
	require.Equal(t, 7, leftOut)
}
