package voter

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSingleVoterProposesAndRestarts(t *testing.T) {
	g := newGroup(t, 1, nil)
	g.propose("a")
	g.propose("b")
	g.crash(1)
	g.start(1)
	g.propose("c")
	g.requireValues(1, []string{"a", "b", "c"})
}

func TestKilledLeaderIsReplacedAndFollows(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.propose("a")
	killed := g.leader().config.ID
	g.crash(killed)
	g.propose("b")
	g.start(killed)
	g.propose("c")
	for id := range g.machines {
		g.requireValues(id, []string{"a", "b", "c"})
	}
}

func TestFollowerNamesTheLeader(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.propose("a")
	leader := g.leader()
	for _, voter := range g.running() {
		if voter == leader {
			continue
		}
		_, err := voter.Propose(context.Background(), []byte("x"))
		var refused *NotLeaderError
		require.ErrorAs(t, err, &refused, fmt.Sprint(voter.config.ID))
		require.Equal(t, NotLeaderError{LeaderID: leader.config.ID, LeaderAddress: leader.config.Address}, *refused)
	}
}
