package experiment

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
)

// patientPolicy has deadlines that a busy machine can't miss.
const patientPolicy = `
policy sweep {
	deadline 30s
	repeatable
	snapshot coverage 100%
	hedge at p95 between 10ms and 250ms at most 1
	retry at most 2 backoff 20ms
	merge concat
	answer when coverage >= 100%
	at 29s fail
}
policy send {
	deadline 30s
	once for 1h
	retry at most 2 backoff 10ms
	merge concat
	answer when coverage >= 100%
	at 29s fail
}
route sweep { service index policy sweep target all }
route send { service desk policy send target key }
service index {
	slots 4
	connections 40
	generation 1 {
		group a {
			replica 127.3.1.1:7000 zone east
			replica 127.3.1.2:7000 zone west
		}
		group b {
			replica 127.3.1.3:7000 zone east
			replica 127.3.1.4:7000 zone west
		}
	}
}
service desk {
	slots 4
	connections 40
	generation 1 {
		group all {
			replica 127.3.2.1:7000 zone east
			replica 127.3.2.2:7000 zone west
		}
	}
}
`

func patientPlan(t *testing.T) *plan.Plan {
	t.Helper()
	compiled, err := policy.Compile("patient.policy", []byte(patientPolicy))
	require.NoError(t, err)
	return compiled
}

// Every variant meets the same requests, over real sockets, while the index
// rolls or is repartitioned, back ends are lost or routers restart as planned;
// no invariant breaks. Departures of back ends have a bound in time, which a
// busy machine may miss; they are judged by scripts/fleet.sh.
func TestSocketVariantsMeetTheSameRequests(t *testing.T) {
	for _, scenario := range []string{"repartition", "rolling-index", "replica-loss", "restart"} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			result, err := RunSockets(context.Background(), Config{
				Deployment: "test", Plan: patientPlan(t), Scenario: scenario, Variants: Variants(),
				Seed: 3, Duration: 2 * time.Second, Utilization: 0.02, KeepBusySeconds: true,
			})
			require.NoError(t, err)
			require.Len(t, result.Variants, len(Variants()))
			for variant, outcome := range result.Variants {
				require.Zero(t, outcome.Violations, "%s: %v", variant, outcome.First)
				for _, route := range []string{"sweep", "send"} {
					require.Equal(t, result.Variants[VariantOracle].Routes[route].Requests, outcome.Routes[route].Requests)
					require.NotZero(t, outcome.Routes[route].Answered, "%s %s", variant, route)
				}
			}
			var page strings.Builder
			require.NoError(t, result.WriteHTML(&page))
			for _, variant := range Variants() {
				require.Contains(t, page.String(), variant)
			}
		})
	}
}

func TestSocketRunRefusesWrongNames(t *testing.T) {
	config := Config{Plan: patientPlan(t), Scenario: "steady", Variants: []string{"best"}, Duration: time.Second}
	_, err := RunSockets(context.Background(), config)
	require.ErrorContains(t, err, `unknown variant "best"`)
	config.Variants, config.Scenario = Variants(), "storm"
	_, err = RunSockets(context.Background(), config)
	require.ErrorContains(t, err, `unknown scenario "storm"`)
}

func TestReplicasAreChangedInACopy(t *testing.T) {
	compiled := patientPlan(t)
	changed := withReplicas(compiled, func(replica *plan.Replica) { replica.Slots = 9 })
	slots := func(of *plan.Plan) []int {
		return lo.Uniq(lo.Map(replicasOf(of), func(replica plan.Replica, _ int) int { return replica.Slots }))
	}
	require.Equal(t, []int{4}, slots(compiled))
	require.Equal(t, []int{9}, slots(changed))
}

func TestSlowPlanMultipliesTimesOnly(t *testing.T) {
	text := "# 5s\ndeadline 100ms\nreplica 127.1.1.1:7000 zone a2s\nhedge budget 10% burst 5\nretry backoff 2s"
	require.Equal(t, "# 50s\ndeadline 1000ms\nreplica 127.1.1.1:7000 zone a2s\nhedge budget 10% burst 5\nretry backoff 20s",
		string(slowed([]byte(text), 10)))
}
