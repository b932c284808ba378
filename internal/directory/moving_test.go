package directory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/testaddress"
)

// restartAt starts a node that is down at another address, with its folder.
func (c *cluster) restartAt(index int, address string) {
	c.t.Helper()
	c.addresses[index] = address
	c.start(index, false)
}

// keepsMembers fails if a node had to start over as a new member.
func (c *cluster) keepsMembers() {
	c.t.Helper()
	for _, logged := range c.logged {
		for _, entry := range logged.AllEntries() {
			require.NotContains(c.t, entry.Message, "removed_from_group")
		}
	}
}

// formedOfThree returns a group of three whose nodes know all of it.
func formedOfThree(t *testing.T) *cluster {
	c := wholeCluster(t)
	c.everywhere("not three voters", c.hasVoters(0, 1, 2))
	return c
}

// TestNodeThatMovesKeepsItsVote guards against a node that changes its address, keeps its folder and
// hears no leader any more: with another node down, the group could acknowledge nothing.
func TestNodeThatMovesKeepsItsVote(t *testing.T) {
	c := formedOfThree(t)
	c.stop(2)
	c.restartAt(2, testaddress.Next().String())
	c.everywhere("not at its new address", c.hasVoters(0, 1, 2))
	c.stop(0)
	c.put(document(2, "by the one that moved"))
	c.everywhere("not read", c.reads(document(2, "by the one that moved")))
	c.keepsMembers()
}

// TestNodesThatSwapAddressesKeepTheirVotes guards against a node that is taken for one without its disk
// because another member has got its address.
func TestNodesThatSwapAddressesKeepTheirVotes(t *testing.T) {
	c := formedOfThree(t)
	first, second := c.addresses[1], c.addresses[2]
	c.stop(1)
	c.stop(2)
	c.restartAt(1, second)
	c.restartAt(2, first)
	c.put(document(2, "swapped"))
	c.everywhere("not at their new addresses", c.hasVoters(0, 1, 2))
	c.everywhere("not read", c.reads(document(2, "swapped")))
	c.keepsMembers()
}

// TestGroupThatMovesWholeFormsAgain guards against nodes that all change their addresses and look for each
// other at the former ones alone.
func TestGroupThatMovesWholeFormsAgain(t *testing.T) {
	c := formedOfThree(t)
	for index := range c.nodes {
		c.stop(index)
	}
	moved := testaddress.List(3)
	c.seeds = moved
	for index, address := range moved {
		c.restartAt(index, address)
	}
	c.put(document(2, "moved"))
	c.everywhere("not read", c.reads(document(2, "moved")))
	c.everywhere("not at their new addresses", c.hasVoters(0, 1, 2))
	c.keepsMembers()
}
