// Package backendapi defines the plain HTTP contract between routers and back
// ends: paths, header names, JSON documents and digests. Routers and the
// back-end emulator share it; docs/BACKENDS.md documents it for implementers.
package backendapi

import (
	"encoding/binary"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/verdict"
)

// Paths served by every back end.
const (
	PathQuery  = "/v1/query"  // POST, opaque body
	PathCancel = "/v1/cancel" // POST, CancelRequest
	PathHealth = "/v1/health" // GET, Health
	PathDrain  = "/v1/drain"  // POST, starts draining; DELETE, ends it
)

// Headers of a query. The back end echoes Request, Attempt, Shard, Generation
// and Version in its reply, and adds RequestDigest and Digest.
const (
	HeaderRequest    = "Martenstage-Request"    // caller-visible request id
	HeaderAttempt    = "Martenstage-Attempt"    // unique per attempt and router
	HeaderService    = "Martenstage-Service"    // service name
	HeaderShard      = "Martenstage-Shard"      // decimal shard id
	HeaderGeneration = "Martenstage-Generation" // decimal shard-map generation
	HeaderVersion    = "Martenstage-Version"    // decimal index version
	HeaderTimeout    = "Martenstage-Timeout-Us" // time left, microseconds
	HeaderZone       = "Martenstage-Zone"       // sender's zone
	HeaderOnce       = "Martenstage-Once"       // "1" on requests that run at most once
)

// Headers of a reply.
const (
	HeaderRequestDigest = "Martenstage-Request-Digest" // hex Digest of the request body as read
	HeaderDigest        = "Martenstage-Digest"         // hex Digest of the reply body
	HeaderVerdict       = "Martenstage-Verdict"        // not_run on refusals
	HeaderReason        = "Martenstage-Reason"         // RefusalReason on refusals
	HeaderRetryAfter    = "Martenstage-Retry-After-Ms" // milliseconds
	HeaderDraining      = "Martenstage-Draining"       // "1" once the server is draining
	HeaderLoad          = "Martenstage-Load"           // "in_flight/slots/queued"
	HeaderHoldings      = "Martenstage-Holdings"       // same value as Health.Holdings
)

// RefusalReason is the reason why a back end did not run a query.
type RefusalReason string

// Refusal reasons. A refusal has HTTP status 503 (or 429 for overload) and
// proves by HeaderVerdict: not_run that nothing was executed.
const (
	RefusalDraining       RefusalReason = "draining"
	RefusalOverloaded     RefusalReason = "overloaded"
	RefusalUnknownVersion RefusalReason = "unknown_version"
	RefusalUnknownShard   RefusalReason = "unknown_shard"
	RefusalDeadline       RefusalReason = "deadline"
	RefusalCanceled       RefusalReason = "canceled"
	RefusalWarming        RefusalReason = "warming"
	// Requests that violate the contract are refused with status 400 or 413.
	RefusalBadRequest   RefusalReason = "bad_request"
	RefusalBodyTooLarge RefusalReason = "body_too_large"
)

// Reason returns the reason that callers receive for a refused attempt. Refusals
// that callers can't act on are reported as overload.
func (r RefusalReason) Reason() verdict.Reason {
	switch r {
	case RefusalDraining:
		return verdict.ReasonDraining
	case RefusalUnknownVersion:
		return verdict.ReasonSnapshotGone
	case RefusalUnknownShard:
		return verdict.ReasonNoReplica
	case RefusalDeadline:
		return verdict.ReasonDeadlinePassed
	case RefusalCanceled:
		return verdict.ReasonCanceled
	default:
		return verdict.ReasonOverloaded
	}
}

// ReadyState is the state that a back end's health endpoint reports.
type ReadyState string

// Values of ReadyState.
const (
	StateReady    ReadyState = "ready"
	StateWarming  ReadyState = "warming"
	StateDraining ReadyState = "draining"
)

// Health is the document at PathHealth. It may be outdated or wrong.
type Health struct {
	State  ReadyState   `json:"state"`
	Load   Load         `json:"load"`
	Shards []ShardState `json:"shards"`
	// Holdings is an opaque fingerprint that changes whenever Shards does. A back
	// end that sends it with every reply needs fewer probes; it may be empty.
	Holdings string `json:"holdings,omitempty"`
}

// HoldingsFingerprint computes a fingerprint of the shards that back ends written in Go
// may use as Health.Holdings.
func HoldingsFingerprint(shards []ShardState) string {
	const hexadecimal = 16
	var text []byte
	for _, shard := range shards {
		text = append(text, shard.Service...)
		text = binary.LittleEndian.AppendUint32(text, shard.Generation)
		text = binary.LittleEndian.AppendUint32(text, shard.Shard)
		text = binary.LittleEndian.AppendUint32(text, uint32(len(shard.Versions)))
		for _, version := range shard.Versions {
			text = binary.LittleEndian.AppendUint64(text, version)
		}
	}
	return strconv.FormatUint(xxhash.Sum64(text), hexadecimal)
}

// Load is the load that a back end reports: running queries, slots to run them
// and queued queries.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	Queued   int `json:"queued"`
}

// ShardState lists the index versions of one shard that the back end can serve.
type ShardState struct {
	Service    string   `json:"service"`
	Generation uint32   `json:"generation"`
	Shard      uint32   `json:"shard"`
	Versions   []uint64 `json:"versions"`
}

// Part is the reply body of a query: the items of one shard. Items are JSON
// objects, of which the router reads only the field that a merge sorts by.
type Part struct {
	Items []json.RawMessage `json:"items"`
}

// CancelRequest identifies the attempt to cancel.
type CancelRequest struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
}

// Digest returns the lower-case hexadecimal XXH64 of a body.
func Digest(body []byte) string {
	const hexadecimal = 16
	return strconv.FormatUint(xxhash.Sum64(body), hexadecimal)
}
