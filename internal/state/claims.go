package state

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// abandonedCallMemory is how long the settlement of a claim that never arrived
// is remembered, so that the late claim call isn't granted to nobody.
const abandonedCallMemory = 10 * time.Minute

// ClaimResult is the decision on one claim.
type ClaimResult uint8

// Decisions on claims.
const (
	// ClaimNone is the result of a settlement.
	ClaimNone ClaimResult = iota
	// ClaimGranted lets the call dispatch the request.
	ClaimGranted
	// ClaimMayHaveRun refuses: another call holds the claim.
	ClaimMayHaveRun
	// ClaimRan refuses: the request ran.
	ClaimRan
	// ClaimExpired refuses: the id was claimed before and has expired.
	ClaimExpired
	// ClaimDigestMismatch refuses: the id belongs to another body.
	ClaimDigestMismatch
	// ClaimsFull refuses: no more ids can be remembered, or not for as long as
	// the caller's own expiry asks. Nothing was recorded.
	ClaimsFull
)

// claim is one id before its expiry.
type claim struct {
	id       string
	digest   string
	holder   string
	call     uint64
	expires  int64 // Unix milliseconds
	stage    v1.ClaimStage
	absolute bool // the caller gave the expiry
	position int  // in the heap of expiries
}

func (c *claim) heldBy(operation *v1.ClaimOperation) bool {
	return c.holder == operation.GetHolder() && c.call == operation.GetCall()
}

// claimOverhead is what a claim takes besides its texts, in bytes.
const claimOverhead = 64

func (c *claim) size() int { return claimOverhead + len(c.id) + len(c.digest) + len(c.holder) }

// idHash is the first 8 bytes of the SHA-256 of a request id. Two ids with the
// same hash would make the second one look expired, never run twice.
type idHash uint64

func hashID(id string) idHash {
	sum := sha256.Sum256([]byte(id))
	return idHash(binary.BigEndian.Uint64(sum[:]))
}

type tombstone struct {
	id     idHash
	forget int64 // Unix milliseconds
}

// claims holds live claims, and tombstones of expired ones. An id moves from
// the first to the second at its expiry and is forgotten ClaimMemory later.
type claims struct {
	live       map[string]*claim
	liveBytes  int
	expiries   expiryHeap
	tombstoned idSet
	tombstones []tombstone // by forget
}

func newClaims() claims {
	return claims{live: map[string]*claim{}, tombstoned: newIDSet(0)}
}

// claim decides one claim call.
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

// decide answers a claim call for an id that is known.
func (c *claim) decide(operation *v1.ClaimOperation) ClaimResult {
	if c.digest != "" && c.digest != operation.GetDigest() {
		return ClaimDigestMismatch
	}
	resent := operation.GetCall() != 0 && c.heldBy(operation)
	switch c.stage {
	case v1.ClaimStage_CLAIM_STAGE_RAN:
		return ClaimRan
	case v1.ClaimStage_CLAIM_STAGE_RELEASED:
		// The call that gave the claim back has no dispatch to come, so a late
		// copy of it must not take the claim again.
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

// settle records the outcome of a claim for the call that holds it.
func (c *claims) settle(operation *v1.ClaimOperation, now int64, limits Limits) {
	id := operation.GetRequestId()
	existing, known := c.live[id]
	notRun := operation.GetSettle() == v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN
	switch {
	case !known && notRun:
		c.abandon(operation, now, limits)
	case !known || !existing.heldBy(operation) || existing.stage != v1.ClaimStage_CLAIM_STAGE_HELD:
		// A settlement of another call, or a late copy of an earlier one.
	case notRun:
		existing.stage = v1.ClaimStage_CLAIM_STAGE_RELEASED
	default:
		existing.stage = v1.ClaimStage_CLAIM_STAGE_RAN
	}
}

// abandon records that a call will not use a claim that has not arrived yet.
func (c *claims) abandon(operation *v1.ClaimOperation, now int64, limits Limits) {
	id := operation.GetRequestId()
	expired := c.tombstoned.has(hashID(id))
	abandoned := &claim{
		id:      id,
		holder:  operation.GetHolder(),
		call:    operation.GetCall(),
		expires: now + abandonedCallMemory.Milliseconds(),
		stage:   v1.ClaimStage_CLAIM_STAGE_RELEASED,
	}
	if !expired && operation.GetCall() != 0 && !c.full(abandoned, limits) {
		c.put(abandoned)
	}
}

// full reports whether a further claim can't be remembered up to its end. An
// absolute expiry needs no memory after that moment.
func (c *claims) full(further *claim, limits Limits) bool {
	if c.liveBytes+further.size() > limits.ClaimBytes {
		return true
	}
	return !further.absolute && len(c.live)+len(c.tombstones) >= limits.ClaimIDs
}

func (c *claims) put(value *claim) {
	c.live[value.id] = value
	c.liveBytes += value.size()
	heap.Push(&c.expiries, value)
}

func (c *claims) remove(value *claim) {
	delete(c.live, value.id)
	c.liveBytes -= value.size()
	heap.Remove(&c.expiries, value.position)
}

// expire turns claims whose time is over into tombstones, and forgets
// tombstones whose own time is over.
func (c *claims) expire(now int64, limits Limits) {
	for len(c.expiries) > 0 && c.expiries[0].expires <= now {
		c.expireOne(c.expiries[0], limits)
	}
	for len(c.tombstones) > 0 && c.tombstones[0].forget <= now {
		c.tombstoned.remove(c.tombstones[0].id)
		c.tombstones = c.tombstones[1:]
	}
}

func (c *claims) expireOne(value *claim, limits Limits) {
	c.remove(value)
	if value.stage == v1.ClaimStage_CLAIM_STAGE_RELEASED {
		return // proved not run: nothing to remember
	}
	if value.absolute && len(c.live)+len(c.tombstones) >= limits.ClaimIDs {
		return // the caller's own expiry refuses it from now on
	}
	c.addTombstone(tombstone{id: hashID(value.id), forget: value.expires + limits.ClaimMemory.Milliseconds()})
}

func (c *claims) addTombstone(value tombstone) {
	c.tombstoned.add(value.id)
	c.tombstones = append(c.tombstones, value)
}

// ClaimCounts returns how many claims are live and how many expired ids are
// remembered.
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
	h[left].position, h[right].position = left, right
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(value any) {
	added := value.(*claim)
	added.position = len(*h)
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
