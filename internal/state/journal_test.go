package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	eventjournal "github.com/martenstage/martenstage/internal/journal"
)

// sequencedEvent returns an event with an id of the form INCARNATION/SEQUENCE.
func sequencedEvent(run string, sequence int, kind string, at time.Time) *v1.Event {
	return &v1.Event{
		Id: fmt.Sprintf("%s/%d", run, sequence), Time: timestamppb.New(at), LastTime: timestamppb.New(at),
		Kind: kind, Source: "router-1", Count: 1,
	}
}

// TestEveryEventCountsOnce appends batches with many equal events and delivers each
// one or more times, across restarts of the machine and of the source. Every event
// must be counted once, events further apart than maxMergeGap must not be merged,
// and no id may occur twice.
func TestEveryEventCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, DefaultLimits())
		want := map[string]uint64{}
		episodes := 0
		lastOf := map[string]time.Time{}
		sequence, boot := 0, 1
		for range rapid.IntRange(1, 30).Draw(t, "batches") {
			var batch []*v1.Event
			for range rapid.IntRange(1, 5).Draw(t, "size") {
				sequence++
				kind := rapid.SampledFrom([]string{"lease_lost", "disk_slow", "bad_echo"}).Draw(t, "kind")
				h.now = h.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
				batch = append(batch, sequencedEvent(fmt.Sprintf("router-1/%d", boot), sequence, kind, h.now))
				want[kind]++
				if last, seen := lastOf[kind]; !seen || h.now.Sub(last) >= maxMergeGap {
					episodes++
				}
				lastOf[kind] = h.now
			}
			for range rapid.IntRange(1, 3).Draw(t, "deliveries") {
				h.apply(&v1.StateCommand{Body: &v1.StateCommand_Events{Events: &v1.EventsCommand{Events: batch}}})
				if rapid.Bool().Draw(t, "restart") {
					h.restart(t)
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "source restarts") == 0 {
				boot, sequence = boot+1, 0
			}
		}
		events := h.machine.Events(EventFilter{Limit: 1000})
		require.Len(t, events, episodes)
		got := map[string]uint64{}
		for _, event := range events {
			got[event.GetKind()] += event.GetCount()
		}
		require.Equal(t, want, got)
		ids := lo.Map(events, func(event *v1.Event, _ int) string { return event.GetId() })
		require.Len(t, lo.Uniq(ids), len(ids))
	})
}

// TestRepeatedFailuresAreMerged simulates a long outage of a service with eight
// shards and three outcomes, reported every ten seconds by 24 routers with four
// engines each. It guards against a journal that fills up with equal events.
func TestRepeatedFailuresAreMerged(t *testing.T) {
	const routers, engines, shards, outcomes, rounds = 24, 4, 8, 3, 60
	machine := New(DefaultLimits())
	now := time.Unix(1_700_000_000, 0)
	sequence := 0
	for range rounds {
		now = now.Add(10 * time.Second)
		for router := range routers {
			var batch []*v1.Event
			for index := range engines * shards * outcomes {
				sequence++
				event := sequencedEvent(fmt.Sprintf("router-%d/1", router), sequence, "coverage_below_policy", now)
				event.Source = fmt.Sprint("router-", router)
				event.Shard, event.Detail = fmt.Sprint("s", index%shards), fmt.Sprint("outcome ", index/shards%outcomes)
				batch = append(batch, event)
			}
			data, err := Encode(now, &v1.StateCommand{Body: &v1.StateCommand_Events{Events: &v1.EventsCommand{Events: batch}}})
			require.NoError(t, err)
			_, err = machine.Apply(data)
			require.NoError(t, err)
		}
	}
	events := machine.Events(EventFilter{Limit: 100_000})
	require.Len(t, events, routers*shards*outcomes)
	require.Zero(t, machine.EventsDropped())
	for _, event := range events {
		require.EqualValues(t, engines*rounds, event.GetCount())
	}
}

// TestRoutineEventsDoNotEvictFailures records failures and between them far more
// routine events than the journal holds, with a restart of the machine.
func TestRoutineEventsDoNotEvictFailures(t *testing.T) {
	h := newHarness(t, smallLimits())
	append := func(id int, kind eventjournal.Kind) {
		event := sequencedEvent("router-1/1", id, string(kind), h.now)
		h.apply(&v1.StateCommand{Body: &v1.StateCommand_Events{Events: &v1.EventsCommand{Events: []*v1.Event{event}}}})
	}
	kinds := []eventjournal.Kind{
		eventjournal.KindChangeAccepted, eventjournal.KindRestarted,
		eventjournal.KindDrainBegun, eventjournal.KindDrainDone,
	}
	append(1, eventjournal.KindLeaseLost)
	for number := range 100 {
		h.now = h.now.Add(maxMergeGap)
		append(2+number, kinds[number%len(kinds)])
		if number == 50 {
			h.reload()
		}
	}
	append(102, eventjournal.KindDiskFailed)
	events := h.machine.Events(EventFilter{Limit: 1000})
	require.Len(t, events, 12)
	require.Equal(t, string(eventjournal.KindLeaseLost), events[0].GetKind())
	require.Equal(t, string(eventjournal.KindDiskFailed), events[11].GetKind())
	require.EqualValues(t, 90, h.machine.EventsDropped())
	newest := h.machine.Events(EventFilter{Limit: 2})
	require.Equal(t, events[10:], newest)
}
