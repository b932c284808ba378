package directory_test

import (
	"context"
	"testing"
)

// TestANodeOutsideTheGroupServes has five nodes of which one may be lost, so that three voters are
// enough, and takes the disk of one: the group goes on without it. It is a machine like the others
// to operators, servers and routers, and has to reach the leader for them.
//
// It does not: no node makes it a member, and who is none hears no leader. Found by the soak with
// five nodes (seed 39101, -soak.nodes=5 -soak.routers=60): a node without its disk told "no leader
// is known" for the 40 s until the end, with term 0, while the others served.
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
