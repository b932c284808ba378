package isolation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/isolation"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestOnlyAFailureAfterSilenceIsSuspected(t *testing.T) {
	var detector isolation.Detector
	require.True(t, detector.ShouldProbe(origin), "no message was ever received")
	detector.ObserveContact(origin)
	require.False(t, detector.ShouldProbe(origin.Add(isolation.QuietTime)))
	require.True(t, detector.ShouldProbe(origin.Add(isolation.QuietTime+1)))
	detector.ObserveRound(isolation.Round{OwnZone: 1})
	require.False(t, detector.ShouldProbe(origin.Add(time.Hour)), "probes are already in flight")
}

func TestRoundsWithoutOtherZonesIsolateUntilOneAnswers(t *testing.T) {
	var detector isolation.Detector
	require.Equal(t, isolation.Uncertain, detector.ObserveRound(isolation.Round{OwnZone: 2}))
	require.Equal(t, isolation.Isolated, detector.ObserveRound(isolation.Round{OwnZone: 1}))
	require.Equal(t, isolation.Isolated, detector.ObserveRound(isolation.Round{}))
	require.Equal(t, isolation.Connected, detector.ObserveRound(isolation.Round{OtherZones: 1}))
	require.Equal(t, isolation.Uncertain, detector.ObserveRound(isolation.Round{OwnZone: 2}))
}

// TestRouterWithoutAnyAnswerIsNotIsolated checks rounds without any answer: the router may
// itself be paused, slow or disconnected.
func TestRouterWithoutAnyAnswerIsNotIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var detector isolation.Detector
		for range rapid.IntRange(1, 50).Draw(t, "rounds") {
			others := rapid.IntRange(0, 1).Draw(t, "others")
			require.NotEqual(t, isolation.Isolated, detector.ObserveRound(isolation.Round{OtherZones: others}))
		}
	})
}
