package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/quota"
)

// TestRouterRecallsWhatItAdmitted replaces the ledger, as a change of the leader does: the router
// must send the new one what it admitted under the one before, and what it reports once.
func TestRouterRecallsWhatItAdmitted(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echoTenant})
	document := withTenants(1)
	document.Tenants[0].Rate, document.Tenants[0].Burst = 1, 500
	setLedger := func(since time.Time) {
		s.directory.mutex.Lock()
		defer s.directory.mutex.Unlock()
		s.directory.ledger = quota.NewLedger(quota.Tolerance{Slack: 20, Window: time.Minute})
		s.directory.ledger.SetLimits(since, quota.LimitsOf(document.Tenants))
	}
	setLedger(time.Now().Add(-time.Hour))
	s.install(document)
	for range 3 {
		require.Equal(t, http.StatusOK, s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status)
	}
	setLedger(time.Now())
	// A message may fail on a busy machine; the request is then refused and counts nowhere.
	require.Eventually(t, func() bool {
		return s.sendWith(keyHeaders("first"), http.MethodGet, "/a/", nil).status == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	passed := func() (count int) {
		s.directory.mutex.Lock()
		defer s.directory.mutex.Unlock()
		if s.directory.recalled.Recall != nil {
			for _, each := range s.directory.recalled.Recall.Passed["one"] {
				count += each.Count
			}
		}
		return count
	}
	require.Eventually(t, func() bool { return passed() == 4 }, 10*time.Second, time.Millisecond)
	s.directory.mutex.Lock()
	defer s.directory.mutex.Unlock()
	require.LessOrEqual(t, s.directory.ledger.Usage(time.Now())[0].Spent, uint64(4))
}

// TestRefusedRequestsAreToldTimesInOrder guards against a spread that has requests come back
// before the tokens that they were promised.
func TestRefusedRequestsAreToldTimesInOrder(t *testing.T) {
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": echoTenant})
	document := withTenants(1)
	document.Tenants[0].Rate, document.Tenants[0].Burst = 20, 1
	s.directory.mutex.Lock()
	s.directory.ledger = quota.NewLedger(quota.Tolerance{})
	s.directory.ledger.SetLimits(time.Now().Add(-time.Hour), quota.LimitsOf(document.Tenants))
	s.directory.metered = []string{"one"}
	s.directory.mutex.Unlock()
	s.install(document)
	require.Eventually(t, func() bool { return strings.Contains(logOf(s), "metered_tenants_changed") }, 10*time.Second, time.Millisecond)
	var told []time.Time
	for number := range 12 {
		got := s.sendWith(keyHeaders("first"), http.MethodGet, "/a/"+strconv.Itoa(number), nil)
		if got.status != http.StatusTooManyRequests {
			continue
		}
		after, err := time.ParseDuration(got.header.Get("Retry-After"))
		require.NoError(t, err)
		told = append(told, time.Now().Add(after))
	}
	require.NotEmpty(t, told)
	for index := 1; index < len(told); index++ {
		require.Greater(t, told[index].Sub(told[index-1]), 25*time.Millisecond, "tokens come each 50 ms")
	}
}
