package state

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// abandonedCallRetention is how long a settlement that arrives before its claim
// call is kept, so that the late call is not granted after its caller gave up.
const abandonedCallRetention = 10 * time.Minute

// ClaimResult is the decision on one claim.
type ClaimResult uint8

// Decisions on claims.
const (
	// ClaimNone is the result of a settlement.
	ClaimNone ClaimResult = iota
	// ClaimGranted allows the call to dispatch the request.
	ClaimGranted
	// ClaimMayHaveRun refuses the claim because another call holds it, or because
	// the call is a late copy of one that has released it.
	ClaimMayHaveRun
	// ClaimRan refuses the claim because the request has run.
	ClaimRan
	// ClaimExpired refuses the claim because an earlier claim of the id, or the
	// caller's own deadline for it, has expired.
	ClaimExpired
	// ClaimDigestMismatch refuses the claim because the id was claimed with a
	// different request body.
	ClaimDigestMismatch
	// ClaimsFull refuses the claim because a limit on stored claims is reached or
	// the caller's expiry is later than ClaimExpiry allows. Nothing is recorded.
	ClaimsFull
)

// claim is the claim of one request id that has not expired.
type claim struct {
	id        string
	digest    string
	holder    string
	call      uint64
	expires   int64 // Unix milliseconds
	stage     v1.ClaimStage
	absolute  bool // the caller set the expiry as a point in time
	heapIndex int  // in claims.expiries
}

func (c *claim) heldBy(operation *v1.ClaimOperation) bool {
	return c.holder == operation.GetHolder() && c.call == operation.GetCall()
}

// claimOverhead is the size of a claim without its strings, in bytes.
const claimOverhead = 64

func (c *claim) size() int { return claimOverhead + len(c.id) + len(c.digest) + len(c.holder) }

// idHash is the first 8 bytes of the SHA-256 of a request id. On a collision the
// second id is refused as expired; no request runs twice.
type idHash uint64

func hashID(id string) idHash {
	sum := sha256.Sum256([]byte(id))
	return idHash(binary.BigEndian.Uint64(sum[:]))
}

// tombstone marks the id of an expired claim until it is removed.
type tombstone struct {
	id       idHash
	removeAt int64 // Unix milliseconds
}

// claims holds live claims and the tombstones of expired ones. A claim becomes a
// tombstone at its expiry, and the tombstone is removed ClaimRetention later.
type claims struct {
	live       map[string]*claim
	liveBytes  int
	expiries   expiryHeap
	tombstoned idSet
	tombstones []tombstone // in order of removeAt
}

func newClaims() claims {
	return claims{live: map[string]*claim{}, tombstoned: newIDSet(0)}
}

// claim decides a claim call and records the claim if it is granted.
func (c *claims) claim(operation *v1.ClaimOperation, now int64, limits Limits) ClaimResult {
	id := operation.GetRequestId()
	if notAfter := operation.GetNotAfterUnixMs(); notAfter != 0 {
		if notAfter <= now {
			return ClaimExpired
		}
		if notAfter > now+limits.ClaimExpiry.Milliseconds() {
			return ClaimsFull
		}
	}
	if existing, known := c.live[id]; known {
		if refusal := existing.decide(operation); refusal != ClaimGranted || existing.stage == v1.ClaimStage_CLAIM_STAGE_HELD {
			return refusal
		}
		c.remove(existing)
		c.put(newClaim(operation, now, limits))
		return ClaimGranted
	}
	if c.tombstoned.has(hashID(id)) {
		return ClaimExpired
	}
	granted := newClaim(operation, now, limits)
	if c.full(granted, limits) {
		return ClaimsFull
	}
	c.put(granted)
	return ClaimGranted
}

// decide returns the decision on a claim call for an id that has a live claim.
func (c *claim) decide(operation *v1.ClaimOperation) ClaimResult {
	if c.digest != "" && c.digest != operation.GetDigest() {
		return ClaimDigestMismatch
	}
	resent := operation.GetCall() != 0 && c.heldBy(operation)
	switch c.stage {
	case v1.ClaimStage_CLAIM_STAGE_RAN:
		return ClaimRan
	case v1.ClaimStage_CLAIM_STAGE_RELEASED:
		// The call that released the claim will not dispatch any more, so a late
		// copy of it must not acquire the claim again.
		if resent {
			return ClaimMayHaveRun
		}
		return ClaimGranted
	default:
		if resent {
			return ClaimGranted
		}
		return ClaimMayHaveRun
	}
}

func newClaim(operation *v1.ClaimOperation, now int64, limits Limits) *claim {
	expires := now + min(operation.GetExpiryMs(), limits.ClaimExpiry.Milliseconds())
	absolute := operation.GetNotAfterUnixMs() != 0
	if absolute {
		expires = operation.GetNotAfterUnixMs()
	}
	return &claim{
		id:       operation.GetRequestId(),
		digest:   operation.GetDigest(),
		holder:   operation.GetHolder(),
		call:     operation.GetCall(),
		expires:  expires,
		stage:    v1.ClaimStage_CLAIM_STAGE_HELD,
		absolute: absolute,
	}
}

// settle records the outcome of a claim if the call holds it.
func (c *claims) settle(operation *v1.ClaimOperation, now int64, limits Limits) {
	id := operation.GetRequestId()
	existing, known := c.live[id]
	notRun := operation.GetSettle() == v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN
	switch {
	case !known && notRun:
		c.abandon(operation, now, limits)
	case !known || !existing.heldBy(operation) || existing.stage != v1.ClaimStage_CLAIM_STAGE_HELD:
		// Ignore a settlement by another call and a late copy of an earlier one.
	case notRun:
		existing.stage = v1.ClaimStage_CLAIM_STAGE_RELEASED
	default:
		existing.stage = v1.ClaimStage_CLAIM_STAGE_RAN
	}
}

// abandon records that a call, whose claim has not arrived yet, will not use it.
func (c *claims) abandon(operation *v1.ClaimOperation, now int64, limits Limits) {
	id := operation.GetRequestId()
	expired := c.tombstoned.has(hashID(id))
	abandoned := &claim{
		id:      id,
		holder:  operation.GetHolder(),
		call:    operation.GetCall(),
		expires: now + abandonedCallRetention.Milliseconds(),
		stage:   v1.ClaimStage_CLAIM_STAGE_RELEASED,
	}
	if !expired && operation.GetCall() != 0 && !c.full(abandoned, limits) {
		c.put(abandoned)
	}
}

// full reports whether there is no capacity for another claim and its tombstone.
// A claim with an absolute expiry needs no tombstone.
func (c *claims) full(candidate *claim, limits Limits) bool {
	if c.liveBytes+candidate.size() > limits.ClaimBytes {
		return true
	}
	return !candidate.absolute && len(c.live)+len(c.tombstones) >= limits.ClaimIDs
}

func (c *claims) put(value *claim) {
	c.live[value.id] = value
	c.liveBytes += value.size()
	heap.Push(&c.expiries, value)
}

func (c *claims) remove(value *claim) {
	delete(c.live, value.id)
	c.liveBytes -= value.size()
	heap.Remove(&c.expiries, value.heapIndex)
}

// expire turns expired claims into tombstones and removes tombstones whose
// retention has ended.
func (c *claims) expire(now int64, limits Limits) {
	for len(c.expiries) > 0 && c.expiries[0].expires <= now {
		c.expireOne(c.expiries[0], limits)
	}
	for len(c.tombstones) > 0 && c.tombstones[0].removeAt <= now {
		c.tombstoned.remove(c.tombstones[0].id)
		c.tombstones = c.tombstones[1:]
	}
}

func (c *claims) expireOne(value *claim, limits Limits) {
	c.remove(value)
	if value.stage == v1.ClaimStage_CLAIM_STAGE_RELEASED {
		return // the request did not run, so a new claim of its id is safe
	}
	if value.absolute && len(c.live)+len(c.tombstones) >= limits.ClaimIDs {
		return // later claims repeat the expiry and are refused because of it
	}
	c.addTombstone(tombstone{id: hashID(value.id), removeAt: value.expires + limits.ClaimRetention.Milliseconds()})
}

func (c *claims) addTombstone(value tombstone) {
	c.tombstoned.add(value.id)
	c.tombstones = append(c.tombstones, value)
}

// ClaimCounts returns the number of live claims and of tombstones.
func (m *Machine) ClaimCounts() (live, expired int) {
	return len(m.claims.live), len(m.claims.tombstones)
}

// expiryHeap orders claims by expiry, then by id, so that every voter expires
// them in the same order.
type expiryHeap []*claim

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(left, right int) bool {
	return cmp.Or(cmp.Compare(h[left].expires, h[right].expires), cmp.Compare(h[left].id, h[right].id)) < 0
}
func (h expiryHeap) Swap(left, right int) {
	h[left], h[right] = h[right], h[left]
	h[left].heapIndex, h[right].heapIndex = left, right
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(value any) {
	added := value.(*claim)
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return value
}
