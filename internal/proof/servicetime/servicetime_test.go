package servicetime

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestVariantsOfARequestMeetEqualTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := Model{Seed: rapid.Uint64().Draw(t, "seed"), Default: Distribution{Median: time.Millisecond, Sigma: 0.5}}
		query := Query{Service: "desk", Server: "s", Request: rapid.StringMatching(`[a-z0-9-]{1,9}`).Draw(t, "request")}
		other := query
		query.Request += "~a"
		other.Request += "~b"
		require.Equal(t, model.ServiceTime(query, 0), model.ServiceTime(other, 0))
		other.Shard++
		require.NotEqual(t, model.ServiceTime(query, 0), model.ServiceTime(other, 0))
	})
}

func TestTimesFollowTheDistribution(t *testing.T) {
	const count = 4000
	model := Model{Seed: 1, Services: map[string]Distribution{"desk": {Median: time.Second, Sigma: 0.5}}}
	times := make([]time.Duration, count)
	for index := range times {
		times[index] = model.Base(Query{Service: "desk", Server: "s", Request: fmt.Sprint(index)})
	}
	slices.Sort(times)
	require.InEpsilon(t, time.Second, times[count/2], 0.1)
	// exp(0.5 × 1.645) at the 95th percentile of a lognormal variable
	require.InEpsilon(t, 2276*time.Millisecond, times[count*95/100], 0.1)
}

func TestStragglersMove(t *testing.T) {
	const servers = 2000
	model := Model{Seed: 1, Default: Distribution{Median: time.Second},
		Stragglers: Stragglers{Fraction: 0.1, Factor: 20, Period: time.Minute}}
	count, moved := 0, 0
	for index := range servers {
		server := fmt.Sprint(index)
		now, later := model.Straggling(server, 59*time.Second), model.Straggling(server, 60*time.Second)
		require.Equal(t, now, model.Straggling(server, 0), "the choice holds for a period")
		if now {
			count++
			require.Equal(t, 20*time.Second, model.ServiceTime(Query{Server: server}, 0))
			if !later {
				moved++
			}
		}
	}
	require.InEpsilon(t, servers/10, count, 0.2)
	require.Greater(t, moved, count/2)
}
