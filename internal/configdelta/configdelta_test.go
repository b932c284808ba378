package configdelta

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/textdelta"
)

const siteText = `service s {
	slots 2
	connections 70
	generation 1 {
		group g {
			replica 127.0.0.1:7000 zone a
			replica 127.0.0.2:7000 zone b
		}
	}
}

policy p {
	deadline 100ms
	repeatable
	at 90ms answer
}

route r {
	service s
	policy p
}
`

func compile(t *testing.T, text string) Configuration {
	made, err := policy.Compile("site", []byte(text))
	require.NoError(t, err)
	return Configuration{Text: text, Plan: made}
}

// TestDeltasCoverEveryPart changes each part of a configuration in turn and checks
// that the chain of deltas restores the text and the plan.
func TestDeltasCoverEveryPart(t *testing.T) {
	second := strings.ReplaceAll(strings.ReplaceAll(siteText[strings.Index(siteText, "policy p"):], "route r", "route q"), "policy p", "policy n")
	chain := []Configuration{compile(t, siteText)}
	edits := [][2]string{
		{"127.0.0.1", "127.0.0.3"}, {"slots 2", "slots 3\n\thedge budget 5%"}, {"group g", "group h"}, {"generation 1", "generation 4"},
		{"\t}\n}\n", "\t}\n\tgeneration 5 {\n\t\tgroup h {\n\t\t\treplica 127.0.0.3:7000 zone a\n\t\t}\n\t}\n}\n"},
		{"90ms", "95ms"}, {"repeatable", "once for 1h"}, {"route r {", "# why\nroute r {"}, {"service s {", second + "service s {"}, {second, ""},
	}
	var plans, texts [][]byte
	for index, edit := range edits {
		last := chain[len(chain)-1]
		next := compile(t, strings.Replace(last.Text, edit[0], edit[1], 1))
		require.NotEqual(t, last.Text, next.Text)
		delta, made, err := Make(uint64(index+1), last, next)
		require.NoError(t, err)
		require.True(t, made)
		chain, plans, texts = append(chain, next), append(plans, delta.Plan), append(texts, delta.Text)

		result, err := ApplyPlans(chain[0].Plan, uint64(index+2), plans)
		require.NoError(t, err)
		require.True(t, plan.Equal(next.Plan, result), "edit %d", index)
		require.NoError(t, plan.Validate(result))
		text, err := textdelta.Rebuild([]byte(siteText), texts)
		require.NoError(t, err)
		require.Equal(t, next.Text, string(text))
	}
	_, err := ApplyPlan(chain[0].Plan, 2, plans[0])
	require.ErrorContains(t, err, "of revision 1, not 2")
	_, err = ApplyPlan(chain[0].Plan, 1, plans[0][:len(plans[0])-1])
	require.Error(t, err)
}
