package judge

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/dataset"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/records"
)

// judgeMerge checks that the answer is exactly the merge of its covered parts.
func (j *Judge) judgeMerge(answer *records.CallerAnswer, parts map[uint32][][]string, found *findings) {
	route, ok := j.routes[answer.Route]
	if !ok {
		return
	}
	switch route.Policy.Merge.Kind {
	case plan.MergeConcat:
		if !isConcatenation(answer, parts) {
			found.add(WholeAnswer, answer.Request, "the %d items are not the parts of the covered shards in order",
				len(answer.ItemDigests))
		}
	case plan.MergeTop:
		j.judgeTop(answer, route.Policy.Merge, parts, found)
	}
}

// isConcatenation matches the answer against one part of each covered shard.
// Hedged executions of a shard give equal parts, so the first that fits will do.
func isConcatenation(answer *records.CallerAnswer, parts map[uint32][][]string) bool {
	rest := answer.ItemDigests
	for _, shard := range slices.Sorted(slices.Values(answer.Covered)) {
		part, fits := lo.Find(parts[shard], func(part []string) bool {
			return len(part) <= len(rest) && slices.Equal(part, rest[:len(part)])
		})
		if !fits {
			return false
		}
		rest = rest[len(part):]
	}
	return len(rest) == 0
}

func (j *Judge) judgeTop(answer *records.CallerAnswer, merge plan.Merge, parts map[uint32][][]string, found *findings) {
	available := lo.SumBy(answer.Covered, func(shard uint32) int { return len(parts[shard][0]) })
	expected := available
	if merge.Limit > 0 {
		expected = min(available, merge.Limit)
	}
	if len(answer.ItemDigests) != expected {
		found.add(WholeAnswer, answer.Request, "%d items, want %d of the %d that covered shards gave",
			len(answer.ItemDigests), expected, available)
		return
	}
	if j.config.Items == nil {
		return
	}
	best, own := j.ranks(answer, merge)
	if !slices.Equal(best[:expected], own) {
		found.add(WholeAnswer, answer.Request, "the items are not the %d best by %s", expected, merge.Field)
	}
}

// ranks returns the sort values of every item of the covered shards, best
// first, and those of the answer's own items in their order. Values and not
// items are compared, because items of equal value may stand in any order.
func (j *Judge) ranks(answer *records.CallerAnswer, merge plan.Merge) (best, own []float64) {
	byDigest := map[string]float64{}
	for _, item := range j.itemsOf(answer) {
		value := rankOf(item, merge.Field)
		byDigest[backendapi.Digest(item)] = value
		best = append(best, value)
	}
	slices.Sort(best)
	if merge.Descending {
		slices.Reverse(best)
	}
	own = lo.Map(answer.ItemDigests, func(digest string, _ int) float64 { return byDigest[digest] })
	return best, own
}

func (j *Judge) itemsOf(answer *records.CallerAnswer) []json.RawMessage {
	shards := len(j.shards[generationKey{answer.Service, answer.Generation}])
	var items []json.RawMessage
	for _, shard := range answer.Covered {
		items = append(items, j.config.Items(dataset.Query{
			Service: answer.Service, Shard: shard, Shards: uint32(shards),
			Version: answer.Version, RequestDigest: answer.BodyDigest,
		})...)
	}
	return items
}

// rankOf returns the number in a field of an item; 0 when there is none. It
// decodes the item by another library than the router's, on purpose.
func rankOf(item json.RawMessage, field string) float64 {
	var fields map[string]json.RawMessage
	if json.Unmarshal(item, &fields) != nil {
		return 0
	}
	value, err := strconv.ParseFloat(string(fields[field]), 64)
	if err != nil {
		return 0
	}
	return value
}
