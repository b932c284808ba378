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
