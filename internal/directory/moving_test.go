package directory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// restartAt starts a stopped node at another address, with its folder.
func (c *cluster) restartAt(index int, address string) {
	c.t.Helper()
	c.addresses[index] = address
	c.start(index, false)
}

// requireMembersKept fails if a node had to rejoin as a new member.
func (c *cluster) requireMembersKept() {
	c.t.Helper()
	for _, logged := range c.logged {
		for _, entry := range logged.AllEntries() {
			require.NotContains(c.t, entry.Message, "removed_from_group")
		}
	}
}

// newClusterOfThreeVoters returns a group of three in which every node knows all voters.
func newClusterOfThreeVoters(t *testing.T) *cluster {
	c := newFormedCluster(t)
	c.eventuallyEverywhere("not three voters", c.hasVoters(0, 1, 2))
	return c
}

// TestNodeThatMovesKeepsItsVote guards against a node that changes its address, keeps its
// folder and no longer receives from the leader: with another node down, the group could not
// acknowledge anything.
func TestNodeThatMovesKeepsItsVote(t *testing.T) {
	c := newClusterOfThreeVoters(t)
	c.stop(2)
	c.restartAt(2, testaddress.Next().String())
	c.eventuallyEverywhere("not at its new address", c.hasVoters(0, 1, 2))
	c.stop(0)
	c.put(document(2, "by the one that moved"))
	c.eventuallyEverywhere("not read", c.reads(document(2, "by the one that moved")))
	c.requireMembersKept()
}

// TestNodesThatSwapAddressesKeepTheirVotes guards against mistaking a node for one that lost
// its disk because another member now has its address.
func TestNodesThatSwapAddressesKeepTheirVotes(t *testing.T) {
	c := newClusterOfThreeVoters(t)
	first, second := c.addresses[1], c.addresses[2]
	c.stop(1)
	c.stop(2)
	c.restartAt(1, second)
	c.restartAt(2, first)
	c.put(document(2, "swapped"))
	c.eventuallyEverywhere("not at their new addresses", c.hasVoters(0, 1, 2))
	c.eventuallyEverywhere("not read", c.reads(document(2, "swapped")))
	c.requireMembersKept()
}

// TestGroupRecoversAfterAllNodesMove guards against nodes that all change their addresses and
// try to reach each other only at the former ones.
func TestGroupRecoversAfterAllNodesMove(t *testing.T) {
	c := newClusterOfThreeVoters(t)
	for index := range c.nodes {
		c.stop(index)
	}
	moved := testaddress.List(3)
	c.seeds = moved
	for index, address := range moved {
		c.restartAt(index, address)
	}
	c.put(document(2, "moved"))
	c.eventuallyEverywhere("not read", c.reads(document(2, "moved")))
	c.eventuallyEverywhere("not at their new addresses", c.hasVoters(0, 1, 2))
	c.requireMembersKept()
}
