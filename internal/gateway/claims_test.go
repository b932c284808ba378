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
	book := newClaimBook()
	token, other := book.open(), book.open()
	require.True(t, book.grant(claimRequest{Token: token, Shards: []int{1, 3}}))
	require.True(t, book.grant(claimRequest{Token: token, Shards: []int{3}}))
	require.Equal(t, map[int]int{1: 1, 3: 2}, book.close(token))
	require.False(t, book.grant(claimRequest{Token: token, Shards: []int{0}}))
	require.Empty(t, book.close(other))
	require.Empty(t, book.granted)
}

// deafAsker is a router that asks others for one slice, of shards whose servers never
// give a good answer, over paths that lose messages either way.
type deafAsker struct {
	book  *claimBook
	route *routing.Route
	// sent counts the attempts for each shard.
	sent map[string]int
}

// gatherer is a router that was asked, with the engine that it gathers by.
type gatherer struct {
	engine *scatter.Engine
	now    time.Time
	shards []string
	token  claimToken
	// claimed and wake are what the last step asked for.
	claimed []int
	wake    time.Time
	// out are the attempts that have not ended.
	out   []scatter.AttemptID
	asker *deafAsker
}

var gatherStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (d *deafAsker) ask(shards []string, earlier int, token claimToken) *gatherer {
	asked := &gatherer{
		engine: scatter.New(scatter.Config{Zone: "a", Seed: uint64(token), Budget: scatter.BudgetLimits{Ratio: 1, Slack: 1000}}),
		now:    gatherStart, shards: shards, token: token, asker: d,
	}
	for _, shard := range shards {
		for _, number := range []string{"0", "1", "2", "3"} {
			id := shard + "/" + number
			asked.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: id, Service: shard, Address: id, Zone: "a", Slots: 2}}})
		}
	}
	asked.step(scatter.Arrived{
		ID: 1, Route: d.route, Services: shards, Deadline: asked.now.Add(d.route.Timeout), Due: asked.now.Add(d.route.Target),
		Earlier: earlier, Claims: true,
	})
	return asked
}

func (g *gatherer) step(event scatter.Event) {
	for _, command := range g.engine.Step(g.now, event) {
		switch command := command.(type) {
		case scatter.Send:
			g.asker.sent[command.Server.Service]++
			g.out = append(g.out, command.Attempt)
		case scatter.Claim:
			g.claimed = append(g.claimed, command.Shard)
		case scatter.Wake:
			g.wake = command.At
		}
	}
}

// run lets time pass. Attempts may fail, claims may be lost on their way, or their answers.
func (g *gatherer) run(t *rapid.T, until time.Duration) {
	for end := gatherStart.Add(until); !g.wake.IsZero() && !g.wake.After(end); {
		g.now, g.wake = g.wake, time.Time{}
		g.step(scatter.TimerFired{})
		for len(g.out) > 0 && rapid.Bool().Draw(t, "an attempt fails") {
			failed := g.out[0]
			g.out = g.out[1:]
			g.step(scatter.Ended{Attempt: failed, Outcome: scatter.Outcome{Failure: scatter.Broken, Verdict: verdict.MayHaveRun}})
		}
		if shards := g.claimed; len(shards) > 0 {
			g.claimed = nil
			answered := rapid.Bool().Draw(t, "claim comes in") && g.asker.book.grant(claimRequest{Token: g.token, Shards: shards})
			g.step(scatter.Granted{Request: 1, Shards: shards, Refused: !answered || !rapid.Bool().Draw(t, "grant is heard")})
		}
	}
}

// TestAttemptsStayWithinTheRouteWhateverIsSilent has routers take up slices, or not, and
// be given up by the one that asked them at any time, while each goes on as long as it
// likes: over all of them no shard is asked at more servers than its route allows.
func TestAttemptsStayWithinTheRouteWhateverIsSilent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := &routing.Route{
			Name: "r", Repeatable: true, Timeout: time.Second, Target: 100 * time.Millisecond,
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"), Shards: []string{"s", "t", "u"}, LeastShare: 0.5,
		}
		asker := &deafAsker{book: newClaimBook(), route: route, sent: map[string]int{}}
		open := map[int][]string{0: route.Shards}
		for range maxStandIns + 1 {
			next := map[int][]string{}
			for earlier, shards := range open {
				if earlier >= route.MaxAttempts {
					continue
				}
				state := &sliceState{token: asker.book.open(), open: map[int]bool{}}
				for position, shard := range shards {
					state.Shards, state.open[position] = append(state.Shards, shard), true
				}
				var asked *gatherer
				spent := earlier
				if rapid.Bool().Draw(t, "may have come in") {
					spent++
					if rapid.Bool().Draw(t, "came in") {
						asked = asker.ask(shards, earlier, state.token)
						asked.run(t, time.Duration(rapid.IntRange(0, 300).Draw(t, "given up after"))*time.Millisecond)
					}
				}
				for attempts, left := range state.leave(spent, asker.book.close(state.token)) {
					next[attempts] = append(next[attempts], left...)
				}
				if asked != nil {
					asked.run(t, time.Second)
				}
			}
			open = next
		}
		for shard, sent := range asker.sent {
			require.LessOrEqual(t, sent, route.MaxAttempts, shard)
		}
	})
}
