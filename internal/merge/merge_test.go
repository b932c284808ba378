package merge

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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

// TestReadRankReadsOnlyTheNamedField compares readRank with decoding the whole item.
func TestReadRankReadsOnlyTheNamedField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SampledFrom([]string{"d", "a.b", "*", "e\"f", "#", "x|y", "ü", "@this", "0"})
		item := map[string]any{}
		for range rapid.IntRange(0, 5).Draw(t, "fields") {
			item[names.Draw(t, "name")] = rapid.OneOf(
				rapid.Float64Range(-1e9, 1e9).AsAny(), rapid.String().AsAny(), rapid.Just[any](nil),
				rapid.Just[any](true), rapid.Just[any](map[string]any{"d": 1, "a": []int{2}}),
			).Draw(t, "value")
		}
		field := names.Draw(t, "field")
		encoded, err := json.Marshal(item)
		require.NoError(t, err)
		var decoded map[string]any
		require.NoError(t, json.Unmarshal(encoded, &decoded))
		expected := rank{kind: rankMissing}
		switch value := decoded[field].(type) {
		case float64:
			expected = rank{kind: rankNumber, number: value}
		case string:
			expected = rank{kind: rankString, text: value}
		}
		require.Equal(t, expected, readRank(encoded, field), string(encoded))
	})
}

func BenchmarkTop(b *testing.B) {
	const shards, items = 8, 8
	parts := make([][]json.RawMessage, shards)
	for shard := range parts {
		for item := range items {
			parts[shard] = append(parts[shard], json.RawMessage(fmt.Sprintf(
				`{"id":"seat-finder/%d","rank":%d,"distance_m":%d,"version":1,"request":"f00"}`, item, item, item*shard)))
		}
	}
	rule := plan.Merge{Kind: plan.MergeTop, Field: "distance_m", Limit: 10}
	b.ReportAllocs()
	for b.Loop() {
		Parts(rule, parts)
	}
}
