package quota

import "time"

// Bounds of promises.
const (
	// promiseGrace is how long a promised token is kept for a request that comes back later
	// than told.
	promiseGrace = 400 * time.Millisecond
	// promiseEarly is how much earlier than told a request may come back.
	promiseEarly = 20 * time.Millisecond
	// maxPromises bounds the promises of one tenant.
	maxPromises = 1024
)

// Waiting is a request that waits for a token.
type Waiting struct {
	// Key identifies the request by its content: it is the same when a client sends the request
	// again, also with another id or through another router.
	Key uint64 `json:"key"`
	// MaxWait is the longest time after which the client may come back.
	MaxWait time.Duration `json:"max_wait"`
}

// Outcome is the reply to a request that waited for a token.
type Outcome struct {
	Granted bool `json:"granted,omitempty"`
	// Next is the time until a token is available for a request that was refused. Promised says
	// that this token is kept for it.
	Next     time.Duration `json:"next,omitempty"`
	Promised bool          `json:"promised,omitempty"`
}

// promise is a token that is kept for a refused request that comes back at a time.
type promise struct {
	key uint64
	at  time.Time
}

// promises are the promised tokens of one tenant, in the order in which they were given.
type promises struct{ list []promise }

func (p *promises) count() int { return len(p.list) }

// due returns how many of the promised tokens are available by now.
func (p *promises) due(now time.Time) (count int) {
	for _, each := range p.list {
		if !each.at.After(now) {
			count++
		}
	}
	return count
}

// expire returns promised tokens that nobody came back for to the bucket.
func (p *promises) expire(now time.Time) {
	kept := p.list[:0]
	for _, each := range p.list {
		if each.at.Add(promiseGrace).After(now) {
			kept = append(kept, each)
		}
	}
	p.list = kept
}

// find returns the position of a request's promise, -1 for none.
func (p *promises) find(key uint64) int {
	for index, each := range p.list {
		if each.key == key {
			return index
		}
	}
	return -1
}

func (p *promises) remove(index int) { p.list = append(p.list[:index], p.list[index+1:]...) }

// grantedAll is the reply to the requests of a tenant without a limit.
func grantedAll(count int) []Outcome {
	if count == 0 {
		return nil
	}
	outcomes := make([]Outcome, count)
	for index := range outcomes {
		outcomes[index].Granted = true
	}
	return outcomes
}

// grantEach decides about requests one by one. A request that comes back as told takes the token
// kept for it; any other one takes a token that is not promised, or is promised the next one.
func (l *Ledger) grantEach(b *bucket, now time.Time, waiting []Waiting) (result Grant) {
	for _, request := range waiting {
		outcome := l.grantOne(b, now, request)
		if outcome.Granted {
			result.Granted++
		}
		result.Outcomes = append(result.Outcomes, outcome)
	}
	return result
}

func (l *Ledger) grantOne(b *bucket, now time.Time, request Waiting) Outcome {
	available, index := l.available(b), b.promises.find(request.Key)
	if index >= 0 {
		if wait := b.promises.list[index].at.Sub(now); wait > promiseEarly {
			// It came back too early, or another request has the same content: one promise each.
			return Outcome{Next: wait, Promised: true}
		}
		b.promises.remove(index)
		if available >= 1 {
			b.take(now, 1)
			return Outcome{Granted: true}
		}
	}
	if available >= float64(b.promises.count()+1) {
		b.take(now, 1)
		return Outcome{Granted: true}
	}
	next := l.availableIn(b, now, float64(b.promises.count()+1))
	beyondWindow := l.tolerance.Window > 0 && next > l.tolerance.Window
	if next > request.MaxWait || beyondWindow || b.promises.count() >= maxPromises {
		return Outcome{Next: next}
	}
	b.promises.list = append(b.promises.list, promise{key: request.Key, at: now.Add(next)})
	return Outcome{Next: next, Promised: true}
}
