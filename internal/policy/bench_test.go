package policy

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/martenstage/martenstage/internal/plan"
)

// The large configuration: 70 services of 270 groups and one of 100, each
// group with 3 replicas, which makes 57,000; two routes a service.
const (
	largeServices   = 71
	largeGroups     = 270
	lastGroups      = 100
	replicasInGroup = 3
	largeZones      = 26
	largeReplicas   = 57_000
)

// largeText writes the large configuration in canonical form.
func largeText() []byte {
	var text bytes.Buffer
	host := 0
	for service := range largeServices {
		groups := largeGroups
		if service == largeServices-1 {
			groups = lastGroups
		}
		fmt.Fprintf(&text, "service service-%02d {\n\tslots 5\n\tconnections 70\n\tcell routers 64\n\tgeneration 1 {\n", service)
		for group := range groups {
			fmt.Fprintf(&text, "\t\tgroup g%03d {\n", group)
			for range replicasInGroup {
				fmt.Fprintf(&text, "\t\t\treplica 10.%d.%d.%d:7000 zone region-%d-zone-%02d\n",
					host>>16, host>>8&0xff, host&0xff, host%9, host%largeZones)
				host++
			}
			text.WriteString("\t\t}\n")
		}
		text.WriteString("\t}\n}\n\n")
	}
	for service := range largeServices {
		fmt.Fprintf(&text, "policy policy-%02d {\n\tdeadline 100ms\n\trepeatable\n\tanswer when coverage >= 99%%\n\tat 90ms answer\n}\n\n", service)
		for _, target := range []string{"all", "key"} {
			fmt.Fprintf(&text, "route %s-%02d {\n\tservice service-%02d\n\tpolicy policy-%02d\n\ttarget %s\n}\n\n", target, service, service, service, target)
		}
	}
	return text.Bytes()
}

// BenchmarkCompile57000 also reports the sizes of the text, of the plan as it
// travels, and of the delta for one replica.
func BenchmarkCompile57000(b *testing.B) {
	text := largeText()
	var compiled *plan.Plan
	for b.Loop() {
		var err error
		compiled, err = Compile("large.policy", text)
		require.NoError(b, err)
	}
	changed, err := Compile("large.policy", bytes.Replace(text, []byte("replica 10.0.99.9:7000"), []byte("replica 10.200.0.1:7000"), 1))
	require.NoError(b, err)
	require.Equal(b, largeReplicas, countReplicas(compiled))
	b.ReportMetric(float64(len(text)), "text-bytes")
	b.ReportMetric(float64(proto.Size(plan.ToProto(compiled))), "plan-bytes")
	b.ReportMetric(float64(proto.Size(plan.Delta(compiled, changed))), "delta-bytes")
}

// BenchmarkDelta57000 measures what control does for one changed replica.
func BenchmarkDelta57000(b *testing.B) {
	text := largeText()
	base, err := Compile("large.policy", text)
	require.NoError(b, err)
	next, err := Compile("large.policy", bytes.Replace(text, []byte("replica 10.0.99.9:7000"), []byte("replica 10.200.0.1:7000"), 1))
	require.NoError(b, err)
	for b.Loop() {
		require.Len(b, plan.Delta(base, next).ChangedShards, 1)
	}
}

func countReplicas(compiled *plan.Plan) int {
	count := 0
	for _, service := range compiled.Services {
		for _, generation := range service.Generations {
			for _, shard := range generation.Shards {
				count += len(shard.Replicas)
			}
		}
	}
	return count
}
