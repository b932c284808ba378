package gateway

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/reservation"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Bounds of reporting the spending of tenants to the directory and of requesting tokens.
const (
	// Reports are collected for quotaBatchDelayPerRouter times the number of routers, so that
	// the leader gets at most 10,000 messages a second, within the bounds of
	// minQuotaBatchDelay and maxQuotaBatchDelay.
	minQuotaBatchDelay       = 10 * time.Millisecond
	quotaBatchDelayPerRouter = 100 * time.Microsecond
	maxQuotaBatchDelay       = 500 * time.Millisecond
	// quotaTimeout bounds a call to a node.
	quotaTimeout = 250 * time.Millisecond
	// quotaRetryDelay is the pause before the next call while no leader is reachable.
	quotaRetryDelay = 100 * time.Millisecond
	// tokenBacklog bounds the requests that wait for a token; further ones are refused.
	tokenBacklog = 512
	// tokenRetrySpread spreads the retries of refused requests that were promised no token over
	// the time after the next token, by request id, so that not all come at once. A promised
	// token has its own time.
	tokenRetrySpread = 300 * time.Millisecond
)

// quotaLimiter admits requests of tenants with a rate limit. It is safe for concurrent use.
type quotaLimiter struct {
	mutex sync.Mutex
	gate  *quota.Gate
	// batchDelay is how long reports are collected.
	batchDelay time.Duration
	// tokenRequests are requests that wait for a token. notify is signaled when there is
	// something to report.
	tokenRequests chan tokenRequest
	notify        chan struct{}
}

// tokenRequest is a request that waits for a token.
type tokenRequest struct {
	tenant  string
	waiting quota.Waiting
	answer  chan<- tokenAnswer
}

// tokenAnswer tells whether a request is admitted, and if not, when the next token is
// available, and whether it is promised to the request.
type tokenAnswer struct {
	granted  bool
	after    time.Duration
	promised bool
}

func newQuotaLimiter(seed uint64) *quotaLimiter {
	gate := quota.NewGate(seed)
	gate.Start(steadyclock.Now())
	return &quotaLimiter{
		gate: gate, batchDelay: minQuotaBatchDelay,
		tokenRequests: make(chan tokenRequest, tokenBacklog), notify: make(chan struct{}, 1),
	}
}

func (l *quotaLimiter) setLimits(limits map[string]quota.Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.gate.SetLimits(limits)
}

func (l *quotaLimiter) setRouters(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.gate.SetRouters(count)
	l.batchDelay = min(maxQuotaBatchDelay, max(minQuotaBatchDelay, time.Duration(count)*quotaBatchDelayPerRouter))
}

func (l *quotaLimiter) setMetered(tenants []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.gate.SetMetered(tenants)
}

// disconnect records that no directory node is reachable.
func (l *quotaLimiter) disconnect() {
	l.mutex.Lock()
	l.gate.SetIsolated()
	l.mutex.Unlock()
	l.signal()
}

func (l *quotaLimiter) signal() {
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// admit returns whether a request of a tenant is admitted, and if not, when to retry it. Where
// a token is needed, it describes the request to the ledger and waits until the context ends.
func (l *quotaLimiter) admit(ctx context.Context, tenant string, describe func() quota.Waiting) tokenAnswer {
	decision, after := l.decide(tenant)
	if decision != quota.RequestToken {
		return tokenAnswer{granted: decision == quota.Pass, after: after}
	}
	answer := make(chan tokenAnswer, 1)
	select {
	case l.tokenRequests <- tokenRequest{tenant: tenant, waiting: describe(), answer: answer}:
	default:
		return tokenAnswer{after: tokenRetrySpread}
	}
	select {
	case given := <-answer:
		return given
	case <-ctx.Done():
		return tokenAnswer{after: tokenRetrySpread}
	}
}

func (l *quotaLimiter) decide(tenant string) (quota.Decision, time.Duration) {
	l.mutex.Lock()
	decision, after := l.gate.Admit(steadyclock.Now(), tenant)
	l.mutex.Unlock()
	if decision == quota.Pass {
		l.signal()
	}
	return decision, after
}

// quotaRound is a message and the requests that wait for its reply.
type quotaRound struct {
	message  quota.Message
	requests []tokenRequest
}

// leaderUnreachable reports whether no leader is known to be reachable.
func (l *quotaLimiter) leaderUnreachable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.gate.Isolated()
}

// next waits until there is something to report and returns it. While no leader is reachable
// it also returns an empty round after a pause, to detect when one is reachable again.
func (l *quotaLimiter) next(ctx context.Context) (round quotaRound, ok bool) {
	var pause <-chan time.Time
	if l.leaderUnreachable() {
		pause = time.After(quotaRetryDelay)
	}
	select {
	case <-ctx.Done():
		return round, false
	case first := <-l.tokenRequests:
		round.requests = append(round.requests, first)
	case <-l.notify:
		l.collect(ctx, &round)
	case <-pause:
	}
	round.requests = append(round.requests, l.queuedRequests()...)
	round.message.Wanted = lo.CountValuesBy(round.requests, func(queued tokenRequest) string { return queued.tenant })
	round.message.Waiting = make(map[string][]quota.Waiting, len(round.message.Wanted))
	for _, queued := range round.requests {
		round.message.Waiting[queued.tenant] = append(round.message.Waiting[queued.tenant], queued.waiting)
	}
	round.message.Recalls = true
	l.mutex.Lock()
	defer l.mutex.Unlock()
	round.message.Spent = l.gate.TakeUnreported()
	return round, true
}

// recall adds to a message what the router admitted within a window.
func (l *quotaLimiter) recall(message *quota.Message, window time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	recall, spent := l.gate.Recall(steadyclock.Now(), window, message.Spent)
	message.Recall, message.Spent = &recall, spent
}

// queuedRequests returns the requests that wait for a token now.
func (l *quotaLimiter) queuedRequests() (requests []tokenRequest) {
	for len(requests) < tokenBacklog {
		select {
		case another := <-l.tokenRequests:
			requests = append(requests, another)
		default:
			return requests
		}
	}
	return requests
}

// collect waits for further reports or for a request that needs a token.
func (l *quotaLimiter) collect(ctx context.Context, round *quotaRound) {
	l.mutex.Lock()
	timer := time.NewTimer(l.batchDelay)
	l.mutex.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
	case first := <-l.tokenRequests:
		round.requests = append(round.requests, first)
	case <-ctx.Done():
	}
}

// complete distributes the tokens granted in a round.
func (l *quotaLimiter) complete(round quotaRound, reply quota.Reply) {
	l.mutex.Lock()
	l.gate.ReportSucceeded(steadyclock.Now(), round.message.Spent, reply)
	l.mutex.Unlock()
	position := make(map[string]int, len(reply.Grants))
	for _, queued := range round.requests {
		queued.answer <- answerAt(reply.Grants[queued.tenant], position[queued.tenant])
		position[queued.tenant]++
	}
}

// answerAt returns the answer to a tenant's request at a position in a message. A ledger of the
// previous release counts the granted requests and promises nothing.
func answerAt(given quota.Grant, position int) tokenAnswer {
	if position < len(given.Outcomes) {
		outcome := given.Outcomes[position]
		return tokenAnswer{granted: outcome.Granted, after: outcome.Next, promised: outcome.Promised}
	}
	return tokenAnswer{granted: position < given.Granted, after: given.Next}
}

// fail returns the spending of a round that reached no leader. Its requests are decided by
// this router's share of the limit.
func (l *quotaLimiter) fail(round quotaRound) {
	l.mutex.Lock()
	l.gate.ReportFailed(round.message.Spent)
	l.mutex.Unlock()
	for _, queued := range round.requests {
		decision, after := l.decide(queued.tenant)
		queued.answer <- tokenAnswer{granted: decision == quota.Pass, after: after}
	}
}

// reportQuota reports the spending of tenants and requests tokens until the context ends.
func (f *follower) reportQuota(ctx context.Context) {
	limiter, logged := f.gateway.quotas, false
	// Each start of a router is a separate sender, so that its sequence numbers start at one.
	sender := f.gateway.config.Name + "/" + time.Now().Format(time.RFC3339Nano) // wall clock time, used only to distinguish starts.
	for sequence := uint64(1); ; sequence++ {
		round, ok := limiter.next(ctx)
		if !ok {
			return
		}
		if len(round.message.Spent)+len(round.requests) == 0 && !limiter.leaderUnreachable() {
			continue
		}
		round.message.Router, round.message.Sequence = sender, sequence
		reply, err := f.postQuota(ctx, round.message)
		if err == nil && reply.Recall > 0 {
			sequence++
			round.message.Sequence = sequence
			limiter.recall(&round.message, reply.Recall)
			reply, err = f.postQuota(ctx, round.message)
		}
		if err != nil {
			limiter.fail(round)
		} else {
			limiter.complete(round, reply)
		}
		if unreachable := limiter.leaderUnreachable(); unreachable != logged {
			logged = unreachable
			f.gateway.logger.WithField("alone", unreachable).WithField("reason", err).Info("quota_reports_changed")
		}
	}
}

// postQuota posts a message to the followed node or, if that fails, to another one.
func (f *follower) postQuota(ctx context.Context, message quota.Message) (reply quota.Reply, err error) {
	err = f.callAnyNode(ctx, directory.PathQuota, message, quotaTimeout, &reply)
	return reply, errors.Wrap(err, "the quota is not told")
}

// applyMetered updates which tenants need a token for each request.
func (f *follower) applyMetered(reply directory.FollowReply) {
	if reply.MeteredDigest == f.request.MeteredDigest {
		return
	}
	f.request.MeteredDigest = reply.MeteredDigest
	f.gateway.quotas.setMetered(reply.Metered)
	f.gateway.metrics.metered.Set(float64(len(reply.Metered)))
	f.gateway.logger.WithField("tenants", len(reply.Metered)).
		WithField("some", lo.Slice(reply.Metered, 0, maxLoggedItems)).Info("metered_tenants_changed")
}

// refuseOverQuota refuses a request of a tenant that has used up its rate limit. It reports
// whether it did.
func (s *exchangeState) refuseOverQuota(forwarded *fingerprinted) bool {
	if s.tenant == nil || s.tenant.Rate <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(s.request.Context(), s.remaining())
	defer cancel()
	given := s.gateway.quotas.admit(ctx, s.tenant.Name, func() quota.Waiting {
		fingerprint := forwarded.fingerprint()
		return quota.Waiting{Key: binary.BigEndian.Uint64(fingerprint[:]), MaxWait: s.maxRetryWait()}
	})
	if given.granted {
		return false
	}
	after := max(given.after, minRetryAfter)
	if !given.promised {
		after += time.Duration(float64(tokenRetrySpread) * float64(xxhash.Sum64String(s.id)>>11) / (1 << 53))
	}
	s.refuse(http.StatusTooManyRequests, verdict.ReasonOverQuota, after)
	return true
}

// maxRetryWait returns the longest time for which the client waits before it sends the request again.
func (s *exchangeState) maxRetryWait() time.Duration {
	return max(0, s.remainingOfClient(steadyclock.Now())) / reservation.RetryWaitDivisor
}

// minRetryAfter is the least delay after which a refused request may be retried.
const minRetryAfter = 50 * time.Millisecond

// setLimits applies the rate limits of a document.
func (g *Gateway) setLimits(document *routing.Document) {
	g.quotas.setLimits(quota.LimitsOf(document.Tenants))
}
