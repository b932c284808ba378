package voter

import (
	"context"
	"fmt"
	"testing"
	"time"

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

// namesLeader proposes on a non-leader and returns the error, which names the leader.
func namesLeader(t *testing.T, voter *Voter) NotLeaderError {
	t.Helper()
	_, err := voter.Propose(context.Background(), []byte("x"))
	var refused *NotLeaderError
	require.ErrorAs(t, err, &refused, fmt.Sprint(voter.config.ID))
	return *refused
}

// TestFollowerNamesTheLeader proposes on each follower: it names no leader until its first
// contact with one, which may come after a commit by a quorum, and then the right one.
func TestFollowerNamesTheLeader(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.propose("a")
	leader := g.leader()
	for _, voter := range g.running() {
		if voter == leader {
			continue
		}
		began, named := time.Now(), namesLeader(t, voter)
		for ; named == (NotLeaderError{}); named = namesLeader(t, voter) {
			require.Less(t, time.Since(began), eventuallyTimeout, "no contact with a leader")
			time.Sleep(time.Millisecond)
		}
		require.Equal(t, NotLeaderError{LeaderID: leader.config.ID, LeaderAddress: leader.config.Address}, named)
	}
}

// TestFollowerWithoutLeaderContactNamesNoLeader isolates one of three voters before the others elect
// a leader.
func TestFollowerWithoutLeaderContactNamesNoLeader(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.network.mutex.Lock()
	g.network.isolated[3] = true
	g.network.mutex.Unlock()
	g.propose("a")
	require.NotEqual(t, uint64(3), g.leader().config.ID)
	require.Eventually(t, func() bool { return namesLeader(t, g.network.voters[3]) == NotLeaderError{} }, eventuallyTimeout, time.Millisecond)
}
