package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// uniformBits is the number of bits drawn for each choice. Rapid's own ranges are
// biased to small numbers, so schedules would rarely use more than the first node
// and the first action.
const uniformBits = 12

var uniformNumber = rapid.Custom(func(t *rapid.T) int {
	number := 0
	for range uniformBits {
		number <<= 1
		if rapid.Bool().Draw(t, "bit") {
			number++
		}
	}
	return number
})

// choose draws uniformly from [0, count).
func choose(t *rapid.T, label string, count int) int {
	return uniformNumber.Draw(t, label) * count >> uniformBits
}

// schedule is a cluster whose actions are drawn by rapid.
type schedule struct {
	*cluster
	draw *rapid.T
}

// action is one step of the schedule with its weight out of 100.
type action struct {
	name   string
	weight int
	run    func(c *schedule, node *simulatedNode)
}

var actions = []action{
	{"deliver", 30, (*schedule).deliverOne},
	{"sync", 14, (*schedule).syncSome},
	{"pass time", 12, (*schedule).passTime},
	{"propose", 10, (*schedule).proposeOne},
	{"run undisturbed", 12, (*schedule).runUndisturbed},
	{"read", 4, (*schedule).readOne},
	{"crash or restart", 5, (*schedule).crashOrRestart},
	{"change voters", 6, (*schedule).changeOne},
	{"transfer", 2, (*schedule).transferOne},
	{"snapshot", 4, (*schedule).snapshotOne},
	{"lose all", 1, func(c *schedule, _ *simulatedNode) { c.inFlight = nil }},
}

func (c *schedule) deliverOne(*simulatedNode) {
	if len(c.inFlight) == 0 {
		return
	}
	position := choose(c.draw, "message", len(c.inFlight))
	outcome := choose(c.draw, "outcome", 10)
	message := c.inFlight[position]
	const lost, duplicated = 0, 1
	if outcome != duplicated {
		c.inFlight = slices.Delete(c.inFlight, position, position+1)
	}
	if outcome != lost {
		c.deliver(message)
	}
}

func (c *schedule) deliver(message Message) {
	// Encode and decode the message, as between processes.
	decoded, err := DecodeMessage(EncodeMessage(message))
	if err != nil {
		c.t.Fatalf("message %v can't be decoded: %v", message, err)
	}
	if node := c.nodes[message.To]; node != nil && node.core != nil {
		c.step(node, Receive{Message: decoded})
	}
}

func (c *schedule) syncSome(node *simulatedNode) {
	c.sync(node, choose(c.draw, "synced", len(node.unsynced)+1))
}

func (c *schedule) passTime(node *simulatedNode) {
	if node.core == nil {
		return
	}
	node.clock = node.clock.Add(time.Duration(choose(c.draw, "ms", 300)) * time.Millisecond)
	c.step(node, DeadlineReached{})
}

// runUndisturbed runs part of the cluster without faults for a while, so that
// leaders get elected and commit.
func (c *schedule) runUndisturbed(*simulatedNode) {
	// Each node is isolated with a probability of one in four.
	isolated := choose(c.draw, "isolated", 1<<clusterSize) & choose(c.draw, "and", 1<<clusterSize)
	rounds := choose(c.draw, "rounds", 80)
	for range rounds {
		inFlight := c.inFlight
		c.inFlight = nil
		for _, message := range inFlight {
			if isolated&(1<<(message.To-1)) == 0 && isolated&(1<<(message.From-1)) == 0 {
				c.deliver(message)
			}
		}
		for _, id := range c.ids {
			node := c.nodes[id]
			node.clock = node.clock.Add(DefaultHeartbeat)
			if node.core != nil {
				c.sync(node, len(node.unsynced))
				c.step(node, DeadlineReached{})
			}
		}
	}
}

// preferLeader usually replaces the drawn node by the leader of the highest term,
// since non-leaders refuse requests.
func (c *schedule) preferLeader(drawn *simulatedNode) *simulatedNode {
	if choose(c.draw, "any", 4) == 0 {
		return drawn
	}
	chosen := drawn
	for _, id := range c.ids {
		node := c.nodes[id]
		if node.core == nil || node.core.role != Leader {
			continue
		}
		if chosen.core == nil || chosen.core.role != Leader || node.core.hardState.Term > chosen.core.hardState.Term {
			chosen = node
		}
	}
	return chosen
}

func (c *schedule) proposeOne(node *simulatedNode) {
	node = c.preferLeader(node)
	if node.core == nil {
		return
	}
	c.tokens++
	c.step(node, Propose{Proposals: []Proposal{{Token: c.tokens, Data: fmt.Appendf(nil, "%d", c.tokens)}}})
}

func (c *schedule) readOne(node *simulatedNode) {
	node = c.preferLeader(node)
	if node.core == nil {
		return
	}
	c.tokens++
	c.reads[c.tokens] = c.commit
	c.step(node, ConfirmRead{Token: c.tokens})
}

func (c *schedule) crashOrRestart(node *simulatedNode) {
	if node.core == nil {
		c.restart(node)
		return
	}
	if choose(c.draw, "spared", 2) == 0 {
		return
	}
	c.crash(node, choose(c.draw, "kept", len(node.unsynced)+1))
}

func (c *schedule) changeOne(node *simulatedNode) {
	node = c.preferLeader(node)
	if node.core == nil {
		return
	}
	change := Change{
		Kind: AddLearner + ChangeKind(choose(c.draw, "change", int(UpdateMemberAddress))),
		ID:   uint64(1 + choose(c.draw, "member", clusterSize)),
	}
	output := c.step(node, ChangeMembership{Change: change})
	if len(output.Proposals) == 1 && output.Proposals[0].Refusal == Accepted {
		c.changes++
	}
}

func (c *schedule) transferOne(node *simulatedNode) {
	node = c.preferLeader(node)
	if node.core != nil {
		c.step(node, TransferLeadership{To: uint64(choose(c.draw, "successor", clusterSize+1))})
	}
}

func (c *schedule) snapshotOne(node *simulatedNode) {
	node = c.preferLeader(node)
	if node.core != nil && node.applied > 0 {
		c.step(node, SnapshotTaken{Index: node.applied, Data: binary.BigEndian.AppendUint64(nil, node.appliedHash)})
	}
}

func drawAction(t *rapid.T) action {
	drawn := choose(t, "action", 100)
	for _, candidate := range actions {
		if drawn -= candidate.weight; drawn < 0 {
			return candidate
		}
	}
	panic("the weights do not add up to 100")
}

// TestSafetyUnderRandomSchedules checks Raft's safety properties in clusters with
// lost, duplicated and reordered messages, crashes with unsynced writes, differing
// clocks and membership changes.
func TestSafetyUnderRandomSchedules(t *testing.T) {
	var commits, reads, snapshots, changes int
	rapid.Check(t, func(t *rapid.T) {
		c := &schedule{cluster: newCluster(t), draw: t}
		for range 400 {
			node := c.nodes[uint64(1+choose(t, "node", clusterSize))]
			drawAction(t).run(c, node)
			c.checkLogMatching()
		}
		commits += int(c.commit)
		reads += c.confirmedReads
		snapshots += c.snapshotsInstalled
		changes += c.changes
	})
	t.Logf("reached: %d commits, %d confirmed reads, %d installed snapshots, %d membership changes", commits, reads, snapshots, changes)
	require.Positive(t, min(commits, reads, snapshots, changes), "the schedules must reach what they check")
}
