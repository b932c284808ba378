package scatter_test

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// playDrawn plays a random schedule against an engine and returns its commands as text. The
// schedule depends on the seed and on the commands only; at each step, inject may return one
// more event.
func playDrawn(seed uint64, config scatter.Config, inject func(now time.Time, step int) scatter.Event) (commands []string) {
	random := rand.New(rand.NewPCG(seed, 11))
	config.Zone, config.Seed = "a", seed
	engine, now := scatter.New(config), origin
	var inFlight []scatter.Send
	handle := func(event scatter.Event) {
		for _, command := range engine.Step(now, event) {
			commands = append(commands, pointers.ReplaceAllString(fmt.Sprintf("%T%+v", command, command), "reply"))
			if send, ok := command.(scatter.Send); ok {
				inFlight = append(inFlight, send)
			}
		}
	}
	for service := range 3 {
		for number := range 3 {
			id := "s" + strconv.Itoa(service) + "/" + strconv.Itoa(number)
			handle(scatter.ServersChanged{Servers: []scatter.Server{{ID: id, Service: id[:2], Zone: string(rune('a' + number)), Slots: 2}}})
		}
	}
	gather, single := gatherRoute("s0", "s1", "s2"), singleRoute(false)
	single.Targets[0].Service = "s0"
	for step := range 150 {
		now = now.Add(time.Duration(random.IntN(9)) * time.Millisecond)
		if event := inject(now, step); event != nil {
			handle(event)
		}
		id := scatter.RequestID(step + 1)
		switch draw := random.IntN(10); {
		case draw < 2:
			handle(scatter.Arrived{ID: id, Route: gather, Services: gather.Shards, Deadline: now.Add(gather.Timeout), Due: now.Add(gather.Target)})
		case draw < 4:
			handle(scatter.Arrived{ID: id, Route: single, Services: []string{"s0"}, Deadline: now.Add(single.Timeout), Due: now.Add(single.Target)})
		case len(inFlight) > 0:
			index := random.IntN(len(inFlight))
			send := inFlight[index]
			inFlight = append(inFlight[:index:index], inFlight[index+1:]...)
			handle(scatter.Ended{Attempt: send.Attempt, Outcome: drawOutcome(random)})
		default:
			handle(scatter.TimerFired{})
		}
	}
	return commands
}

func drawOutcome(random *rand.Rand) scatter.Outcome {
	switch random.IntN(12) {
	case 0:
		return failure(scatter.Refused, verdict.NotRun)
	case 1:
		return failure(scatter.Broken, verdict.MayHaveRun)
	case 2:
		return failure(scatter.NotConnected, verdict.NotRun)
	case 3:
		return failure(scatter.Aborted, verdict.MayHaveRun)
	}
	outcome := good("x")
	outcome.Load = message.Load{Known: true, Running: random.IntN(3), Waiting: random.IntN(3), Slots: 2}
	return outcome
}

var pointers = regexp.MustCompile("0x[0-9a-f]+")

func nothing(time.Time, int) scatter.Event { return nil }

// drawTrouble returns figures of some servers of playDrawn.
func drawTrouble(random *rand.Rand, at time.Time) scatter.ConditionsShared {
	event := scatter.ConditionsShared{At: at, Servers: map[string]loadview.ServerState{}}
	for range random.IntN(4) {
		id := "s" + strconv.Itoa(random.IntN(3)) + "/" + strconv.Itoa(random.IntN(3))
		event.Servers[id] = loadview.ServerState{ID: id, Condition: loadview.Condition(1 + random.IntN(3)), Pace: 5, Refusals: 0.5}
	}
	return event
}

// TestFiguresWithoutWeightChangeNothing guards against figures that have an effect after their
// greatest age, with the switch off, or by being known at all.
func TestFiguresWithoutWeightChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		limits := scatter.BudgetLimits{Ratio: 0.2, Slack: 56}
		expected := playDrawn(seed, scatter.Config{Budget: limits}, nothing)
		shared := scatter.Config{Budget: limits, SharedConditions: true}
		require.Equal(t, expected, playDrawn(seed, shared, nothing), "without the event")
		// Any event runs the timers that are due, so that the comparison needs one, too.
		expected = playDrawn(seed, scatter.Config{Budget: limits}, func(_ time.Time, step int) scatter.Event {
			if step%7 != 0 {
				return nil
			}
			return scatter.TimerFired{}
		})
		figures := rand.New(rand.NewPCG(seed, 5))
		sharing := func(age time.Duration) func(time.Time, int) scatter.Event {
			return func(now time.Time, step int) scatter.Event {
				if step%7 != 0 {
					return nil
				}
				return drawTrouble(figures, now.Add(-age))
			}
		}
		require.Equal(t, expected, playDrawn(seed, shared, sharing(loadview.MaxAge)), "too old")
		require.Equal(t, expected, playDrawn(seed, scatter.Config{Budget: limits}, sharing(0)), "switched off")
	})
}
