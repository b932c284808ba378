package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/registry"
)

const (
	testMissingAfter = 5 * time.Second
	testForgetAfter  = time.Minute
	testName         = "i"
)

// harness is a table that receives the heartbeats of one server's incarnations, with the log
// index of its group.
type harness struct {
	table *registry.Table
	now   time.Time
	index uint64
	// sequences are the last ones of each incarnation.
	sequences map[int64]uint64
}

func newHarness() *harness {
	return &harness{
		table: registry.New(testMissingAfter, testForgetAfter), now: time.Unix(100, 0), sequences: map[int64]uint64{},
	}
}

// heartbeat records a heartbeat of an incarnation.
func (s *harness) heartbeat(startedAt int64, address string, state registry.State) {
	s.sequences[startedAt]++
	s.table.Report(s.now, registry.Instance{
		ID: registry.IncarnationID(testName, startedAt), StartedAt: startedAt, Service: "s", Address: address, Slots: 2, State: state,
		Sequence: s.sequences[startedAt], KnownSinceIndex: s.index + 1,
	})
}

// depart applies the departure of an incarnation as a node does.
func (s *harness) depart(startedAt int64) {
	id := registry.IncarnationID(testName, startedAt)
	former := s.table.Superseded(id)
	s.index++
	for _, left := range append(former, id) {
		s.table.MarkLeaving(left)
	}
	s.table.MarkNameLeaving(registry.NameDeparture{Name: testName, LogIndex: s.index, StartedAt: startedAt})
}

// active returns the start times of the incarnations that routers may send work to, by
// address.
func (s *harness) active() map[string][]int64 {
	found := map[string][]int64{}
	for _, known := range s.table.ChangedSince(s.now, 0) {
		if known.State != registry.Leaving && !known.Replaced {
			found[known.Address] = append(found[known.Address], known.StartedAt)
		}
	}
	return found
}

const (
	firstAddress  = "10.0.0.1:1"
	secondAddress = "10.0.0.2:1"
)

// TestRestartedServerHasOneActiveIncarnation guards against sending work to two incarnations
// of one server, since the process that replies may have left.
func TestRestartedServerHasOneActiveIncarnation(t *testing.T) {
	for name, second := range map[string]string{"at its address": firstAddress, "at another one": secondAddress} {
		s := newHarness()
		s.heartbeat(10, firstAddress, registry.Ready)
		s.heartbeat(20, second, registry.Ready)
		s.heartbeat(10, firstAddress, registry.Ready)
		require.Equal(t, map[string][]int64{second: {20}}, s.active(), name)
		require.Equal(t, 1, s.table.Count(registry.Ready), name)
		require.Zero(t, s.table.Count(registry.Missing), name)
		require.Equal(t, 1, s.table.CountReplaced(), name)
		s.depart(20)
		s.heartbeat(10, firstAddress, registry.Ready)
		s.heartbeat(10, firstAddress, registry.Ready)
		s.heartbeat(10, firstAddress, registry.Ready)
		require.Empty(t, s.active(), name)
	}
}

// TestLateDepartureOfAnEarlierIncarnationKeepsTheLaterOne guards against removing the active
// incarnation when the departure of an earlier one arrives late.
func TestLateDepartureOfAnEarlierIncarnationKeepsTheLaterOne(t *testing.T) {
	s := newHarness()
	s.heartbeat(10, firstAddress, registry.Ready)
	s.heartbeat(20, firstAddress, registry.Ready)
	s.heartbeat(10, firstAddress, registry.Leaving)
	s.depart(10)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, s.active())
}

// TestDepartureAfterClockWasSetBackDeactivatesTheEarlierEntry guards against requests through
// the entry of the earlier incarnation, which has the later start time, once the active
// incarnation has left.
func TestDepartureAfterClockWasSetBackDeactivatesTheEarlierEntry(t *testing.T) {
	s := newHarness()
	s.heartbeat(20, firstAddress, registry.Ready)
	s.heartbeat(10, firstAddress, registry.Ready)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, s.active(), "the order is unknown, and one entry is active")
	s.depart(10)
	require.Empty(t, s.active())
	for range 3 {
		s.heartbeat(20, firstAddress, registry.Ready)
	}
	require.Empty(t, s.active(), "late heartbeats arrive at once")
	s.now = s.now.Add(testMissingAfter / 2)
	s.heartbeat(20, firstAddress, registry.Ready)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, s.active(), "it continues to send heartbeats")
}

// TestHeartbeatWithoutStartTimeDoesNotReplace guards against a garbled heartbeat that takes
// the place of the active incarnation.
func TestHeartbeatWithoutStartTimeDoesNotReplace(t *testing.T) {
	s := newHarness()
	s.heartbeat(20, firstAddress, registry.Ready)
	s.heartbeat(0, firstAddress, registry.Ready)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, s.active())
	other := newHarness()
	other.heartbeat(0, firstAddress, registry.Ready)
	other.heartbeat(20, firstAddress, registry.Ready)
	require.Equal(t, map[string][]int64{firstAddress: {20}}, other.active(), "its software reports start times from this incarnation on")
}

// TestIncarnationsOfAServerSucceedEachOther simulates a server that restarts with any clock,
// at any address, whose incarnations leave and whose heartbeats arrive late.
func TestIncarnationsOfAServerSucceedEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newHarness()
		addresses := []string{firstAddress, secondAddress}
		startTimes := rapid.SliceOfNDistinct(rapid.Int64Range(1, 1000), 2, 5, rapid.ID[int64]).Draw(t, "startTimes")
		at := make(map[int64]string)
		for position, startedAt := range startTimes {
			at[startedAt] = rapid.SampledFrom(addresses).Draw(t, "address")
			runIncarnation(t, s, startedAt, startTimes[:position], at)
			if rapid.Bool().Draw(t, "leaves") {
				s.heartbeat(startedAt, at[startedAt], registry.Leaving)
				s.depart(startedAt)
				require.NotContains(t, s.active(), at[startedAt], "the active incarnation has left")
				sendLateHeartbeats(t, s, startTimes[:position], at)
				require.NotContains(t, s.active(), at[startedAt], "a late heartbeat reactivates an earlier incarnation")
			}
		}
		startedAt := startTimes[len(startTimes)-1] + 2000
		at[startedAt] = firstAddress
		runIncarnation(t, s, startedAt, startTimes, at)
		s.now = s.now.Add(testMissingAfter + time.Second)
		s.table.Expire(s.now)
		for range 4 {
			s.heartbeat(startedAt, firstAddress, registry.Ready)
			s.now = s.now.Add(time.Second)
		}
		require.Contains(t, s.active()[firstAddress], startedAt, "the last incarnation is active")
	})
}

// runIncarnation has an incarnation send some heartbeats, between which those of earlier ones
// may arrive late.
func runIncarnation(t *rapid.T, s *harness, startedAt int64, earlier []int64, at map[int64]string) {
	for range rapid.IntRange(1, 5).Draw(t, "heartbeats") {
		s.heartbeat(startedAt, at[startedAt], registry.Ready)
		sendLateHeartbeats(t, s, earlier, at)
		requireOneActive(t, s)
		if rapid.Bool().Draw(t, "time passes") {
			s.now = s.now.Add(testMissingAfter / 2)
			s.table.Expire(s.now)
		}
	}
}

// sendLateHeartbeats delivers some late heartbeats of earlier incarnations, those of one
// incarnation at once.
func sendLateHeartbeats(t *rapid.T, s *harness, starts []int64, at map[int64]string) {
	for _, startedAt := range starts {
		for range rapid.IntRange(0, 3).Draw(t, "late") {
			s.heartbeat(startedAt, at[startedAt], registry.Ready)
		}
	}
}

// requireOneActive fails if two incarnations of the server get work at one address.
func requireOneActive(t *rapid.T, s *harness) {
	for address, startTimes := range s.active() {
		require.Len(t, startTimes, 1, address)
	}
}

// TestFormerOwnerDoesNotBlockItsOldAddress guards against an incarnation that never becomes
// active because another server, which had its address before, continues to send heartbeats
// from elsewhere.
func TestFormerOwnerDoesNotBlockItsOldAddress(t *testing.T) {
	s := newHarness()
	other := func(startedAt int64, address string) {
		s.table.Report(s.now, registry.Instance{
			ID: registry.IncarnationID("other", startedAt), StartedAt: startedAt, Service: "s", Address: address, Slots: 2, State: registry.Ready, Sequence: s.sequences[10],
		})
	}
	other(1, firstAddress)
	other(2, secondAddress)
	s.heartbeat(20, firstAddress, registry.Leaving)
	s.depart(20)
	for range 4 {
		s.heartbeat(10, firstAddress, registry.Ready)
		s.now = s.now.Add(time.Second)
		other(2, secondAddress)
	}
	require.Equal(t, []int64{10}, s.active()[firstAddress])
}

// TestTableOfAnotherNodeDoesNotReorderIncarnations guards against an earlier incarnation with
// a later start time, after a clock was set back, that replaces the active one because another
// node reports it later.
func TestTableOfAnotherNodeDoesNotReorderIncarnations(t *testing.T) {
	for name, address := range map[string]string{"at one address": firstAddress, "at another one": secondAddress} {
		s := newHarness()
		s.heartbeat(10, address, registry.Ready)
		s.table.Report(s.now, registry.Instance{
			ID: registry.IncarnationID(testName, 20), StartedAt: 20, Service: "s", Address: firstAddress, Slots: 2, State: registry.Ready,
			Sequence: 7, Age: time.Second,
		})
		require.Contains(t, s.active()[address], int64(10), name)
	}
}

// TestReplacedIncarnationMayRepeatItsDeparture guards against refusing a repeated departure
// because its incarnation was considered replaced.
func TestReplacedIncarnationMayRepeatItsDeparture(t *testing.T) {
	s := newHarness()
	s.heartbeat(20, firstAddress, registry.Ready)
	s.now = s.now.Add(testMissingAfter + time.Second)
	s.table.Expire(s.now)
	s.heartbeat(10, firstAddress, registry.Ready)
	s.index++
	s.table.MarkNameLeaving(registry.NameDeparture{Name: testName, LogIndex: s.index})
	s.now = s.now.Add(testMissingAfter + time.Second)
	s.table.Expire(s.now)
	require.True(t, s.table.MayDepart(s.now, testName))
	s.now = s.now.Add(testMissingAfter + 5*time.Second)
	require.False(t, s.table.MayDepart(s.now, testName))
}

// TestHeartbeatsForwardedLateDoNotReactivateAnEarlierIncarnation guards against late
// heartbeats that arrive at several nodes at once and are forwarded between them over some
// time, which would look like an incarnation that continues.
func TestHeartbeatsForwardedLateDoNotReactivateAnEarlierIncarnation(t *testing.T) {
	const forwardedWithin = 2 * testMissingAfter
	s := newHarness()
	s.table.SetMinClaimTime(forwardedWithin)
	s.heartbeat(20, firstAddress, registry.Ready)
	s.heartbeat(10, firstAddress, registry.Ready)
	s.depart(10)
	for range 3 {
		s.heartbeat(20, firstAddress, registry.Ready)
		s.now = s.now.Add(forwardedWithin / 4)
	}
	require.Empty(t, s.active())
}

// TestRestoredTableDoesNotDecideWhichIncarnationIsActive guards against an incarnation, whose
// clock was set back, that gets no requests because a node restores it from its file together
// with an earlier one.
func TestRestoredTableDoesNotDecideWhichIncarnationIsActive(t *testing.T) {
	s := newHarness()
	for startedAt, address := range map[int64]string{10: secondAddress, 20: firstAddress} {
		s.table.Report(s.now, registry.Instance{
			ID: registry.IncarnationID(testName, startedAt), StartedAt: startedAt, Service: "s", Address: address, Slots: 2, State: registry.Ready, Sequence: 3, Restored: true,
		})
	}
	require.Equal(t, map[string][]int64{firstAddress: {20}, secondAddress: {10}}, s.active())
	s.heartbeat(30, secondAddress, registry.Ready)
	require.Equal(t, map[string][]int64{secondAddress: {30}}, s.active())
}

// TestRestoredTableDoesNotReactivateAnEarlierIncarnation guards against requests to an earlier
// incarnation, whose clock was set back after it, that a node restores from its file together
// with the incarnation that has left.
func TestRestoredTableDoesNotReactivateAnEarlierIncarnation(t *testing.T) {
	s := newHarness()
	s.index = 7
	for _, startedAt := range []int64{10, 20} {
		state := registry.Ready
		if startedAt == 10 {
			state = registry.Leaving
		}
		s.table.Report(s.now, registry.Instance{
			ID: registry.IncarnationID(testName, startedAt), StartedAt: startedAt, Service: "s", Address: firstAddress, Slots: 2, State: state, Sequence: 3, KnownSinceIndex: 5, Restored: true,
		})
	}
	s.depart(10)
	require.Empty(t, s.active())
}

// TestLateHeartbeatsAtAnotherServersAddressKeepTheActiveIncarnation guards against an
// incarnation that gets no work because late heartbeats of an earlier one win back an address
// that now belongs to another server.
func TestLateHeartbeatsAtAnotherServersAddressKeepTheActiveIncarnation(t *testing.T) {
	s := newHarness()
	s.heartbeat(10, secondAddress, registry.Ready)
	s.heartbeat(5, firstAddress, registry.Ready)
	s.table.Report(s.now, registry.Instance{ID: "other", Service: "s", Address: firstAddress, Slots: 2, State: registry.Ready, Sequence: 1})
	for range 3 {
		s.heartbeat(5, firstAddress, registry.Ready)
	}
	require.Equal(t, []int64{10}, s.active()[secondAddress])
}

// TestLeavingIncarnationReportedAsReplacedStaysLeaving guards against a leaving incarnation
// that becomes missing because a departure of its server names an earlier start time.
func TestLeavingIncarnationReportedAsReplacedStaysLeaving(t *testing.T) {
	s := newHarness()
	s.table.Report(s.now, registry.Instance{
		ID: registry.IncarnationID(testName, 9), StartedAt: 9, Service: "s", Address: firstAddress, Slots: 2, State: registry.Leaving, Sequence: 1, Replaced: true,
	})
	require.Equal(t, registry.Leaving, statesIn(s.table, s.now)["i#9"])
}
