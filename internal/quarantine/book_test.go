package quarantine_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
)

func fingerprintOf(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&message.Request{Method: "GET", Target: name})
}

func reportCommand(name string, trial bool, servers ...string) quarantine.Command {
	return quarantine.Command{Kind: quarantine.Report, Fingerprint: fingerprintOf(name), Servers: servers, Tried: trial, Caller: "c"}
}

func command(kind quarantine.Kind, name string) quarantine.Command {
	return quarantine.Command{Kind: kind, Fingerprint: fingerprintOf(name)}
}

func statusOf(ledger *quarantine.Ledger, name string) quarantine.Status {
	for _, record := range ledger.Records {
		if record.Fingerprint == fingerprintOf(name) {
			return record.Status()
		}
	}
	return quarantine.Unknown
}

func TestServersThatEndTogetherQuarantineNothing(t *testing.T) {
	var ledger quarantine.Ledger
	for server := range 40 {
		ledger.Apply(reportCommand("r", false, fmt.Sprint("i-", server)))
	}
	require.Equal(t, quarantine.Suspected, statusOf(&ledger, "r"))
	require.Equal(t, 40, ledger.Records[0].Ended)
	require.EqualValues(t, 1, ledger.Revision)
}

// TestATrialBesideALostRackQuarantinesNothing guards against quarantining a harmless request
// whose servers fail together and whose first trial runs on the last of them. In a soak run
// (seed 39001, two lanes) another request crashed six servers that were running a sweep, and the
// trial of the sweep ran 50 ms later on a seventh: the sweep was refused by all routers for an
// hour. Hence two trials have to terminate their servers.
func TestATrialBesideALostRackQuarantinesNothing(t *testing.T) {
	var ledger quarantine.Ledger
	for server := range 6 {
		ledger.Apply(reportCommand("r", false, fmt.Sprint("i-", server)))
	}
	require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	ended := reportCommand("r", true, "i-7")
	require.Equal(t, quarantine.Suspected, ledger.Apply(ended).After)
	require.Equal(t, quarantine.Suspected, ledger.Apply(ended).After, "reported again")
	require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	require.Equal(t, quarantine.Quarantined, ledger.Apply(reportCommand("r", true, "i-8")).After)
}

func TestTrialThatEndsItsServerQuarantinesFromTheThirdOn(t *testing.T) {
	var ledger quarantine.Ledger
	ledger.Apply(reportCommand("r", false, "i-1"))
	require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	ledger.Apply(reportCommand("r", true, "i-2"))
	require.Equal(t, quarantine.Suspected, statusOf(&ledger, "r"), "two servers may fail by coincidence")
	require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	outcome := ledger.Apply(reportCommand("r", true, "i-3"))
	require.Equal(t, quarantine.Suspected, outcome.Before)
	require.Equal(t, quarantine.Quarantined, outcome.After)
	require.False(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	ledger.Apply(command(quarantine.Clear, "r"))
	require.Equal(t, quarantine.Quarantined, statusOf(&ledger, "r"), "the answer predates the quarantine")
}

func TestSameServerCountsOnce(t *testing.T) {
	var ledger quarantine.Ledger
	ledger.Apply(reportCommand("r", false, "i-1", "i-1"))
	ledger.Apply(reportCommand("r", false, "i-1"))
	ledger.Apply(reportCommand("r", true, "i-2"))
	require.Equal(t, 2, ledger.Records[0].Ended)
	require.Equal(t, quarantine.Suspected, statusOf(&ledger, "r"))
}

func TestTrialsAreBoundedUntilOneReportsItsOutcome(t *testing.T) {
	var ledger quarantine.Ledger
	require.False(t, ledger.Apply(command(quarantine.Try, "r")).Granted, "a request without a record")
	ledger.Apply(reportCommand("r", false, "i-1"))
	for range quarantine.MaxTrials {
		require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	}
	require.False(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	ledger.Apply(command(quarantine.Return, "r"))
	require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	ledger.Apply(reportCommand("r", true, "i-2"))
	require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
}

func TestAnswerEndsSuspicionAndAnOperatorLiftsAll(t *testing.T) {
	var ledger quarantine.Ledger
	ledger.Apply(reportCommand("r", false, "i-1"))
	require.Equal(t, quarantine.Unknown, ledger.Apply(command(quarantine.Clear, "r")).After)
	ledger.Apply(reportCommand("q", true, "i-1", "i-2", "i-3"))
	require.Equal(t, quarantine.Quarantined, statusOf(&ledger, "q"))
	require.Equal(t, quarantine.Unknown, ledger.Apply(command(quarantine.Lift, "q")).After)
	require.Empty(t, ledger.Records)
	revision := ledger.Revision
	ledger.Apply(command(quarantine.Lift, "q"))
	require.Equal(t, revision, ledger.Revision)
}

func TestExpiredQuarantineIsTriedBeforeItIsServed(t *testing.T) {
	var ledger quarantine.Ledger
	ledger.Apply(reportCommand("r", true, "i-1", "i-2", "i-3"))
	require.Equal(t, quarantine.Suspected, ledger.Apply(command(quarantine.Expire, "r")).After)
	require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	require.Equal(t, quarantine.Quarantined, ledger.Apply(reportCommand("r", true, "i-4")).After)
	ledger.Apply(command(quarantine.Expire, "r"))
	require.Equal(t, quarantine.Unknown, ledger.Apply(command(quarantine.Expire, "r")).After)
}

// TestCallerWithManyRecordsEvictsOnlyItsOwn reports more requests of one caller than the
// ledger holds.
func TestCallerWithManyRecordsEvictsOnlyItsOwn(t *testing.T) {
	var ledger quarantine.Ledger
	others := reportCommand("other", true, "i-1", "i-2", "i-3")
	others.Caller = "other"
	ledger.Apply(others)
	ledger.Apply(reportCommand("own", true, "i-1", "i-2", "i-3"))
	for number := range 3 * quarantine.MaxRecords {
		ledger.Apply(reportCommand(fmt.Sprint("many-", number), false, "i-9"))
	}
	require.Len(t, ledger.Records, quarantine.MaxRecords)
	require.Equal(t, quarantine.Quarantined, statusOf(&ledger, "other"))
	require.Equal(t, quarantine.Quarantined, statusOf(&ledger, "own"), "suspected requests are evicted first")
	for number := range 3 * quarantine.MaxRecords {
		ledger.Apply(reportCommand(fmt.Sprint("certain-", number), true, "i-1", "i-2", "i-3"))
	}
	require.Equal(t, quarantine.Quarantined, statusOf(&ledger, "other"))
	require.Equal(t, quarantine.Unknown, statusOf(&ledger, "own"))
}

func TestOrdersOutOfBoundsAreRefused(t *testing.T) {
	require.NoError(t, reportCommand("r", false, "i-1").Check())
	require.Error(t, quarantine.Command{Kind: "other"}.Check())
	require.Error(t, quarantine.Command{}.Check())
	require.Error(t, reportCommand("r", false, strings.Repeat("x", 300)).Check())
}

func TestLedgerRoundTripsAsJSON(t *testing.T) {
	var ledger, read quarantine.Ledger
	ledger.Apply(reportCommand("r", true, "i-1", "i-2", "i-3"))
	ledger.Apply(reportCommand("s", false, "i-1"))
	text, err := json.Marshal(ledger)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, ledger, read)
}

func TestViewTakesNewerRevisionsAndKeepsOwnReports(t *testing.T) {
	var view quarantine.View
	require.True(t, view.Empty())
	view.Reported(fingerprintOf("own"), false, false)
	require.Equal(t, quarantine.Suspected, view.Status(fingerprintOf("own")))
	added := view.Update(3, []quarantine.Entry{{Fingerprint: fingerprintOf("q"), Quarantined: true}, {Fingerprint: fingerprintOf("s")}})
	require.Equal(t, []quarantine.Fingerprint{fingerprintOf("q")}, added)
	require.Empty(t, view.Update(2, nil), "an older revision")
	require.Equal(t, quarantine.Quarantined, view.Status(fingerprintOf("q")))
	require.Equal(t, quarantine.Suspected, view.Status(fingerprintOf("own")), "not acknowledged yet")
	require.True(t, view.Pending(fingerprintOf("own")))
	view.Acknowledged(fingerprintOf("own"), 4)
	require.False(t, view.Pending(fingerprintOf("own")))
	require.Equal(t, quarantine.Suspected, view.Status(fingerprintOf("own")))
	require.Empty(t, view.Update(4, nil))
	require.True(t, view.Empty(), "the published ledger has cleared it")
	view.Reported(fingerprintOf("dropped"), false, false)
	view.Acknowledged(fingerprintOf("dropped"), 0)
	require.True(t, view.Empty())
}

// TestRouterWithoutLedgerQuarantinesByItsOwnReports terminates servers under a request at
// one router whose reports are not acknowledged.
func TestRouterWithoutLedgerQuarantinesByItsOwnReports(t *testing.T) {
	var view quarantine.View
	own := fingerprintOf("own")
	for range 5 {
		view.Reported(own, false, false)
		require.Equal(t, quarantine.Suspected, view.Status(own))
	}
	view.Reported(own, true, false)
	require.Equal(t, quarantine.Suspected, view.Status(own), "one trial may hit the outage that ended the others")
	view.Reported(own, true, false)
	require.Equal(t, quarantine.Quarantined, view.Status(own))
	view.Acknowledged(own, 1)
	view.Update(1, nil)
	require.Equal(t, quarantine.Unknown, view.Status(own), "the published ledger takes precedence")
}

// heldCommand is a command of a start of a router, some seconds after the first.
func heldCommand(kind quarantine.Kind, router string, start uint64, seconds int) quarantine.Command {
	order := command(kind, "r")
	order.By, order.Start = router, start
	order.At = time.Date(2026, 1, 1, 0, 0, seconds, 0, time.UTC)
	return order
}

// TestTrialsEndWithTheRoutersThatHoldThem guards against trials that stay counted when the routers
// that ran them were killed.
func TestTrialsEndWithTheRoutersThatHoldThem(t *testing.T) {
	var ledger quarantine.Ledger
	ledger.Apply(reportCommand("r", false, "i-1"))
	require.True(t, ledger.Apply(heldCommand(quarantine.Try, "a", 1, 0)).Granted)
	require.True(t, ledger.Apply(heldCommand(quarantine.Try, "b", 1, 0)).Granted)
	require.False(t, ledger.Apply(heldCommand(quarantine.Try, "c", 1, 1)).Granted)
	require.True(t, ledger.Apply(heldCommand(quarantine.Try, "a", 2, 2)).Granted, "a has started again")
	require.False(t, ledger.Apply(heldCommand(quarantine.Try, "c", 1, 3)).Granted)
	ledger.Apply(heldCommand(quarantine.Return, "b", 2, 4))
	require.False(t, ledger.Apply(heldCommand(quarantine.Try, "c", 1, 4)).Granted, "the trial of another start")
	ledger.Apply(heldCommand(quarantine.Return, "a", 2, 5))
	ledger.Apply(heldCommand(quarantine.Return, "a", 2, 5))
	require.True(t, ledger.Apply(heldCommand(quarantine.Try, "c", 1, 5)).Granted)
	require.False(t, ledger.Apply(heldCommand(quarantine.Try, "d", 1, 5)).Granted, "a return that is repeated counts once")
	require.True(t, ledger.Apply(heldCommand(quarantine.Try, "d", 1, 130)).Granted, "b is lost for good")
}

// TestTrialsWithoutAStartAreCountedBesides checks orders of routers that do not tell their start.
func TestTrialsWithoutAStartAreCountedBesides(t *testing.T) {
	var ledger quarantine.Ledger
	ledger.Apply(reportCommand("r", false, "i-1"))
	require.True(t, ledger.Apply(heldCommand(quarantine.Try, "a", 1, 0)).Granted)
	require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	require.False(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	ledger.Apply(command(quarantine.Return, "r"))
	ledger.Apply(command(quarantine.Return, "r"))
	require.True(t, ledger.Apply(command(quarantine.Try, "r")).Granted)
	require.False(t, ledger.Apply(command(quarantine.Try, "r")).Granted, "the trial of a is still in flight")
}

// heldFailure reports that the server of a trial terminated.
func heldFailure(router string, server string, answered bool) quarantine.Command {
	report := reportCommand("r", true, server)
	report.By, report.Start, report.Answered = router, 1, answered
	return report
}

// TestTrialsInFlightTogetherCountOnce guards against one crash of a whole service that ends the
// servers of two trials.
func TestTrialsInFlightTogetherCountOnce(t *testing.T) {
	var ledger quarantine.Ledger
	ledger.Apply(reportCommand("r", false, "i-1"))
	for _, router := range []string{"a", "b"} {
		require.True(t, ledger.Apply(heldCommand(quarantine.Try, router, 1, 0)).Granted)
	}
	require.Equal(t, quarantine.Suspected, ledger.Apply(heldFailure("a", "i-2", false)).After)
	require.Equal(t, quarantine.Suspected, ledger.Apply(heldFailure("b", "i-3", false)).After)
	require.True(t, ledger.Apply(heldCommand(quarantine.Try, "c", 1, 1)).Granted)
	require.Equal(t, quarantine.Quarantined, ledger.Apply(heldFailure("c", "i-4", false)).After)
}

// TestAnsweredRequestTakesMoreTrialsToQuarantine guards against popular requests that are refused for
// good because the servers of their service crash in a loop.
func TestAnsweredRequestTakesMoreTrialsToQuarantine(t *testing.T) {
	var ledger quarantine.Ledger
	var view quarantine.View
	ledger.Apply(reportCommand("r", false, "i-1"))
	for number := range 7 {
		require.True(t, ledger.Apply(heldCommand(quarantine.Try, "a", 1, number)).Granted)
		require.Equal(t, quarantine.Suspected, ledger.Apply(heldFailure("a", fmt.Sprint("i-", number+2), true)).After)
		view.Reported(fingerprintOf("r"), true, true)
		require.Equal(t, quarantine.Suspected, view.Status(fingerprintOf("r")))
	}
	require.True(t, ledger.Apply(heldCommand(quarantine.Try, "a", 1, 9)).Granted)
	require.Equal(t, quarantine.Quarantined, ledger.Apply(heldFailure("a", "i-9", true)).After)
	view.Reported(fingerprintOf("r"), true, true)
	require.Equal(t, quarantine.Quarantined, view.Status(fingerprintOf("r")))
}
