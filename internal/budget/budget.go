// Package budget provides token buckets that limit extra attempts (hedges and retries). First
// attempts earn tokens and extra attempts spend them, so that the extra load on back ends
// stays a bounded share of the useful load however many attempts fail. It is the retry budget
// of Finagle and of the Google SRE book (chapter "Handling Overload"), counted in attempts and
// independent of time.
package budget

import "github.com/martenstage/martenstage/internal/plan"

// Bucket is a token bucket that starts full. It is not safe for concurrent use.
type Bucket struct {
	limits plan.Budget
	tokens float64
}

// New returns a full bucket.
func New(limits plan.Budget) *Bucket {
	return &Bucket{limits: limits, tokens: limits.Burst}
}

// Resize changes the limits. Tokens above the new burst are discarded; a larger burst adds
// none.
func (b *Bucket) Resize(limits plan.Budget) {
	b.limits = limits
	b.tokens = min(b.tokens, limits.Burst)
}

// Earn credits a number of first attempts.
func (b *Bucket) Earn(attempts int) {
	b.tokens = min(b.limits.Burst, b.tokens+b.limits.Ratio*float64(attempts))
}

// Spend takes one token and reports whether one was available.
func (b *Bucket) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Borrow takes a number of tokens at once if at least one is available, and may leave a
// negative balance that later first attempts pay off. It is for extra work that is useful only
// as a whole, such as restarting a request.
func (b *Bucket) Borrow(tokens int) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}

// Tokens returns the balance, which Borrow may make negative.
func (b *Bucket) Tokens() float64 { return b.tokens }
