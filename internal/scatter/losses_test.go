package scatter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// TestServerThatLosesAnswersIsAvoided has the server of the own zone lose two answers in five,
// never two in a row: most requests must go to the server of the other zone.
func TestServerThatLosesAnswersIsAvoided(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.twoZones()
	count := map[string]int{}
	for range 400 {
		h.arrive(singleRoute(false))
		sent := h.take()[0]
		count[sent.Server.ID]++
		h.advance(10 * time.Millisecond)
		if sent.Server.ID == "s/a" && count["s/a"]%5 < 2 && count["s/a"]%2 == 0 {
			h.end(sent, failure(scatter.Broken, verdict.MayHaveRun))
		} else {
			h.end(sent, good("x"))
		}
		h.advance(20 * time.Millisecond)
	}
	require.Greater(t, count["s/b"], 300)
	require.Positive(t, count["s/a"], "the server is never tried again")
}

func TestServerThatLostAnAnswerOnceIsSoonPreferredAgain(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.twoZones()
	h.arrive(singleRoute(false))
	lost := h.take()[0]
	require.Equal(t, "s/a", lost.Server.ID)
	h.end(lost, failure(scatter.Broken, verdict.MayHaveRun))
	h.advance(5 * time.Second)
	for range 10 {
		h.arrive(singleRoute(false))
		sent := h.take()[0]
		require.Equal(t, "s/a", sent.Server.ID)
		h.advance(10 * time.Millisecond)
		h.end(sent, good("x"))
	}
}

// TestFewSlowAnswersAreEnoughToPreferAnotherServer makes the server of the own zone eight
// times slower: at most three of the next requests may go there.
func TestFewSlowAnswersAreEnoughToPreferAnotherServer(t *testing.T) {
	h := newHarness(t, ampleBudget)
	h.twoZones()
	request := func(slow time.Duration) string {
		h.arrive(singleRoute(false))
		sent := h.take()[0]
		took := 20 * time.Millisecond
		if sent.Server.ID == "s/a" {
			took = slow
		}
		h.advance(took)
		h.end(sent, good("x"))
		return sent.Server.ID
	}
	for range 50 {
		require.Equal(t, "s/a", request(20*time.Millisecond))
	}
	near := 0
	for range 20 {
		if request(160*time.Millisecond) == "s/a" {
			near++
		}
	}
	require.LessOrEqual(t, near, 3)
}
