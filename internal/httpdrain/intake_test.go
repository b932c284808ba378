package httpdrain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(seconds int) time.Time { return origin.Add(time.Duration(seconds) * time.Second) }

func TestIntakeRefusesTheSlowestReader(t *testing.T) {
	intake := NewIntake(100 << 10)
	slow, served, ordinary := &Conn{}, &Conn{}, &Conn{}
	require.Empty(t, intake.take(served, 40<<10, after(0)))
	intake.completed(served)
	require.Empty(t, intake.take(slow, 40<<10, after(1)))
	require.Equal(t, []*Conn{slow}, intake.take(ordinary, 30<<10, after(2)))
	require.EqualValues(t, 110<<10, intake.Held())
	intake.release(slow)
	require.EqualValues(t, 70<<10, intake.Held())
	intake.release(served)
	intake.release(ordinary)
	require.Zero(t, intake.Held())
}

func TestIntakeRefusesTheNewestWhereNothingCanYield(t *testing.T) {
	intake := NewIntake(100 << 10)
	served, newest := &Conn{}, &Conn{}
	require.Empty(t, intake.take(served, 90<<10, after(0)))
	intake.completed(served)
	require.Equal(t, []*Conn{newest}, intake.take(newest, 20<<10, after(1)))
}

func TestIntakeKeepsAPartForSmallRequests(t *testing.T) {
	intake := NewIntake(1000 << 10)
	for number := range 7 {
		large := &Conn{}
		require.Empty(t, intake.take(large, 100<<10, after(number)))
		intake.completed(large)
	}
	further, small := &Conn{}, &Conn{}
	require.Equal(t, []*Conn{further}, intake.take(further, 100<<10, after(8)))
	require.Empty(t, intake.take(small, 60<<10, after(9)))
}

func TestIntakeServesASingleRequestOfAnyCost(t *testing.T) {
	intake := NewIntake(1 << 10)
	only := &Conn{}
	require.Empty(t, intake.take(only, 1<<20, after(0)))
	require.Empty(t, intake.take(only, 1<<20, after(1)))
}

// TestIntakeKeepsARequestThatWasReadMeanwhile checks that a request which has been read completely
// is served, although it had been chosen to yield.
func TestIntakeKeepsARequestThatWasReadMeanwhile(t *testing.T) {
	intake := NewIntake(100 << 10)
	chosen, other := &Conn{}, &Conn{}
	require.Empty(t, intake.take(chosen, 60<<10, after(0)))
	require.Equal(t, []*Conn{chosen}, intake.take(other, 60<<10, after(1)))
	intake.completed(chosen)
	require.EqualValues(t, 120<<10, intake.Held())
	intake.release(chosen)
	require.EqualValues(t, 60<<10, intake.Held())
}

// TestHeadIsMeasuredHoweverItArrives feeds each head in pieces of every size.
func TestHeadIsMeasuredHoweverItArrives(t *testing.T) {
	heads := []struct {
		text  string
		lines int
	}{
		{"GET / HTTP/1.1\r\nHost: a\r\nb:\r\n\r\n", 4},
		{"GET / HTTP/1.1\nHost: a\n\n", 3},
		{"\r\n", 1},
	}
	for _, head := range heads {
		for size := 1; size <= len(head.text); size++ {
			var scanner headScanner
			text := []byte(head.text + "body\n\n")
			for len(text) > 0 {
				piece := text[:min(size, len(text))]
				text = text[len(piece):]
				scanner.scan(piece)
			}
			require.True(t, scanner.complete, "%q in pieces of %d", head.text, size)
			require.Equal(t, len(head.text), scanner.size, "%q in pieces of %d", head.text, size)
			require.Equal(t, head.lines, scanner.lines, "%q in pieces of %d", head.text, size)
		}
	}
}
