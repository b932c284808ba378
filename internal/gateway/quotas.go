package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Bounds of reporting to the directory what tenants spend, and asking it for tokens.
const (
	// quotaGathering is the least time for which reports are put together, and
	// quotaPerRouter of it for each router of the fleet, so that the leader gets 10,000
	// messages a second at most; quotaLongest bounds both.
	quotaGathering = 10 * time.Millisecond
	quotaPerRouter = 100 * time.Microsecond
	quotaLongest   = 500 * time.Millisecond
	// quotaTimeout bounds a call to one node.
	quotaTimeout = 250 * time.Millisecond
	// quotaRetry is the pause before the next call while none comes through.
	quotaRetry = 100 * time.Millisecond
	// askBacklog bounds the requests that wait for a token; further ones are refused.
	askBacklog = 512
	// tokenSpread is within which time after the next token a refused request is told to
	// come again, by its id, so that not all do at once.
	tokenSpread = 300 * time.Millisecond
)

// quotaWatch decides about requests of tenants with a limit. It is safe for concurrent use.
type quotaWatch struct {
	mutex sync.Mutex
	gate  *quota.Gate
	// gathering is for how long reports are put together.
	gathering time.Duration
	// asks are requests that wait for a token; wake is sent to when there is something to
	// report.
	asks chan tokenAsk
	wake chan struct{}
}

// tokenAsk is a request that waits for a token.
type tokenAsk struct {
	tenant string
	answer chan<- tokenAnswer
}

// tokenAnswer says whether a request may pass, else after how long there is another token.
type tokenAnswer struct {
	granted bool
	after   time.Duration
}

func newQuotaWatch(seed uint64) *quotaWatch {
	return &quotaWatch{
		gate: quota.NewGate(seed), gathering: quotaGathering,
		asks: make(chan tokenAsk, askBacklog), wake: make(chan struct{}, 1),
	}
}

func (w *quotaWatch) setLimits(limits map[string]quota.Limit) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.gate.SetLimits(limits)
}

func (w *quotaWatch) setRouters(count int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.gate.SetRouters(count)
	w.gathering = min(quotaLongest, max(quotaGathering, time.Duration(count)*quotaPerRouter))
}

func (w *quotaWatch) setMetered(tenants []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.gate.SetMetered(tenants)
}

// lose takes in that no directory node is heard.
func (w *quotaWatch) lose() {
	w.mutex.Lock()
	w.gate.Lose()
	w.mutex.Unlock()
	w.rouse()
}

func (w *quotaWatch) rouse() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// admit returns whether a request of a tenant may pass, else after how long it may come again.
// It waits for a token where that is needed, until the context ends.
func (w *quotaWatch) admit(ctx context.Context, tenant string) tokenAnswer {
	decision, after := w.decide(tenant)
	if decision != quota.Ask {
		return tokenAnswer{granted: decision == quota.Pass, after: after}
	}
	answer := make(chan tokenAnswer, 1)
	select {
	case w.asks <- tokenAsk{tenant: tenant, answer: answer}:
	default:
		return tokenAnswer{after: tokenSpread}
	}
	select {
	case given := <-answer:
		return given
	case <-ctx.Done():
		return tokenAnswer{after: tokenSpread}
	}
}

func (w *quotaWatch) decide(tenant string) (quota.Decision, time.Duration) {
	w.mutex.Lock()
	decision, after := w.gate.Admit(steadyclock.Now(), tenant)
	w.mutex.Unlock()
	if decision == quota.Pass {
		w.rouse()
	}
	return decision, after
}

// quotaRound is one message with the requests that wait for its answer.
type quotaRound struct {
	message quota.Message
	asks    []tokenAsk
}

// alone reports whether no leader is known to be reached.
func (w *quotaWatch) alone() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.gate.Alone()
}

// next waits until there is something to tell and returns it. While no leader is reached it
// returns also with nothing, after a pause, to find out whether one is again.
func (w *quotaWatch) next(ctx context.Context) (round quotaRound, ok bool) {
	var pause <-chan time.Time
	if w.alone() {
		pause = time.After(quotaRetry)
	}
	select {
	case <-ctx.Done():
		return round, false
	case first := <-w.asks:
		round.asks = append(round.asks, first)
	case <-w.wake:
		w.gather(ctx, &round)
	case <-pause:
	}
	round.asks = append(round.asks, w.waiting()...)
	round.message.Wanted = lo.CountValuesBy(round.asks, func(ask tokenAsk) string { return ask.tenant })
	w.mutex.Lock()
	defer w.mutex.Unlock()
	round.message.Spent = w.gate.TakeSpent()
	return round, true
}

// waiting returns the requests that wait for a token now.
func (w *quotaWatch) waiting() (asks []tokenAsk) {
	for len(asks) < askBacklog {
		select {
		case another := <-w.asks:
			asks = append(asks, another)
		default:
			return asks
		}
	}
	return asks
}

// gather waits for more to report, or for a request that needs a token.
func (w *quotaWatch) gather(ctx context.Context, round *quotaRound) {
	w.mutex.Lock()
	moment := time.NewTimer(w.gathering)
	w.mutex.Unlock()
	defer moment.Stop()
	select {
	case <-moment.C:
	case first := <-w.asks:
		round.asks = append(round.asks, first)
	case <-ctx.Done():
	}
}

// settle hands out what a round brought.
func (w *quotaWatch) settle(round quotaRound, reply quota.Reply) {
	w.mutex.Lock()
	w.gate.Reached(steadyclock.Now(), round.message.Spent, reply)
	w.mutex.Unlock()
	left := lo.MapValues(reply.Grants, func(given quota.Grant, _ string) int { return given.Granted })
	for _, ask := range round.asks {
		if left[ask.tenant] > 0 {
			left[ask.tenant]--
			ask.answer <- tokenAnswer{granted: true}
			continue
		}
		ask.answer <- tokenAnswer{after: reply.Grants[ask.tenant].Next}
	}
}

// fail takes a round back that reached no leader. Its requests go by this router's share.
func (w *quotaWatch) fail(round quotaRound) {
	w.mutex.Lock()
	w.gate.Return(round.message.Spent)
	w.mutex.Unlock()
	for _, ask := range round.asks {
		decision, after := w.decide(ask.tenant)
		ask.answer <- tokenAnswer{granted: decision == quota.Pass, after: after}
	}
}

// tellQuota reports what tenants spend and asks for tokens until the context ends.
func (f *follower) tellQuota(ctx context.Context) {
	watch, told := f.gateway.quotas, false
	// A start is a sender of its own, so that its messages count from one.
	sender := f.gateway.config.Name + "/" + time.Now().Format(time.RFC3339Nano) // The wall clock: it only tells starts apart.
	for sequence := uint64(1); ; sequence++ {
		round, ok := watch.next(ctx)
		if !ok {
			return
		}
		if len(round.message.Spent)+len(round.asks) == 0 && !watch.alone() {
			continue
		}
		round.message.Router, round.message.Sequence = sender, sequence
		reply, err := f.postQuota(ctx, round.message)
		if err != nil {
			watch.fail(round)
		} else {
			watch.settle(round, reply)
		}
		if alone := watch.alone(); alone != told {
			told = alone
			f.gateway.logger.WithField("alone", alone).WithField("reason", err).Info("quota_reports_changed")
		}
	}
}

// postQuota sends a message to the node that is followed or, if that fails, to others.
func (f *follower) postQuota(ctx context.Context, told quota.Message) (reply quota.Reply, err error) {
	err = f.callEither(ctx, directory.PathQuota, told, quotaTimeout, &reply)
	return reply, errors.Wrap(err, "the quota is not told")
}

// takeMetered takes in which tenants need a token for each request.
func (f *follower) takeMetered(reply directory.FollowReply) {
	if reply.MeteredDigest == f.request.Metered {
		return
	}
	f.request.Metered = reply.MeteredDigest
	f.gateway.quotas.setMetered(reply.Metered)
	f.gateway.metrics.metered.Set(float64(len(reply.Metered)))
	f.gateway.logger.WithField("tenants", len(reply.Metered)).
		WithField("some", lo.Slice(reply.Metered, 0, maxNotedTold)).Info("metered_tenants_changed")
}

// refuseOverQuota refuses a request of a tenant that has used its limit up. It reports
// whether it did.
func (s *exchangeState) refuseOverQuota() bool {
	if s.tenant == nil || s.tenant.Rate <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(s.request.Context(), s.remaining())
	defer cancel()
	given := s.gateway.quotas.admit(ctx, s.tenant.Name)
	if given.granted {
		return false
	}
	spread := time.Duration(float64(tokenSpread) * float64(xxhash.Sum64String(s.id)>>11) / (1 << 53))
	s.refuse(http.StatusTooManyRequests, verdict.ReasonOverQuota, max(given.after, minimalWait)+spread)
	return true
}

// minimalWait is the least time that a refused request is told to wait.
const minimalWait = 50 * time.Millisecond

// setLimits takes in the limits of a document.
func (g *Gateway) setLimits(document *routing.Document) {
	g.quotas.setLimits(quota.LimitsOf(document.Tenants))
}
