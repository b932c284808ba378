package directory_test

import (
	"context"
	"testing"
)

// TestANodeOutsideTheGroupServes guards against a directory node beyond the voters that reaches no
// leader, and so answers neither operators nor servers nor routers.
func TestANodeOutsideTheGroupServes(t *testing.T) {
	const lost = 4
	c := newCluster(t, 5)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "first"))
	c.stop(lost)
	c.wipe(lost)
	c.start(lost, false)
	c.everywhere("no leader is reached", func(node *runningNode) bool {
		version, _, err := node.Read(context.Background())
		return err == nil && version == 1
	})
}

// TestLearnerIsNotPromotedForAVoterThatIsGone guards against learners that stay without a vote when
// a voter is lost, or that count as lost with it.
func TestLearnerIsNotPromotedForAVoterThatIsGone(t *testing.T) {
	c := newCluster(t, 7)
	c.losses = 1
	c.startAll(true)
	c.put(document(1, "first"))
	c.everywhere("no leader is reached", c.reads(document(1, "first")))
	c.everywhere("other voters than the founders", c.hasVoters(0, 1, 2))
	c.stop(1)
	c.put(document(2, "second"))
	c.everywhere("no learner took the place", func(node *runningNode) bool {
		voters := node.Voters()
		return len(voters) == 3 && !voters[c.addresses[1]]
	})
	c.everywhere("no leader is reached", c.reads(document(2, "second")))
}
