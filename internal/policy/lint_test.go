package policy

import (
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// TestLintFindsRisks reads a text in which each line but the first few is a
// risk that compiles.
func TestLintFindsRisks(t *testing.T) {
	warnings, err := LintText("x.policy", []byte(`
service s {
	slots 2
	connections 70
	hedge budget 5%
	cell routers 80
	generation 1 {
		group one { replica 127.0.0.1:1 zone east }
		group same { replica 127.0.0.2:1 zone east replica 127.0.0.3:1 zone east slots 90 }
		group typo { replica 127.0.0.4:1 zone esat connections 90 replica 127.0.0.5:1 zone west connections 90 }
	}
}
service idle { slots 1 connections 1 generation 1 { group g { replica 127.0.1.1:1 zone a replica 127.0.1.2:1 zone b } } }
policy p {
	deadline 100ms
	repeatable
	snapshot coverage 50%
	retry at most 1
	answer when coverage >= 90%
	answer when coverage >= 80%
	at 99ms fail
}
policy unused { deadline 1s repeatable at 500ms fail }
route r { service s policy p }
region lone { router 10.0.0.1:1 }
`))
	require.NoError(t, err)
	text := strings.Join(lo.Map(warnings, func(warning Warning, _ int) string { return warning.String() }), "\n")
	for _, want := range []string{
		"service s: it has a hedge budget, but no route hedges",
		"service s: zone esat has a single replica; did you mean east?",
		"service s generation 1 group one: it has a single replica",
		"service s generation 1 group same: all 2 replicas are in zone east",
		"replica 127.0.0.3:1 has 90 slots, but 70 connections can't fill them",
		"replica 127.0.0.1:1 has 70 connections for a cell of 80 routers",
		"service idle: no route asks it",
		"route r: it retries, but service s has no retry budget",
		"route r: its last statement leaves 1ms until the deadline",
		"route r: with 3 groups in generation 1, the statement on line 20 never decides: line 19 decides first",
		"a snapshot that 50% of the groups serve may be pinned, but no answer is given below a coverage of 100%",
		"policy unused: no route uses it",
		"region lone: no route leads to it",
		"region lone: it has a single router",
	} {
		require.Contains(t, text, want)
	}
}

func TestDeploymentsHaveNoWarnings(t *testing.T) {
	for _, deployment := range deployments {
		warnings, err := LintText(deployment.path, readDeployment(t, deployment.path))
		require.NoError(t, err)
		require.Empty(t, warnings)
	}
}

func TestExplainSaysWhatARouteDoes(t *testing.T) {
	compiled, err := Compile("small", []byte(smallText))
	require.NoError(t, err)
	text, err := Explain(compiled, "r")
	require.NoError(t, err)
	require.Equal(t, `route r (policy quick)
  asks       every group of service s
             generation 1: 1 group, 2 replicas in 2 zones, 5 slots and 150 connections
             generation 2: 2 groups, 2 replicas in 1 zone, 4 slots and 140 connections
             through a cell of 3 routers
             a replica's share of work ramps up for 20s after it is first ready
  priority   interactive: refused last under overload
  deadline   100ms from admission; a caller may ask for less
  repetition repeatable: a request may run more than once
  snapshot   the newest index version that 99.5% of the groups can serve (1 of 1 or 2 of 2)
  hedge      at most 1 a group, after p99.9 of the group's latency, but from 2ms to 30ms; budget 5% of first attempts, up to 20 saved
  retry      at most 1 a group, on the same replica after 5ms; budget 10% of first attempts, up to 10 saved
  load       in the long run at most 1.15 attempts a group and request
  merge      the 10 items with the highest distance
  decides    by the first of these that holds:
    line 42   answer when coverage >= 99% and elapsed >= 60ms  [99% is 1 of 1 or 2 of 2]
    line 43   answer when covered(g1) and (settled or elapsed < 20ms)
    line 44   fail when settled and coverage < 50%  [50% is 1 of 1 or 1 of 2]
    line 45   at 90ms answer
  so every request is decided 10ms before its deadline or earlier
`, text)
	_, err = Explain(compiled, "rr")
	require.EqualError(t, err, `unknown route "rr"; did you mean r?`)
	far, err := Explain(compiled, "far")
	require.NoError(t, err)
	require.Equal(t, `route far (region north)
  asks       region north, which owns the route, through one of 2 entry routers
  deadline   2s from admission, or the owning route's own if that is shorter
  repetition as the owning region says; offered to another entry router also when it may have run
  when cut   refused at once with region_unreachable and not_run
`, far)
	claim, err := Explain(compiled, "k")
	require.NoError(t, err)
	require.Contains(t, claim, "the one group that the request's key selects of service t")
	require.Contains(t, claim, "at most once: the request id is claimed before dispatch and kept for 24h")
}
