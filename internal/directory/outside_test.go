package directory_test

import (
	"context"
	"testing"
)

// TestNodeBeyondTheVotersServes guards against a directory node beyond the voters that reaches
// no leader, and so answers neither operators nor servers nor routers.
func TestNodeBeyondTheVotersServes(t *testing.T) {
	const lost = 4
	c := newCluster(t, 5)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "first"))
	c.stop(lost)
	c.wipe(lost)
	c.start(lost, false)
	c.eventuallyEverywhere("no leader is reached", func(node *runningNode) bool {
		version, _, err := node.Read(context.Background())
		return err == nil && version == 1
	})
}

// TestLearnerReplacesAFailedVoter guards against learners that are not promoted when a voter is
// lost, or that count as lost with it.
func TestLearnerReplacesAFailedVoter(t *testing.T) {
	c := newCluster(t, 7)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "first"))
	c.eventuallyEverywhere("no leader is reached", c.reads(document(1, "first")))
	c.eventuallyEverywhere("other voters than the founders", c.hasVoters(0, 1, 2))
	c.stop(1)
	c.put(document(2, "second"))
	c.eventuallyEverywhere("no learner replaced the voter", func(node *runningNode) bool {
		voters := node.Voters()
		return len(voters) == 3 && !voters[c.addresses[1]]
	})
	c.eventuallyEverywhere("no leader is reached", c.reads(document(2, "second")))
}
