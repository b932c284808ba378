package judge

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/dataset"
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
	items := j.itemsOf(answer)
	byHash := make(map[uint64]float64, len(items))
	best = ranksOf(items, merge.Field)
	for index, item := range items {
		byHash[xxhash.Sum64(item)] = best[index]
	}
	slices.Sort(best)
	if merge.Descending {
		slices.Reverse(best)
	}
	own = lo.Map(answer.ItemDigests, func(digest string, _ int) float64 { return byHash[hashOf(digest)] })
	return best, own
}

// hashOf reads the hash that a digest writes, see backendapi.Digest; 0 when it
// is none.
func hashOf(digest string) uint64 {
	const hexadecimal, bits = 16, 64
	hash, err := strconv.ParseUint(digest, hexadecimal, bits)
	if err != nil {
		return 0
	}
	return hash
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

// ranksOf returns the number in one field of each item; 0 when there is none. It
// decodes them by another library than the router's, on purpose, into a type
// that has that field alone, so that all others are skipped.
func ranksOf(items []json.RawMessage, field string) []float64 {
	ranked := reflect.StructOf([]reflect.StructField{{
		Name: "Value", Type: reflect.TypeFor[float64](), Tag: reflect.StructTag("json:" + strconv.Quote(field)),
	}})
	size := lo.SumBy(items, func(item json.RawMessage) int { return len(item) + 1 })
	list := append(make([]byte, 0, size+2), '[')
	for index, item := range items {
		if index > 0 {
			list = append(list, ',')
		}
		list = append(list, item...)
	}
	decoded := reflect.New(reflect.SliceOf(ranked))
	// A field of another type is an error that leaves the other items as they are.
	_ = json.Unmarshal(append(list, ']'), decoded.Interface())
	ranks := make([]float64, len(items))
	for index := range min(decoded.Elem().Len(), len(items)) {
		ranks[index] = decoded.Elem().Index(index).Field(0).Float()
	}
	return ranks
}
