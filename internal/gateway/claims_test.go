package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

func TestClaimsEndWithTheirSlice(t *testing.T) {
	table := newClaimTable()
	token, other := table.open(), table.open()
	require.True(t, table.grant(claimRequest{Token: token, Shards: []int{1, 3}}))
	require.True(t, table.grant(claimRequest{Token: token, Shards: []int{3}}))
	require.Equal(t, map[int]int{1: 1, 3: 2}, table.close(token))
	require.False(t, table.grant(claimRequest{Token: token, Shards: []int{0}}))
	require.Empty(t, table.close(other))
	require.Empty(t, table.granted)
}

// lossyRequester is a router that requests a slice from other routers over links that lose
// messages in both directions. The servers of the slice's shards never return a good answer.
type lossyRequester struct {
	claims *claimTable
	route  *routing.Route
	// sent counts the attempts for each shard.
	sent map[string]int
}

// gatherer is a router that gathers the slice, with its engine.
type gatherer struct {
	engine *scatter.Engine
	now    time.Time
	shards []string
	token  claimToken
	// claimed and wakeAt are what the last step requested.
	claimed []int
	wakeAt  time.Time
	// inFlight are the attempts that have not ended.
	inFlight  []scatter.AttemptID
	requester *lossyRequester
}

var gatherStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (d *lossyRequester) startGatherer(shards []string, earlier int, token claimToken) *gatherer {
	started := &gatherer{
		engine: scatter.New(scatter.Config{Zone: "a", Seed: uint64(token), Budget: scatter.BudgetLimits{Ratio: 1, Slack: 1000}}),
		now:    gatherStart, shards: shards, token: token, requester: d,
	}
	for _, shard := range shards {
		for _, number := range []string{"0", "1", "2", "3"} {
			id := shard + "/" + number
			started.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: id, Service: shard, Address: id, Zone: "a", Slots: 2}}})
		}
	}
	started.step(scatter.Arrived{
		ID: 1, Route: d.route, Services: shards, Deadline: started.now.Add(d.route.Timeout), Due: started.now.Add(d.route.Target),
		PriorAttempts: earlier, ClaimExtras: true,
	})
	return started
}

func (g *gatherer) step(event scatter.Event) {
	for _, command := range g.engine.Step(g.now, event) {
		switch command := command.(type) {
		case scatter.Send:
			g.requester.sent[command.Server.Service]++
			g.inFlight = append(g.inFlight, command.Attempt)
		case scatter.Claim:
			g.claimed = append(g.claimed, command.Shard)
		case scatter.Wake:
			g.wakeAt = command.At
		}
	}
}

// run advances the time. Attempts may fail, and claims or their replies may be lost.
func (g *gatherer) run(t *rapid.T, until time.Duration) {
	for end := gatherStart.Add(until); !g.wakeAt.IsZero() && !g.wakeAt.After(end); {
		g.now, g.wakeAt = g.wakeAt, time.Time{}
		g.step(scatter.TimerFired{})
		for len(g.inFlight) > 0 && rapid.Bool().Draw(t, "attempt fails") {
			failed := g.inFlight[0]
			g.inFlight = g.inFlight[1:]
			g.step(scatter.Ended{Attempt: failed, Outcome: scatter.Outcome{Failure: scatter.Broken, Verdict: verdict.MayHaveRun}})
		}
		if shards := g.claimed; len(shards) > 0 {
			g.claimed = nil
			granted := rapid.Bool().Draw(t, "claim arrives") && g.requester.claims.grant(claimRequest{Token: g.token, Shards: shards})
			g.step(scatter.Granted{Request: 1, Shards: shards, Refused: !granted || !rapid.Bool().Draw(t, "grant arrives")})
		}
	}
}

// TestAttemptsStayWithinRouteLimitWhenMessagesAreLost guards against more attempts for a shard
// than its route allows. Routers may miss a slice, accept it, be given up at any time by the
// router that sent it, and go on for as long as they like.
func TestAttemptsStayWithinRouteLimitWhenMessagesAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := &routing.Route{
			Name: "r", Repeatable: true, Timeout: time.Second, Target: 100 * time.Millisecond,
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"), Shards: []string{"s", "t", "u"}, LeastShare: 0.5,
		}
		requester := &lossyRequester{claims: newClaimTable(), route: route, sent: map[string]int{}}
		open := map[int][]string{0: route.Shards}
		for range maxBackupRouters + 1 {
			next := map[int][]string{}
			for earlier, shards := range open {
				if earlier >= route.MaxAttempts {
					continue
				}
				state := &sliceState{token: requester.claims.open()}
				for _, shard := range shards {
					state.Shards, state.open = append(state.Shards, shard), append(state.open, true)
				}
				var gathering *gatherer
				spent := earlier
				if rapid.Bool().Draw(t, "slice may have arrived") {
					spent++
					if rapid.Bool().Draw(t, "slice arrived") {
						gathering = requester.startGatherer(shards, earlier, state.token)
						gathering.run(t, time.Duration(rapid.IntRange(0, 300).Draw(t, "given up after"))*time.Millisecond)
					}
				}
				for attempts, remaining := range state.abandon(spent, requester.claims.close(state.token)) {
					next[attempts] = append(next[attempts], remaining...)
				}
				if gathering != nil {
					gathering.run(t, time.Second)
				}
			}
			open = next
		}
		for shard, sent := range requester.sent {
			require.LessOrEqual(t, sent, route.MaxAttempts, shard)
		}
	})
}
