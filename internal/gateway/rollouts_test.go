package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/rollout"
)

// setRollout publishes a phase of the rollout of s, and waits until the router has applied it.
func (s *site) setRollout(rule rollout.Rule) {
	s.t.Helper()
	s.directory.mutex.Lock()
	s.directory.reply.RolloutRevision++
	revision := s.directory.reply.RolloutRevision
	s.directory.reply.Rollouts = map[string]directory.RolloutRule{"s": {Rule: rule, Number: 1}}
	s.directory.mutex.Unlock()
	require.Eventually(s.t, func() bool {
		for _, entry := range s.logged.AllEntries() {
			if entry.Message == "rollout_changed" && entry.Data["revision"] == revision {
				return true
			}
		}
		return false
	}, 10*time.Second, time.Millisecond)
}

// TestCallsFollowTheRollout has a service with two versions, of which the new one fails. It
// checks the requests that each version gets in each phase, and that the old version serves a
// request that the new one failed.
func TestCallsFollowTheRollout(t *testing.T) {
	answers := map[string]int{}
	var failing atomic.Bool
	version := func(name string) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			answers[name]++
			writer.Header().Set("X-Id", request.Header.Get("X-Id"))
			writer.Header().Set("X-Stamp", name)
			if name == "new" && failing.Load() {
				writer.WriteHeader(http.StatusInternalServerError)
			}
			_, _ = fmt.Fprint(writer, name)
		}
	}
	s := startSite(t, nil, map[string]http.HandlerFunc{"s": version("old")})
	s.directory.addServer("i-new", "s", "", serve(t, version("new")))
	s.directory.mutex.Lock()
	for index, instance := range s.directory.reply.Instances {
		s.directory.reply.Instances[index].Version = map[string]string{"i-s": "v1", "i-new": "v2"}[instance.ID]
	}
	s.directory.mutex.Unlock()
	s.install(oneRoute(1, "s"))
	sendAll := func(rule rollout.Rule) (old, fresh, failed int) {
		s.setRollout(rule)
		clear(answers)
		for range 100 {
			if s.send(http.MethodGet, "/a/", nil).status != http.StatusOK {
				failed++
			}
		}
		return answers["old"], answers["new"], failed
	}
	old, fresh, failed := sendAll(rollout.Rule{Target: "v2", Phase: rollout.RolledBack})
	require.Equal(t, []int{100, 0, 0}, []int{old, fresh, failed})
	old, fresh, failed = sendAll(rollout.Rule{Target: "v2", Phase: rollout.Shifted})
	require.Equal(t, []int{0, 100, 0}, []int{old, fresh, failed})
	failing.Store(true)
	old, fresh, failed = sendAll(rollout.Rule{Target: "v2", Phase: rollout.Canary, Share: 0.2})
	require.Equal(t, 100, old, "a request that failed at the new version is not served by the old one")
	require.Positive(t, fresh)
	require.Less(t, fresh, 45)
	require.Zero(t, failed)
	require.Eventually(t, func() bool {
		s.directory.mutex.Lock()
		defer s.directory.mutex.Unlock()
		report := s.directory.observed.Services["s"]
		total := report.Evidence.Total()
		return report.Number == 1 && total.Old.Answers == 100 && total.New.Bad == uint64(fresh) && total.New.Answers == uint64(100+fresh)
	}, 10*time.Second, time.Millisecond, "evidence")
}
