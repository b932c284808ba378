package merge

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
)

func raw(items ...string) []json.RawMessage {
	messages := make([]json.RawMessage, len(items))
	for index, item := range items {
		messages[index] = json.RawMessage(item)
	}
	return messages
}

func TestConcatKeepsShardOrder(t *testing.T) {
	got := Parts(plan.Merge{Kind: plan.MergeConcat}, [][]json.RawMessage{raw(`{"a":2}`), nil, raw(`{"a":1}`)})
	require.Equal(t, raw(`{"a":2}`, `{"a":1}`), got)
}

func TestTop(t *testing.T) {
	parts := [][]json.RawMessage{
		raw(`{"d":3,"n":"first"}`, `{"x":{"d":0}}`),
		raw(`{"n":"second","d":3}`, `{"d":1.5}`, `{"d":"text"}`, `not json`),
	}
	rule := plan.Merge{Kind: plan.MergeTop, Field: "d", Limit: 4}
	require.Equal(t,
		raw(`{"d":1.5}`, `{"d":3,"n":"first"}`, `{"n":"second","d":3}`, `{"d":"text"}`), Parts(rule, parts))
	rule.Descending, rule.Limit = true, 3
	require.Equal(t,
		raw(`{"d":3,"n":"first"}`, `{"n":"second","d":3}`, `{"d":1.5}`), Parts(rule, parts))
}
