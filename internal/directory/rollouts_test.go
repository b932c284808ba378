package directory_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/rollout"
	"github.com/martenstage/martenstage/internal/routing"
)

// startRollout orders a rollout until some node acknowledges it.
func (c *cluster) startRollout(service, version string, duration time.Duration) {
	c.t.Helper()
	c.eventually("no node acknowledges the rollout", func(node *runningNode) bool {
		return node.StartRollout(context.Background(), service, version, duration, "10.0.0.9:1") == nil
	})
}

// rolloutAt returns the rollout of a service that a node reports to a router, and the complete
// reply.
func rolloutAt(node *runningNode, service string) (directory.RolloutRule, directory.FollowReply) {
	reply, err := node.Follow(context.Background(), directory.FollowRequest{Router: directory.Router{Name: "test"}})
	if err != nil {
		return directory.RolloutRule{}, reply
	}
	return reply.Rollouts[service], reply
}

// inPhase reports whether a node reports a phase of the rollout of service s.
func inPhase(phase rollout.Phase) func(*runningNode) bool {
	return func(node *runningNode) bool {
		rule, _ := rolloutAt(node, "s")
		return rule.Phase == phase
	}
}

// observations returns evidence with the given number of answers of each version, of which some
// of the new version are bad.
func observations(answers, bad int) rollout.Evidence {
	evidence := rollout.Evidence{}
	for number := range answers {
		evidence.Observe("r", false, false, 10*time.Millisecond)
		evidence.Observe("r", true, number < bad, 10*time.Millisecond)
	}
	return evidence
}

// sendRolloutReport sends a router's observations to any node until one accepts them.
func (c *cluster) sendRolloutReport(revision uint64, number uint64, evidence rollout.Evidence, old int) {
	c.t.Helper()
	c.eventually("no node accepts the report", func(node *runningNode) bool {
		_, err := node.ReportRollouts(context.Background(), directory.RolloutReport{
			Router: "test", Start: "test/1", Revision: revision,
			Services: map[string]directory.ServiceReport{"s": {Number: number, Evidence: evidence, OldInFlight: old}},
		})
		return err == nil
	})
}

func TestRolloutsAreIdempotentAndSurviveLossOfTwoDisks(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.eventuallyEverywhere("not five voters", c.hasVoters(0, 1, 2, 3, 4))
	c.startRollout("s", "v2", time.Hour)
	c.startRollout("s", "v2", time.Hour)
	c.eventuallyEverywhere("not reported", inPhase(rollout.Canary))
	rule, _ := rolloutAt(c.nodes[0], "s")
	require.Equal(t, "v2", rule.Target)
	require.InDelta(t, 0.06, rule.Share, 0.001)
	var conflict *rollout.ConflictError
	require.Eventually(t, func() bool {
		err := c.nodes[1].StartRollout(context.Background(), "s", "v3", time.Hour, "")
		return errors.As(err, &conflict)
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, "v2", conflict.Target)
	var invalid *routing.InvalidError
	require.ErrorAs(t, c.nodes[0].StartRollout(context.Background(), "", "v2", time.Hour, ""), &invalid)
	require.ErrorAs(t, c.nodes[0].StartRollout(context.Background(), "s", "v2", 0, ""), &invalid)
	for index := range 5 {
		c.stop(index)
	}
	c.wipe(0)
	c.wipe(1)
	c.startAll(false)
	c.eventuallyEverywhere("lost", inPhase(rollout.Canary))
	c.eventually("not read", func(node *runningNode) bool {
		phase, target, known, err := node.Rollout(context.Background(), "s")
		return err == nil && known && phase == rollout.Canary && target == "v2"
	})
	c.eventually("an unknown rollout is returned", func(node *runningNode) bool {
		_, _, known, err := node.Rollout(context.Background(), "other")
		return err == nil && !known
	})
}

func TestABadVersionIsRolledBackByEvidence(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	c.startRollout("s", "v2", time.Hour)
	c.eventuallyEverywhere("not reported", inPhase(rollout.Canary))
	rule, reply := rolloutAt(c.nodes[0], "s")
	c.sendRolloutReport(reply.RolloutRevision, rule.Number, observations(40, 20), 0)
	c.eventuallyEverywhere("not rolled back", inPhase(rollout.RolledBack))
	list, err := directory.ListRollouts(context.Background(), c.addresses[0])
	require.NoError(t, err)
	require.Contains(t, list.Rollouts[0].Reason, "failures: 20 of 40")
	require.Equal(t, "10.0.0.9:1", list.Rollouts[0].By)
	c.startRollout("s", "v3", time.Hour)
	c.eventuallyEverywhere("the next rollout is not started", inPhase(rollout.Canary))
	rule, _ = rolloutAt(c.nodes[0], "s")
	require.Equal(t, []string{"v2"}, rule.Barred, "a rolled back version gets nothing in the next rollout either")
}

func TestGoodVersionCompletesAndReplacesOldServers(t *testing.T) {
	c := newCluster(t, 5)
	c.startAll(true)
	c.put(document(1, "first"))
	sequence := uint64(0)
	sendHeartbeats := func() {
		sequence++
		for id, version := range map[string]string{"old": "v1", "new": "v2"} {
			require.NoError(t, c.nodes[0].Heartbeat(context.Background(), registry.Instance{
				ID: id, Service: "s", Address: "10.0.0.1:" + id, Slots: 1, Version: version, State: registry.Ready, Sequence: sequence,
			}))
		}
	}
	sendHeartbeats()
	c.startRollout("s", "v2", 3*time.Second)
	rule, reply := rolloutAt(c.nodes[0], "s")
	stop := time.Now().Add(20 * time.Second)
	for rule.Phase != rollout.Done && time.Now().Before(stop) {
		sendHeartbeats()
		c.sendRolloutReport(reply.RolloutRevision, rule.Number, observations(40, 0), 0)
		time.Sleep(20 * time.Millisecond)
		rule, reply = rolloutAt(c.nodes[0], "s")
	}
	require.Equal(t, rollout.Done, rule.Phase)
	require.Eventually(t, func() bool {
		sendHeartbeats()
		_, reply := rolloutAt(c.nodes[0], "s")
		states := map[string]registry.State{}
		for _, instance := range reply.Instances {
			states[instance.ID] = instance.State
		}
		return states["old"] == registry.Leaving && states["new"] == registry.Ready
	}, 10*time.Second, 10*time.Millisecond)
}
