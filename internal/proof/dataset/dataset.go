// Package dataset is the content that emulated back ends serve: a pure function
// of service, index version, shard map and request. Because nothing is stored,
// anyone who knows a query can recompute what a whole and unblended answer to
// it holds, without trusting the back end or the router.
//
// Each request matches TotalItems items of a service, numbered from 0. A shard
// map divides them into ranges, so two shard-map generations hold the same
// items split differently.
package dataset

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// TotalItems is how many items of a service match any one request. A service
// of more shards than that has shards without a match.
const TotalItems = 64

// SortFields are the numeric fields of an item that a merge may sort by: a
// general one and those that the deployments' policies name. All hold the
// item's rank.
var SortFields = []string{"rank", "distance_m", "reported_at"}

// rankRange bounds the rank of an item, exclusively.
const rankRange = 1_000_000

const (
	decimal      = 10
	hexadecimal  = 16
	itemSizeHint = 144 // bytes
	partPrefix   = `{"items":[`
	partSuffix   = `]}`
)

// Query names the part of an answer that one shard holds.
type Query struct {
	Service string
	// Shard is one of Shards, the number of shards of the generation.
	Shard  uint32
	Shards uint32
	// Version is the index version.
	Version uint64
	// RequestDigest is backendapi.Digest of the request body.
	RequestDigest string
}

// Range returns the first item number of a shard and the one after its last.
func Range(shard, shards uint32) (first, end int) {
	if shards == 0 || shard >= shards {
		return 0, 0
	}
	first = int(uint64(shard) * TotalItems / uint64(shards))
	end = int(uint64(shard+1) * TotalItems / uint64(shards))
	return first, end
}

// Items returns the items of one shard in item order.
func Items(query Query) []json.RawMessage {
	body, digests := AppendPart(nil, nil, query)
	var part backendapi.Part
	if err := json.Unmarshal(body, &part); err != nil || len(part.Items) != len(digests) {
		panic("dataset: AppendPart wrote no valid part") // a programming error
	}
	return part.Items
}

// Digests returns backendapi.Digest of each item of one shard in item order.
func Digests(query Query) []string {
	_, hashes := AppendPart(nil, nil, query)
	digests := make([]string, len(hashes))
	for index, hash := range hashes {
		digests[index] = FormatDigest(hash)
	}
	return digests
}

// Part returns what Items and Digests return, without the detour of parsing a
// reply body. It is for the simulated back ends, which send none.
func Part(query Query) (items []json.RawMessage, digests []string) {
	first, end := Range(query.Shard, query.Shards)
	body := make([]byte, 0, (end-first)*itemSizeHint)
	items = make([]json.RawMessage, 0, end-first)
	hashes := make([]uint64, 0, end-first)
	for number := first; number < end; number++ {
		start := len(body)
		body = appendItem(body, query, number)
		item := body[start:len(body):len(body)]
		items = append(items, item)
		hashes = append(hashes, xxhash.Sum64(item))
	}
	return items, FormatDigests(hashes)
}

// FormatDigests returns the text forms of hashes, all within one string.
func FormatDigests(hashes []uint64) []string {
	const longest = 16 // digits
	var text strings.Builder
	text.Grow(len(hashes) * longest)
	digests := make([]string, len(hashes))
	for index, hash := range hashes {
		var digits [longest]byte
		begin := text.Len()
		text.Write(strconv.AppendUint(digits[:0], hash, hexadecimal))
		// The builder never moves what it holds: it has room for all.
		digests[index] = text.String()[begin:]
	}
	return digests
}

// FormatDigest returns the text form, as of backendapi.Digest, of a hash that
// AppendPart returned.
func FormatDigest(hash uint64) string {
	return strconv.FormatUint(hash, hexadecimal)
}

// AppendPart appends the reply body of one shard, a backendapi.Part as JSON,
// to body and the XXH64 of each of its items to hashes.
func AppendPart(body []byte, hashes []uint64, query Query) ([]byte, []uint64) {
	first, end := Range(query.Shard, query.Shards)
	if body == nil {
		body = make([]byte, 0, len(partPrefix)+len(partSuffix)+(end-first)*itemSizeHint)
	}
	body = append(body, partPrefix...)
	for number := first; number < end; number++ {
		if number > first {
			body = append(body, ',')
		}
		start := len(body)
		body = appendItem(body, query, number)
		hashes = append(hashes, xxhash.Sum64(body[start:]))
	}
	return append(body, partSuffix...), hashes
}

// appendItem appends one item. It holds the version and the request's digest,
// so that no two versions or requests share an item.
func appendItem(body []byte, query Query, number int) []byte {
	body = append(body, `{"id":"`...)
	body = append(body, query.Service...)
	body = append(body, '/')
	body = strconv.AppendInt(body, int64(number), decimal)
	body = append(body, '"')
	position := rank(query, number)
	for _, field := range SortFields {
		body = append(body, `,"`...)
		body = append(body, field...)
		body = append(body, `":`...)
		body = strconv.AppendUint(body, position, decimal)
	}
	body = append(body, `,"version":`...)
	body = strconv.AppendUint(body, query.Version, decimal)
	body = append(body, `,"request":"`...)
	body = append(body, query.RequestDigest...)
	return append(body, `"}`...)
}

// rank is the sort key of an item: spread evenly, and different for each
// version and request, so that a blend of versions changes the order.
func rank(query Query, number int) uint64 {
	var buffer [itemSizeHint]byte
	key := append(buffer[:0], query.Service...)
	key = append(key, 0)
	key = append(key, query.RequestDigest...)
	key = append(key, 0)
	key = strconv.AppendUint(key, query.Version, decimal)
	key = append(key, 0)
	key = strconv.AppendInt(key, int64(number), decimal)
	return xxhash.Sum64(key) % rankRange
}
