// Package merge combines the parts of many shards into the items of one answer. The result
// depends only on the parts and their shard order, not on the order in which the parts
// arrived.
package merge

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/tidwall/gjson"

	"github.com/martenstage/martenstage/internal/plan"
)

// Parts merges the items of each shard, given in shard order.
func Parts(rule plan.Merge, parts [][]json.RawMessage) []json.RawMessage {
	if rule.Kind == plan.MergeTop {
		return top(rule, parts)
	}
	return concat(parts)
}

func concat(parts [][]json.RawMessage) []json.RawMessage {
	items := make([]json.RawMessage, 0, total(parts))
	for _, part := range parts {
		items = append(items, part...)
	}
	return items
}

// top keeps the best items. Equal ones stay in shard order, so that the same parts always give
// the same answer.
func top(rule plan.Merge, parts [][]json.RawMessage) []json.RawMessage {
	ranked := make([]rankedItem, 0, total(parts))
	for _, part := range parts {
		for _, item := range part {
			ranked = append(ranked, rankedItem{rank: readRank(item, rule.Field), item: item})
		}
	}
	slices.SortStableFunc(ranked, func(a, b rankedItem) int {
		return compareRanks(a.rank, b.rank, rule.Descending)
	})
	if rule.Limit > 0 && len(ranked) > rule.Limit {
		ranked = ranked[:rule.Limit]
	}
	items := make([]json.RawMessage, len(ranked))
	for index := range ranked {
		items[index] = ranked[index].item
	}
	return items
}

func total(parts [][]json.RawMessage) int {
	count := 0
	for _, part := range parts {
		count += len(part)
	}
	return count
}

type rankedItem struct {
	rank rank
	item json.RawMessage
}

// rankKind orders values of different types: numbers before strings, and items without the
// field last, in either direction.
type rankKind uint8

const (
	rankNumber rankKind = iota
	rankString
	rankMissing
)

type rank struct {
	kind   rankKind
	number float64
	text   string
}

func compareRanks(a, b rank, descending bool) int {
	if a.kind != b.kind {
		return cmp.Compare(a.kind, b.kind)
	}
	order := cmp.Compare(a.number, b.number)
	if a.kind == rankString {
		order = cmp.Compare(a.text, b.text)
	}
	if descending {
		return -order
	}
	return order
}

// readRank reads one top-level field of a JSON object and skips the rest.
func readRank(item json.RawMessage, field string) rank {
	value := gjson.GetBytes(item, gjson.Escape(field))
	switch value.Type {
	case gjson.Number:
		return rank{kind: rankNumber, number: value.Num}
	case gjson.String:
		return rank{kind: rankString, text: value.Str}
	default:
		return rank{kind: rankMissing}
	}
}
