package incident

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/journal"
)

var update = flag.Bool("update", false, "write the golden files anew")

var bangkok = time.FixedZone("", 7*60*60)

func at(clock string) time.Time {
	moment, err := time.ParseInLocation(time.DateTime, clock, bangkok)
	if err != nil {
		panic(err)
	}
	return moment
}

// evening and morning are parts of the night that the tests make.
func evening(clock string) time.Time { return at("2026-03-01 " + clock) }
func morning(clock string) time.Time { return at("2026-03-02 " + clock) }

// madeNight is what a journal holds after a bad night.
func madeNight() []journal.Event {
	const replica, lostReplica = "10.1.0.4:7000", "10.1.0.9:7000"
	events := []journal.Event{
		// Begun before the window and never over.
		{Time: evening("16:10:00"), Kind: journal.KindVoterLost, Source: "control-1", Address: "10.0.0.3:7300", Detail: "voter 3 does not answer"},
		{Time: evening("17:00:00"), Kind: journal.KindReplicaEjected, Source: "router-1", Address: "10.1.0.1:7000", Detail: "for 5s"},
		{Time: evening("17:01:00"), Kind: journal.KindReplicaReturned, Source: "router-1", Address: "10.1.0.1:7000"},
		// A replica that flaps, seen by two routers.
		{Time: evening("19:00:00"), Kind: journal.KindReplicaEjected, Source: "router-1", Address: replica, Service: "seat-finder", Shard: "s2", Detail: "for 5s"},
		{Time: evening("19:00:01"), Kind: journal.KindReplicaEjected, Source: "router-2", Address: replica, Service: "seat-finder", Shard: "s2", Detail: "for 5s"},
		{Time: evening("19:00:40"), Kind: journal.KindReplicaReturned, Source: "router-1", Address: replica},
		{Time: evening("19:00:50"), Kind: journal.KindReplicaReturned, Source: "router-2", Address: replica},
		{Time: evening("19:03:00"), Kind: journal.KindReplicaEjected, Source: "router-1", Address: replica, Service: "seat-finder", Shard: "s2", Detail: "for 5s"},
		{Time: evening("19:04:00"), Kind: journal.KindReplicaReturned, Source: "router-1", Address: replica},
		// A shard without replicas, and what callers saw of it.
		{Time: evening("22:15:00"), Kind: journal.KindShardUncovered, Source: "router-2", Service: "library-feed", Shard: "north"},
		{Time: evening("22:15:02"), Kind: journal.KindShardUncovered, Source: "router-1", Service: "library-feed", Shard: "north"},
		{Time: evening("22:15:03"), LastTime: evening("22:24:00"), Count: 812, Kind: journal.KindCoverageBelowPolicy, Source: "router-1", Service: "library-feed", Shard: "north", Detail: "feed: partial answer"},
		{Time: evening("22:15:03"), LastTime: evening("22:25:00"), Count: 430, Kind: journal.KindCoverageBelowPolicy, Source: "router-2", Service: "library-feed", Shard: "north", Detail: "feed: partial answer"},
		{Time: evening("22:16:00"), LastTime: evening("22:24:10"), Count: 47, Kind: journal.KindCoverageBelowPolicy, Source: "router-1", Service: "library-feed", Shard: "north", Detail: "exact: no answer, coverage"},
		{Time: evening("22:25:10"), Kind: journal.KindShardCovered, Source: "router-1", Service: "library-feed", Shard: "north"},
		{Time: evening("22:25:30"), Kind: journal.KindShardCovered, Source: "router-2", Service: "library-feed", Shard: "north"},
		{Time: evening("23:00:00"), LastTime: evening("23:10:00"), Count: 90, Kind: journal.KindSurgeRefused, Source: "router-1", Service: "seat-finder", Detail: "seats"},
		// The leader is lost; the new one sees voter 1 lost and voter 3 back.
		{Time: morning("01:00:01"), Kind: journal.KindLeaderChanged, Source: "control-2", Detail: "voter 2 leads in term 9"},
		{Time: morning("01:00:02"), Kind: journal.KindVoterLost, Source: "control-2", Address: "10.0.0.1:7300", Detail: "voter 1 does not answer"},
		{Time: morning("01:00:09"), Kind: journal.KindLeaseLost, Source: "router-2"},
		{Time: morning("01:00:12"), Kind: journal.KindLeaseGained, Source: "router-2"},
		{Time: morning("01:02:00"), Kind: journal.KindRelayLost, Source: "control-2", Detail: "relay-4 relay-5", Count: 2},
		{Time: morning("01:01:50"), Kind: journal.KindUpstreamLost, Source: "router-1", Address: "10.0.1.4:7400", Detail: "connection refused"},
		{Time: morning("01:01:51"), Kind: journal.KindUpstreamLost, Source: "router-2", Address: "10.0.1.4:7400", Detail: "deadline exceeded"},
		{Time: morning("01:40:00"), Kind: journal.KindLeaseGained, Source: "relay-4"},
		{Time: morning("01:40:00"), Kind: journal.KindRestarted, Source: "relay-4", Detail: "relay started"},
		// A router that is killed forgets which replicas it had ejected.
		{Time: morning("02:00:00"), Kind: journal.KindReplicaEjected, Source: "router-1", Address: "10.1.0.7:7000", Detail: "for 5s"},
		{Time: morning("02:05:00"), Kind: journal.KindRestarted, Source: "router-1", Detail: "router started"},
		{Time: morning("02:05:00"), Kind: journal.KindCrashed, Source: "router-1", Detail: "the run before did not end as planned"},
		{Time: morning("03:00:00"), Kind: journal.KindDrainBegun, Source: "control", Address: "10.1.0.20:7000", Detail: "marked by malee"},
		{Time: morning("03:00:01"), Kind: journal.KindDrainBegun, Source: "router-1", Address: "10.1.0.20:7000", Detail: "by the word of others"},
		{Time: morning("03:30:00"), Kind: journal.KindChangeAccepted, Source: "control", Detail: "by malee: revision 12 (change c-12)"},
		{Time: morning("03:31:00"), LastTime: morning("03:31:50"), Count: 40, Kind: journal.KindChangeRefused, Source: "control", Detail: "by loop: written against revision 3, but the latest is 12 by malee (change c-12) (change x-1)"},
		{Time: morning("04:00:00"), Kind: journal.KindReplicaEjected, Source: "router-2", Address: lostReplica, Service: "library-feed", Shard: "north", Detail: "for 1m0s"},
		{Time: morning("04:10:00"), Kind: journal.KindDiskFailed, Source: "router-2", Detail: "events can't be stored: no space left on device"},
		{Time: morning("05:00:00"), LastTime: morning("05:20:00"), Count: 9, Kind: journal.KindDiskSlow, Source: "control-2", Detail: "a write of voter 2 has waited longer than 1s for the disk"},
		{Time: morning("05:30:00"), Count: 120, Kind: journal.KindEventsDropped, Source: "router-3", Detail: "120 events were dropped because the spool was full"},
	}
	for number := range 25 {
		events = append(events, journal.Event{
			Time: morning("06:00:00").Add(time.Duration(number) * time.Second), Kind: journal.KindReplicaEjected,
			Source: "router-1", Address: fmt.Sprintf("10.2.0.%d:7000", number), Service: "archive", Shard: "rack-7", Detail: "for 5s",
		})
	}
	return events
}

func madeReport() *Report {
	return New(madeNight(), Request{Since: evening("18:00:00"), Until: morning("07:30:00"), Dropped: 3})
}

// TestReportOfAMadeNight compares all forms of a report with reviewed files.
func TestReportOfAMadeNight(t *testing.T) {
	report := madeReport()
	var text, page bytes.Buffer
	require.NoError(t, report.Text(&text, bangkok))
	require.NoError(t, report.HTML(&page, bangkok))
	document, err := json.MarshalIndent(report, "", "  ")
	require.NoError(t, err)
	for name, content := range map[string][]byte{"night.txt": text.Bytes(), "night.html": page.Bytes(), "night.json": document} {
		path := filepath.Join("testdata", name)
		if *update {
			require.NoError(t, os.WriteFile(path, content, 0o600))
		}
		golden, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, string(golden), string(content), name)
	}
}

func one(t *testing.T, report *Report, class Class, subject string) *Incident {
	t.Helper()
	var found *Incident
	for _, incident := range append(report.Failures, report.Drains...) {
		if incident.Class == class && incident.Subject == subject {
			require.Nil(t, found, "more than one incident")
			found = incident
		}
	}
	require.NotNil(t, found)
	return found
}

// TestIncidentsEndWhenTheLastWitnessSaysSo checks how events pair.
func TestIncidentsEndWhenTheLastWitnessSaysSo(t *testing.T) {
	report := madeReport()
	flapping := one(t, report, ReplicaEjected, "10.1.0.4:7000")
	require.Equal(t, evening("19:00:00"), flapping.Begun)
	require.Equal(t, evening("19:04:00"), flapping.Ended)
	require.Equal(t, 2, flapping.Episodes)
	require.Equal(t, []string{"router-1", "router-2"}, flapping.Witnesses)

	require.Equal(t, morning("01:00:01"), one(t, report, VoterLost, "10.0.0.3:7300").Ended, "the new leader does not see it lost")
	require.True(t, one(t, report, VoterLost, "10.0.0.1:7300").Open())
	require.Equal(t, morning("01:00:12"), one(t, report, LeaseLost, "router-2").Ended)
	require.Equal(t, morning("01:40:00"), one(t, report, RelayLost, "relay-4").Ended)
	require.True(t, one(t, report, RelayLost, "relay-5").Open())
	require.Equal(t, morning("02:05:00"), one(t, report, ReplicaEjected, "10.1.0.7:7000").Ended, "its only witness knows nothing any more")
	require.True(t, one(t, report, Drain, "10.1.0.20:7000").Open())
	for _, incident := range report.Failures {
		require.NotEqual(t, "10.1.0.1:7000", incident.Subject, "over before the window")
	}
}

// TestJoinedEventsOverlap pairs events that stand for several: what began again
// after its last end goes on.
func TestJoinedEventsOverlap(t *testing.T) {
	events := []journal.Event{
		{Time: evening("19:00:00"), LastTime: evening("19:20:00"), Count: 9, Kind: journal.KindReplicaEjected, Source: "router-1", Address: "10.1.0.1:7000"},
		{Time: evening("19:00:30"), LastTime: evening("19:18:00"), Count: 8, Kind: journal.KindReplicaReturned, Source: "router-1", Address: "10.1.0.1:7000"},
		{Time: evening("19:00:00"), LastTime: evening("19:10:00"), Count: 4, Kind: journal.KindReplicaEjected, Source: "router-1", Address: "10.1.0.2:7000"},
		{Time: evening("19:00:30"), LastTime: evening("19:11:00"), Count: 4, Kind: journal.KindReplicaReturned, Source: "router-1", Address: "10.1.0.2:7000"},
	}
	report := New(events, Request{Since: evening("18:00:00"), Until: evening("20:00:00")})
	again, over := one(t, report, ReplicaEjected, "10.1.0.1:7000"), one(t, report, ReplicaEjected, "10.1.0.2:7000")
	require.True(t, again.Open())
	require.Equal(t, evening("19:11:00"), over.Ended)
	require.Len(t, report.Failures, 2)
}

// TestLeaseThatWasGainedTwice has the loss between the two times of one event.
func TestLeaseThatWasGainedTwice(t *testing.T) {
	events := []journal.Event{
		{Time: evening("19:00:00"), LastTime: evening("19:02:00"), Count: 2, Kind: journal.KindLeaseGained, Source: "router-1"},
		{Time: evening("19:01:00"), Kind: journal.KindLeaseLost, Source: "router-1"},
	}
	report := New(events, Request{Since: evening("18:00:00"), Until: evening("20:00:00")})
	lost := one(t, report, LeaseLost, "router-1")
	require.Equal(t, evening("19:02:00"), lost.Ended)
	require.EqualValues(t, 1, lost.Count)
}

// TestReportOfOneService leaves other services out and keeps the fleet's own.
func TestReportOfOneService(t *testing.T) {
	report := New(madeNight(), Request{Since: evening("18:00:00"), Until: morning("07:30:00"), Service: "seat-finder"})
	require.Len(t, report.Answers, 1)
	require.EqualValues(t, 90, report.AnswerCount())
	one(t, report, VoterLost, "10.0.0.1:7300")
	for _, incident := range report.Failures {
		require.NotEqual(t, "library-feed", incident.Service)
	}
}

// TestQuietNight has nothing to say.
func TestQuietNight(t *testing.T) {
	report := New(nil, Request{Since: evening("18:00:00"), Until: morning("07:30:00")})
	var text bytes.Buffer
	require.NoError(t, report.Text(&text, bangkok))
	require.Equal(t, "Report of 2026-03-01 18:00 +0700 to 2026-03-02 07:30 +0700\n"+
		"0 incidents go on, 0 are over. No answer was short of its policy.\n\nNothing is left to do.\n", text.String())
}

// TestRegionsThatLoseEachOtherAreOneIncident: two routers see it begin and end;
// it lasts from the first to the last, and a task says what to do while it goes on.
func TestRegionsThatLoseEachOtherAreOneIncident(t *testing.T) {
	begun := time.Unix(1_700_000_000, 0)
	event := func(kind journal.Kind, source string, minutes int) journal.Event {
		return journal.Event{Kind: kind, Source: source, Detail: "region north", Count: 1,
			Time: begun.Add(time.Duration(minutes) * time.Minute)}
	}
	events := []journal.Event{
		event(journal.KindRegionUnreachable, "router-1", 0), event(journal.KindRegionUnreachable, "router-2", 1),
		event(journal.KindRegionReachable, "router-1", 60),
	}
	window := Request{Since: begun.Add(-time.Hour), Until: begun.Add(2 * time.Hour)}
	open := New(events, window)
	require.Len(t, open.Failures, 1)
	require.True(t, open.Failures[0].Open(), "router-2 does not reach it yet")
	require.Equal(t, "regions.md", open.Tasks[0].Page)
	over := New(append(events, event(journal.KindRegionReachable, "router-2", 61)), window)
	require.Len(t, over.Failures, 1)
	require.Equal(t, "region north", over.Failures[0].About())
	require.Equal(t, 61*time.Minute, over.Failures[0].Lasted(window.Until))
	require.Empty(t, over.Tasks)
}
