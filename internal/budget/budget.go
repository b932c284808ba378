// Package budget holds the token buckets that pay for extra attempts (hedges
// and retries). First attempts earn tokens, extra attempts spend them, so that
// the extra load on back ends stays a bounded share of the useful load however
// many attempts fail. It is the retry budget of Finagle and of the Google SRE
// book (chapter "Handling Overload"), counted in attempts and free of clocks.
package budget

import "github.com/martenstage/martenstage/internal/plan"

// Bucket is one token bucket. It starts full. It is not safe for concurrent
// use.
type Bucket struct {
	limits plan.Budget
	tokens float64
}

// New returns a full bucket.
func New(limits plan.Budget) *Bucket {
	return &Bucket{limits: limits, tokens: limits.Burst}
}

// Resize changes the limits. Tokens above the new burst are lost; a larger
// burst gives none away.
func (b *Bucket) Resize(limits plan.Budget) {
	b.limits = limits
	b.tokens = min(b.tokens, limits.Burst)
}

// Earn credits a number of first attempts.
func (b *Bucket) Earn(attempts int) {
	b.tokens = min(b.limits.Burst, b.tokens+b.limits.Ratio*float64(attempts))
}

// Spend takes one token and reports whether there was one.
func (b *Bucket) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Borrow takes a number of tokens at once if at least one is there, and may
// leave a debt that later first attempts pay off. It serves extra work that
// makes sense only as a whole, such as starting a request over.
func (b *Bucket) Borrow(tokens int) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}

// Tokens returns the balance, negative while there is a debt.
func (b *Bucket) Tokens() float64 { return b.tokens }
