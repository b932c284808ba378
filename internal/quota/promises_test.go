package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/quota"
)

// asker sends requests of one tenant to a ledger, each as the message of one router.
type asker struct {
	ledger   *quota.Ledger
	sequence uint64
}

// ask returns the outcomes of requests with keys, whose clients wait up to a second.
func (a *asker) ask(after time.Duration, keys ...uint64) []quota.Outcome {
	a.sequence++
	waiting := make([]quota.Waiting, 0, len(keys))
	for _, key := range keys {
		waiting = append(waiting, quota.Waiting{Key: key, MaxWait: time.Second})
	}
	return a.ledger.Process(start.Add(after), quota.Message{
		Router: "a", Sequence: a.sequence, Wanted: map[string]int{tenant: len(keys)}, Waiting: map[string][]quota.Waiting{tenant: waiting},
	}).Grants[tenant].Outcomes
}

// newAsker has a ledger with two tokens a second and a burst of one.
func newAsker() *asker {
	ledger := quota.NewLedger(quota.Tolerance{})
	ledger.SetLimits(start, map[string]quota.Limit{tenant: {Rate: 2, Burst: 1}})
	return &asker{ledger: ledger}
}

// TestEachRefusedRequestIsPromisedItsOwnToken guards against telling several requests the time
// of the same token, of which all but one are refused again.
func TestEachRefusedRequestIsPromisedItsOwnToken(t *testing.T) {
	a := newAsker()
	require.Equal(t, []quota.Outcome{
		{Granted: true},
		{Next: 500 * time.Millisecond, Promised: true},
		{Next: time.Second, Promised: true},
		{Next: 1500 * time.Millisecond}, // The client would not wait for so long.
	}, a.ask(0, 1, 2, 3, 4))
	require.Equal(t, []quota.Outcome{{Next: 900 * time.Millisecond, Promised: true}}, a.ask(600*time.Millisecond, 5), "a new request does not take the token kept for another")
	require.Equal(t, []quota.Outcome{{Granted: true}}, a.ask(610*time.Millisecond, 2), "it came back as told")
	require.Equal(t, []quota.Outcome{{Granted: true}}, a.ask(1010*time.Millisecond, 3))
}

// TestARequestHasOnePromise guards against clients that gain tokens by sending copies.
func TestARequestHasOnePromise(t *testing.T) {
	a := newAsker()
	a.ask(0, 1, 2)
	copies := a.ask(100*time.Millisecond, 2, 2, 2)
	for _, outcome := range copies {
		require.Equal(t, quota.Outcome{Next: 400 * time.Millisecond, Promised: true}, outcome)
	}
	require.Equal(t, []quota.Outcome{{Granted: true}, {Next: 490 * time.Millisecond, Promised: true}}, a.ask(510*time.Millisecond, 2, 2))
}

// TestAnUnusedPromiseReturnsToTheBucket guards against tokens that are kept for clients which do
// not come back.
func TestAnUnusedPromiseReturnsToTheBucket(t *testing.T) {
	a := newAsker()
	a.ask(0, 1, 2)
	require.Equal(t, []quota.Outcome{{Granted: true}}, a.ask(950*time.Millisecond, 3))
}

// TestANewLeaderKnowsNoPromises has a request come back to a ledger that promised it nothing: it
// is decided like any other one.
func TestANewLeaderKnowsNoPromises(t *testing.T) {
	a := newAsker()
	a.ask(0, 1, 2)
	next := newAsker()
	require.Equal(t, []quota.Outcome{{Granted: true}, {Next: 500 * time.Millisecond, Promised: true}}, next.ask(500*time.Millisecond, 9, 2)[:2])
}

// TestRoutersOfThePreviousReleaseGetGrantsOnly sends a message without descriptions of the
// waiting requests: promised tokens are not granted to it.
func TestRoutersOfThePreviousReleaseGetGrantsOnly(t *testing.T) {
	a := newAsker()
	a.ask(0, 1, 2)
	grant := a.ledger.Process(start.Add(600*time.Millisecond), quota.Message{Router: "b", Wanted: map[string]int{tenant: 2}}).Grants[tenant]
	require.Equal(t, quota.Grant{Next: 400 * time.Millisecond}, grant)
}
