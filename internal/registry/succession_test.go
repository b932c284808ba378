package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/registry"
)

const (
	successionMissingAfter = 5 * time.Second
	successionForgetAfter  = time.Minute
	successionName         = "i"
)

// succession is a table that hears of the starts of one server, and the log of its group.
type succession struct {
	table *registry.Table
	now   time.Time
	index uint64
	// sequences are the last ones of each start.
	sequences map[int64]uint64
}

func newSuccession() *succession {
	return &succession{
		table: registry.New(successionMissingAfter, successionForgetAfter), now: time.Unix(100, 0), sequences: map[int64]uint64{},
	}
}

// beat takes in a heartbeat of a start.
func (s *succession) beat(born int64, address string, state registry.State) {
	s.sequences[born]++
	s.table.Report(s.now, registry.Instance{
		ID: registry.LifeID(successionName, born), Born: born, Service: "s", Address: address, Slots: 2, State: state,
		Sequence: s.sequences[born], Since: s.index + 1,
	})
}

// depart takes in the departure of a start as a node does that applies it.
func (s *succession) depart(born int64) {
	id := registry.LifeID(successionName, born)
	former := s.table.Former(id)
	s.index++
	for _, left := range append(former, id) {
		s.table.Leave(left)
	}
	s.table.LeaveName(registry.NameDeparture{Name: successionName, Before: s.index, Born: born})
}

// inUse returns the starts that routers may send work to, by their address.
func (s *succession) inUse() map[string][]int64 {
	found := map[string][]int64{}
	for _, known := range s.table.Since(s.now, 0) {
		if known.State != registry.Leaving && !known.Replaced {
			found[known.Address] = append(found[known.Address], known.Born)
		}
	}
	return found
}

const (
	firstAddress  = "10.0.0.1:1"
	secondAddress = "10.0.0.2:1"
)

// TestServerThatStartedAgainStandsTwiceInTheTable guards against two starts of a server that are both
// given work, of which the one that answers may have left.
func TestServerThatStartedAgainStandsTwiceInTheTable(t *testing.T) {
	for name, second := range map[string]string{"at its address": firstAddress, "at another one": secondAddress} {
		s := newSuccession()
		s.beat(10, firstAddress, registry.Ready)
		s.beat(20, second, registry.Ready)
		s.beat(10, firstAddress, registry.Ready)
		require.Equal(t, map[string][]int64{second: {20}}, s.inUse(), name)
		require.Equal(t, 1, s.table.Count(registry.Ready), name)
		require.Zero(t, s.table.Count(registry.Missing), name)
		require.Equal(t, 1, s.table.CountReplaced(), name)
		s.depart(20)
		s.beat(10, firstAddress, registry.Ready)
		s.beat(10, firstAddress, registry.Ready)
		s.beat(10, firstAddress, registry.Ready)
		require.Empty(t, s.inUse(), name)
	}
}

// TestLateDepartureOfAnEarlierStartTakesTheLaterOneOut guards against the opposite.
func TestLateDepartureOfAnEarlierStartTakesTheLaterOneOut(t *testing.T) {
	s := newSuccession()
	s.beat(10, firstAddress, registry.Ready)
	s.beat(20, firstAddress, registry.Ready)
	s.beat(10, firstAddress, registry.Leaving)
	s.depart(10)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, s.inUse())
}

// TestStartWithAClockThatWasSetBackKeepsTheEarlierOneInUse guards against requests by the entry of the
// start before, which claims to be the later one, once the start in use has left.
func TestStartWithAClockThatWasSetBackKeepsTheEarlierOneInUse(t *testing.T) {
	s := newSuccession()
	s.beat(20, firstAddress, registry.Ready)
	s.beat(10, firstAddress, registry.Ready)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, s.inUse(), "the order is not known, and one entry is in use")
	s.depart(10)
	require.Empty(t, s.inUse())
	for range 3 {
		s.beat(20, firstAddress, registry.Ready)
	}
	require.Empty(t, s.inUse(), "late heartbeats come at once")
	s.now = s.now.Add(successionMissingAfter / 2)
	s.beat(20, firstAddress, registry.Ready)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, s.inUse(), "it is the one that goes on")
}

// TestHeartbeatWithoutATimeOfStartReplacesAStart guards against a garbled heartbeat that takes the
// place of the start in use.
func TestHeartbeatWithoutATimeOfStartReplacesAStart(t *testing.T) {
	s := newSuccession()
	s.beat(20, firstAddress, registry.Ready)
	s.beat(0, firstAddress, registry.Ready)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, s.inUse())
	other := newSuccession()
	other.beat(0, firstAddress, registry.Ready)
	other.beat(20, firstAddress, registry.Ready)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, other.inUse(), "its software names them from this start on")
}

// TestStartsOfAServerSucceedEachOther plays a server that ends and starts again with any clock, at any
// address, whose starts leave, and of which heartbeats come late.
func TestStartsOfAServerSucceedEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSuccession()
		addresses := []string{firstAddress, secondAddress}
		borns := rapid.SliceOfNDistinct(rapid.Int64Range(1, 1000), 2, 5, rapid.ID[int64]).Draw(t, "borns")
		at := make(map[int64]string)
		for position, born := range borns {
			at[born] = rapid.SampledFrom(addresses).Draw(t, "address")
			playStart(t, s, born, borns[:position], at)
			if rapid.Bool().Draw(t, "leaves") {
				s.beat(born, at[born], registry.Leaving)
				s.depart(born)
				require.NotContains(t, s.inUse(), at[born], "the start in use has left")
				playLate(t, s, borns[:position], at)
				require.NotContains(t, s.inUse(), at[born], "a late heartbeat brings an earlier start back")
			}
		}
		born := borns[len(borns)-1] + 2000
		at[born] = firstAddress
		playStart(t, s, born, borns, at)
		s.now = s.now.Add(successionMissingAfter + time.Second)
		s.table.Expire(s.now)
		for range 4 {
			s.beat(born, firstAddress, registry.Ready)
			s.now = s.now.Add(time.Second)
		}
		require.Contains(t, s.inUse()[firstAddress], born, "the last start serves")
	})
}

// playStart has a start send some heartbeats, between which those of earlier ones may come late.
func playStart(t *rapid.T, s *succession, born int64, earlier []int64, at map[int64]string) {
	for range rapid.IntRange(1, 5).Draw(t, "heartbeats") {
		s.beat(born, at[born], registry.Ready)
		playLate(t, s, earlier, at)
		requireOneInUse(t, s)
		if rapid.Bool().Draw(t, "time passes") {
			s.now = s.now.Add(successionMissingAfter / 2)
			s.table.Expire(s.now)
		}
	}
}

// playLate has some heartbeats of earlier starts come late, those of one start at once.
func playLate(t *rapid.T, s *succession, starts []int64, at map[int64]string) {
	for _, born := range starts {
		for range rapid.IntRange(0, 3).Draw(t, "late") {
			s.beat(born, at[born], registry.Ready)
		}
	}
}

// requireOneInUse fails if two starts of the server are given work at one address.
func requireOneInUse(t *rapid.T, s *succession) {
	for address, borns := range s.inUse() {
		require.Len(t, borns, 1, address)
	}
}

// TestServerKeepsOthersFromAnAddressThatItLeft guards against a start that never comes into use because
// another server, which had its address before, goes on sending heartbeats from elsewhere.
func TestServerKeepsOthersFromAnAddressThatItLeft(t *testing.T) {
	s := newSuccession()
	other := func(born int64, address string) {
		s.table.Report(s.now, registry.Instance{
			ID: registry.LifeID("other", born), Born: born, Service: "s", Address: address, Slots: 2, State: registry.Ready, Sequence: s.sequences[10],
		})
	}
	other(1, firstAddress)
	other(2, secondAddress)
	s.beat(20, firstAddress, registry.Leaving)
	s.depart(20)
	for range 4 {
		s.beat(10, firstAddress, registry.Ready)
		s.now = s.now.Add(time.Second)
		other(2, secondAddress)
	}
	require.Equal(t, []int64{10}, s.inUse()[firstAddress])
}

// TestTableOfAnotherNodeTurnsTheOrderOfStartsRound guards against an earlier start, with a clock that was
// set back after it, which takes the place of the start in use because another node tells of it later.
func TestTableOfAnotherNodeTurnsTheOrderOfStartsRound(t *testing.T) {
	for name, address := range map[string]string{"at one address": firstAddress, "at another one": secondAddress} {
		s := newSuccession()
		s.beat(10, address, registry.Ready)
		s.table.Report(s.now, registry.Instance{
			ID: registry.LifeID(successionName, 20), Born: 20, Service: "s", Address: firstAddress, Slots: 2, State: registry.Ready,
			Sequence: 7, Age: time.Second,
		})
		require.Contains(t, s.inUse()[address], int64(10), name)
	}
}

// TestStartThatWasReplacedIsHeardOfWhenItLeaves guards against a departure that is refused when it is
// repeated, since its start was believed to be replaced.
func TestStartThatWasReplacedIsHeardOfWhenItLeaves(t *testing.T) {
	s := newSuccession()
	s.beat(20, firstAddress, registry.Ready)
	s.now = s.now.Add(successionMissingAfter + time.Second)
	s.table.Expire(s.now)
	s.beat(10, firstAddress, registry.Ready)
	s.index++
	s.table.LeaveName(registry.NameDeparture{Name: successionName, Before: s.index})
	s.now = s.now.Add(successionMissingAfter + time.Second)
	s.table.Expire(s.now)
	require.True(t, s.table.Heard(s.now, successionName))
	s.now = s.now.Add(successionMissingAfter + 5*time.Second)
	require.False(t, s.table.Heard(s.now, successionName))
}

// TestHeartbeatsToldLaterBringAnEarlierStartBack guards against late heartbeats that come to several nodes
// at once, and are told from one to another over a while, for a start that goes on.
func TestHeartbeatsToldLaterBringAnEarlierStartBack(t *testing.T) {
	const toldWithin = 2 * successionMissingAfter
	s := newSuccession()
	s.table.ClaimAtLeast(toldWithin)
	s.beat(20, firstAddress, registry.Ready)
	s.beat(10, firstAddress, registry.Ready)
	s.depart(10)
	for range 3 {
		s.beat(20, firstAddress, registry.Ready)
		s.now = s.now.Add(toldWithin / 4)
	}
	require.Empty(t, s.inUse())
}

// TestRestoredTableDecidesWhichStartIsInUse guards against a start, with a clock that was set back before
// it, that gets no requests because a node reads it from its file together with an earlier one.
func TestRestoredTableDecidesWhichStartIsInUse(t *testing.T) {
	s := newSuccession()
	for born, address := range map[int64]string{10: secondAddress, 20: firstAddress} {
		s.table.Report(s.now, registry.Instance{
			ID: registry.LifeID(successionName, born), Born: born, Service: "s", Address: address, Slots: 2, State: registry.Ready, Sequence: 3, Restored: true,
		})
	}
	require.Equal(t, map[string][]int64{firstAddress: {20}, secondAddress: {10}}, s.inUse())
	s.beat(30, secondAddress, registry.Ready)
	require.Equal(t, map[string][]int64{secondAddress: {30}}, s.inUse())
}

// TestRestoredTableBringsAnEarlierStartBack guards against requests by an earlier start, with a clock that
// was set back after it, that a node reads from its file together with the start that has left.
func TestRestoredTableBringsAnEarlierStartBack(t *testing.T) {
	s := newSuccession()
	s.index = 7
	for _, born := range []int64{10, 20} {
		state := registry.Ready
		if born == 10 {
			state = registry.Leaving
		}
		s.table.Report(s.now, registry.Instance{
			ID: registry.LifeID(successionName, born), Born: born, Service: "s", Address: firstAddress, Slots: 2, State: state, Sequence: 3, Since: 5, Restored: true,
		})
	}
	s.depart(10)
	require.Empty(t, s.inUse())
}

// TestLateHeartbeatsAtAnotherServersAddressTakeTheStartInUseOut guards against a start that gets no work
// because late heartbeats of an earlier one win back the address that another server has since.
func TestLateHeartbeatsAtAnotherServersAddressTakeTheStartInUseOut(t *testing.T) {
	s := newSuccession()
	s.beat(10, secondAddress, registry.Ready)
	s.beat(5, firstAddress, registry.Ready)
	s.table.Report(s.now, registry.Instance{ID: "other", Service: "s", Address: firstAddress, Slots: 2, State: registry.Ready, Sequence: 1})
	for range 3 {
		s.beat(5, firstAddress, registry.Ready)
	}
	require.Equal(t, []int64{10}, s.inUse()[secondAddress])
}

// TestStartThatLeftIsTakenOverAsReplaced guards against a start that is known to leave and becomes
// missing, since a departure of its server names an earlier time of start.
func TestStartThatLeftIsTakenOverAsReplaced(t *testing.T) {
	s := newSuccession()
	s.table.Report(s.now, registry.Instance{
		ID: registry.LifeID(successionName, 9), Born: 9, Service: "s", Address: firstAddress, Slots: 2, State: registry.Leaving, Sequence: 1, Replaced: true,
	})
	require.Equal(t, registry.Leaving, statesIn(s.table, s.now)["i#9"])
}
