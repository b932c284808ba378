package quarantine_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
)

func fingerprintOf(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(&message.Request{Method: "GET", Target: name})
}

func report(name string, tried bool, servers ...string) quarantine.Order {
	return quarantine.Order{Kind: quarantine.Report, Fingerprint: fingerprintOf(name), Servers: servers, Tried: tried, Caller: "c"}
}

func order(kind quarantine.Kind, name string) quarantine.Order {
	return quarantine.Order{Kind: kind, Fingerprint: fingerprintOf(name)}
}

func standing(book *quarantine.Book, name string) quarantine.Standing {
	for _, record := range book.Records {
		if record.Fingerprint == fingerprintOf(name) {
			return record.Standing()
		}
	}
	return quarantine.Unknown
}

func TestServersThatEndTogetherQuarantineNothing(t *testing.T) {
	var book quarantine.Book
	for server := range 40 {
		book.Apply(report("r", false, fmt.Sprint("i-", server)))
	}
	require.Equal(t, quarantine.Suspected, standing(&book, "r"))
	require.Equal(t, 40, book.Records[0].Ended)
	require.EqualValues(t, 1, book.Revision)
}

// TestATrialBesideALostRackQuarantinesNothing has a harmless request run at servers which end
// together, and its first trial at the last of them. It was quarantined for an hour and refused at
// all routers: in the soak (seed 39001, two lanes) six servers that another request ended had a
// sweep at them, and its trial ran 50 ms later at a seventh. Two trials have to end their servers.
func TestATrialBesideALostRackQuarantinesNothing(t *testing.T) {
	var book quarantine.Book
	for server := range 6 {
		book.Apply(report("r", false, fmt.Sprint("i-", server)))
	}
	require.True(t, book.Apply(order(quarantine.Try, "r")).Granted)
	ended := report("r", true, "i-7")
	require.Equal(t, quarantine.Suspected, book.Apply(ended).After)
	require.Equal(t, quarantine.Suspected, book.Apply(ended).After, "reported again")
	require.True(t, book.Apply(order(quarantine.Try, "r")).Granted)
	require.Equal(t, quarantine.Quarantined, book.Apply(report("r", true, "i-8")).After)
}

func TestTrialThatEndsItsServerQuarantinesFromTheThirdOn(t *testing.T) {
	var book quarantine.Book
	book.Apply(report("r", false, "i-1"))
	require.True(t, book.Apply(order(quarantine.Try, "r")).Granted)
	book.Apply(report("r", true, "i-2"))
	require.Equal(t, quarantine.Suspected, standing(&book, "r"), "two servers may end by chance")
	require.True(t, book.Apply(order(quarantine.Try, "r")).Granted)
	outcome := book.Apply(report("r", true, "i-3"))
	require.Equal(t, quarantine.Suspected, outcome.Before)
	require.Equal(t, quarantine.Quarantined, outcome.After)
	require.False(t, book.Apply(order(quarantine.Try, "r")).Granted)
	book.Apply(order(quarantine.Clear, "r"))
	require.Equal(t, quarantine.Quarantined, standing(&book, "r"), "an answer from before")
}

func TestSameServerCountsOnce(t *testing.T) {
	var book quarantine.Book
	book.Apply(report("r", false, "i-1", "i-1"))
	book.Apply(report("r", false, "i-1"))
	book.Apply(report("r", true, "i-2"))
	require.Equal(t, 2, book.Records[0].Ended)
	require.Equal(t, quarantine.Suspected, standing(&book, "r"))
}

func TestTrialsAreBoundedUntilOneTellsItsOutcome(t *testing.T) {
	var book quarantine.Book
	require.False(t, book.Apply(order(quarantine.Try, "r")).Granted, "a request without a record")
	book.Apply(report("r", false, "i-1"))
	for range quarantine.MaxTrials {
		require.True(t, book.Apply(order(quarantine.Try, "r")).Granted)
	}
	require.False(t, book.Apply(order(quarantine.Try, "r")).Granted)
	book.Apply(order(quarantine.Return, "r"))
	require.True(t, book.Apply(order(quarantine.Try, "r")).Granted)
	book.Apply(report("r", true, "i-2"))
	require.True(t, book.Apply(order(quarantine.Try, "r")).Granted)
}

func TestAnswerEndsSuspicionAndAnOperatorLiftsAll(t *testing.T) {
	var book quarantine.Book
	book.Apply(report("r", false, "i-1"))
	require.Equal(t, quarantine.Unknown, book.Apply(order(quarantine.Clear, "r")).After)
	book.Apply(report("q", true, "i-1", "i-2", "i-3"))
	require.Equal(t, quarantine.Quarantined, standing(&book, "q"))
	require.Equal(t, quarantine.Unknown, book.Apply(order(quarantine.Lift, "q")).After)
	require.Empty(t, book.Records)
	revision := book.Revision
	book.Apply(order(quarantine.Lift, "q"))
	require.Equal(t, revision, book.Revision)
}

func TestExpiredQuarantineIsTriedBeforeItIsServed(t *testing.T) {
	var book quarantine.Book
	book.Apply(report("r", true, "i-1", "i-2", "i-3"))
	require.Equal(t, quarantine.Suspected, book.Apply(order(quarantine.Expire, "r")).After)
	require.True(t, book.Apply(order(quarantine.Try, "r")).Granted)
	require.Equal(t, quarantine.Quarantined, book.Apply(report("r", true, "i-4")).After)
	book.Apply(order(quarantine.Expire, "r"))
	require.Equal(t, quarantine.Unknown, book.Apply(order(quarantine.Expire, "r")).After)
}

// TestCallerWithManyRecordsPushesOutOnlyItsOwn has one caller report more requests than a
// book holds.
func TestCallerWithManyRecordsPushesOutOnlyItsOwn(t *testing.T) {
	var book quarantine.Book
	others := report("other", true, "i-1", "i-2", "i-3")
	others.Caller = "other"
	book.Apply(others)
	book.Apply(report("own", true, "i-1", "i-2", "i-3"))
	for number := range 3 * quarantine.MaxRecords {
		book.Apply(report(fmt.Sprint("many-", number), false, "i-9"))
	}
	require.Len(t, book.Records, quarantine.MaxRecords)
	require.Equal(t, quarantine.Quarantined, standing(&book, "other"))
	require.Equal(t, quarantine.Quarantined, standing(&book, "own"), "suspected ones go first")
	for number := range 3 * quarantine.MaxRecords {
		book.Apply(report(fmt.Sprint("certain-", number), true, "i-1", "i-2", "i-3"))
	}
	require.Equal(t, quarantine.Quarantined, standing(&book, "other"))
	require.Equal(t, quarantine.Unknown, standing(&book, "own"))
}

func TestOrdersOutOfBoundsAreRefused(t *testing.T) {
	require.NoError(t, report("r", false, "i-1").Check())
	require.Error(t, quarantine.Order{Kind: "other"}.Check())
	require.Error(t, quarantine.Order{}.Check())
	require.Error(t, report("r", false, strings.Repeat("x", 300)).Check())
}

func TestBookTravelsAsText(t *testing.T) {
	var book, read quarantine.Book
	book.Apply(report("r", true, "i-1", "i-2", "i-3"))
	book.Apply(report("s", false, "i-1"))
	text, err := json.Marshal(book)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, book, read)
}

func TestViewTakesNewerRevisionsAndKeepsOwnReports(t *testing.T) {
	var view quarantine.View
	require.True(t, view.Empty())
	view.Reported(fingerprintOf("own"), false)
	require.Equal(t, quarantine.Suspected, view.Standing(fingerprintOf("own")))
	added := view.Take(3, []quarantine.Entry{{Fingerprint: fingerprintOf("q"), Quarantined: true}, {Fingerprint: fingerprintOf("s")}})
	require.Equal(t, []quarantine.Fingerprint{fingerprintOf("q")}, added)
	require.Empty(t, view.Take(2, nil), "an older revision")
	require.Equal(t, quarantine.Quarantined, view.Standing(fingerprintOf("q")))
	require.Equal(t, quarantine.Suspected, view.Standing(fingerprintOf("own")), "not acknowledged yet")
	require.True(t, view.Pending(fingerprintOf("own")))
	view.Acknowledged(fingerprintOf("own"), 4)
	require.False(t, view.Pending(fingerprintOf("own")))
	require.Equal(t, quarantine.Suspected, view.Standing(fingerprintOf("own")))
	require.Empty(t, view.Take(4, nil))
	require.True(t, view.Empty(), "cleared by then")
	view.Reported(fingerprintOf("dropped"), false)
	view.Acknowledged(fingerprintOf("dropped"), 0)
	require.True(t, view.Empty())
}

// TestRouterThatReachesNoBookQuarantinesByItsOwnReports has servers end under a request at
// one router whose reports are not acknowledged.
func TestRouterThatReachesNoBookQuarantinesByItsOwnReports(t *testing.T) {
	var view quarantine.View
	own := fingerprintOf("own")
	for range 5 {
		view.Reported(own, false)
		require.Equal(t, quarantine.Suspected, view.Standing(own))
	}
	view.Reported(own, true)
	require.Equal(t, quarantine.Suspected, view.Standing(own), "one trial may meet the end of what ended the others")
	view.Reported(own, true)
	require.Equal(t, quarantine.Quarantined, view.Standing(own))
	view.Acknowledged(own, 1)
	view.Take(1, nil)
	require.Equal(t, quarantine.Unknown, view.Standing(own), "the book knows better")
}
