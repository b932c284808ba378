package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
)

func TestAnsweredRequestsAreRememberedForAWhile(t *testing.T) {
	var answered answeredRequests
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	popular := newFingerprinted(&message.Request{Method: "GET", Target: "/popular"})
	require.False(t, answered.contains(popular.fingerprint(), now))
	for range answeredSample {
		answered.record(popular, now)
	}
	require.True(t, answered.contains(popular.fingerprint(), now.Add(answeredLifetime)))
	require.False(t, answered.contains(popular.fingerprint(), now.Add(answeredLifetime+time.Second)))
	for number := range answeredSample * (maxAnsweredRequests + 10) {
		answered.record(newFingerprinted(&message.Request{Method: "GET", Target: fmt.Sprint("/other/", number)}), now.Add(time.Second))
	}
	require.Len(t, answered.at, maxAnsweredRequests)
	require.False(t, answered.contains(popular.fingerprint(), now), "the oldest is forgotten first")
}
