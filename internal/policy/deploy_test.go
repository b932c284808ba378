package policy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
)

// deployment is one of the users' configurations with the sizes that it must
// have: groups and replicas of each service.
type deployment struct {
	path  string
	sizes map[string][2]int
	zones int
}

var deployments = []deployment{
	{"bangkok/bangkok.policy", map[string][2]int{
		"seat-finder": {8, 16}, "host-portal": {12, 24}, "notify-desk": {1, 20}, "library-feed": {1, 10},
	}, 4},
	{"norte-grande/norte-grande.policy", map[string][2]int{
		"field-diag": {8, 16}, "firmware-log": {12, 24}, "warranty-desk": {1, 5}, "plant-report": {1, 3},
	}, 3},
}

func readDeployment(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", path))
	require.NoError(t, err)
	return text
}

func TestDeploymentsCompileToTheirSizes(t *testing.T) {
	for _, deployment := range deployments {
		compiled, err := Compile(deployment.path, readDeployment(t, deployment.path))
		require.NoError(t, err)
		sizes := map[string][2]int{}
		zones := map[string]bool{}
		for _, service := range compiled.Services {
			shards := service.Generations[0].Shards
			replicas := lo.FlatMap(shards, func(shard plan.Shard, _ int) []plan.Replica { return shard.Replicas })
			sizes[service.Name] = [2]int{len(shards), len(replicas)}
			for _, replica := range replicas {
				zones[replica.Zone] = true
			}
		}
		require.Equal(t, deployment.sizes, sizes)
		require.Len(t, zones, deployment.zones)
		require.Len(t, compiled.Routes, len(deployment.sizes))
	}
}

// TestDocumentedExamplesCompile keeps the examples of the operators' pages true.
func TestDocumentedExamplesCompile(t *testing.T) {
	for name, count := range map[string]int{"policies.md": 6, "regions.md": 1} {
		page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operate", name))
		require.NoError(t, err)
		examples := strings.Split(string(page), "```policy\n")[1:]
		require.Len(t, examples, count)
		for _, example := range examples {
			text, _, _ := strings.Cut(example, "```")
			_, err := Compile(name, []byte(text))
			require.NoError(t, err)
		}
	}
}
