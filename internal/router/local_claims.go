package router

import (
	"context"
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// LocalClaims is a ClaimRegistry in memory, for a single router without control. Its
// claims are lost at a restart, so "at most once" holds only within one run of one
// router.
type LocalClaims struct {
	mutex  sync.Mutex
	claims map[string]localClaim
}

type localClaim struct {
	digest  string
	expires time.Time
	ran     bool
}

// NewLocalClaims returns an empty registry.
func NewLocalClaims() *LocalClaims {
	return &LocalClaims{claims: make(map[string]localClaim)}
}

// Claim implements ClaimRegistry.
func (c *LocalClaims) Claim(_ context.Context, request ClaimRequest) query.ClaimDecision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := steadyclock.Now()
	held, ok := c.claims[request.CallerID]
	switch {
	case !ok:
		c.claims[request.CallerID] = localClaim{digest: request.Digest, expires: now.Add(request.Expiry)}
		return query.ClaimGranted
	case held.digest != request.Digest:
		return query.ClaimDigestMismatch
	case !now.Before(held.expires):
		return query.ClaimExpired
	case held.ran:
		return query.ClaimHeldRan
	default:
		return query.ClaimHeldMayHaveRun
	}
}

// Settle implements ClaimRegistry.
func (c *LocalClaims) Settle(_ context.Context, callerID string, outcome verdict.Verdict) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held, ok := c.claims[callerID]
	if !ok {
		return nil
	}
	switch outcome {
	case verdict.Ran:
		held.ran = true
		c.claims[callerID] = held
	case verdict.NotRun:
		delete(c.claims, callerID)
	}
	return nil
}
