package router

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/ring"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// admission is a request on its way into an engine, with the channel that its
// one answer goes to.
type admission struct {
	request query.Request
	reply   chan<- query.Answer
}

// notice is an event from control, the prober or the process itself. Done,
// when not nil, is closed once the engine has taken it in.
type notice struct {
	event query.Event
	done  chan<- struct{}
}

// pushPause is how long a producer that may not drop waits for room in a ring.
const pushPause = time.Millisecond

// engineLoop is the one goroutine that owns an engine. Three bounded rings
// lead to it: admissions (full: the request is refused), notices (full: the
// producer waits; probes are dropped) and outcomes (sized for everything that
// may be under way; full: the sender waits).
type engineLoop struct {
	index  int
	router *Router
	engine Engine
	sender *backend.Sender

	admissions *ring.Ring[admission]
	notices    *ring.Ring[notice]
	outcomes   *ring.Ring[query.Event]
	timer      *time.Timer

	// The rest belongs to the goroutine alone.
	waiting  map[query.RequestID]waiter
	attempts map[query.AttemptID]flight
	// admitting is the request that the engine decides about, 0 for none.
	admitting query.RequestID
	// immediate holds outcomes decided without leaving the goroutine.
	immediate []query.Event

	stopped chan struct{}
	stop    sync.Once
	ended   chan struct{}
}

// waiter is a request under way: where its answer goes, and since when by the wall clock.
type waiter struct {
	reply   chan<- query.Answer
	arrived time.Time
}

// flight is an attempt that a sender carries.
type flight struct {
	cancel   context.CancelFunc
	callerID string
}

func newEngineLoop(index int, router *Router, engine Engine, sender *backend.Sender) *engineLoop {
	config := router.config
	const requestEvents = 2 // CallerGone and ClaimDecided
	return &engineLoop{
		index:      index,
		router:     router,
		engine:     engine,
		sender:     sender,
		admissions: ring.New[admission](config.AdmissionRing),
		notices:    ring.New[notice](noticeRing),
		outcomes:   ring.New[query.Event](config.MaxAttempts + requestEvents*config.MaxRequests),
		timer:      time.NewTimer(time.Hour),
		waiting:    make(map[query.RequestID]waiter),
		attempts:   make(map[query.AttemptID]flight),
		stopped:    make(chan struct{}),
		ended:      make(chan struct{}),
	}
}

// noticeRing bounds the notices that wait for one engine.
const noticeRing = 1024

// run steps the engine until the context ends.
func (l *engineLoop) run(ctx context.Context) {
	defer close(l.ended)
	for {
		select {
		case outcome := <-l.outcomes.Items():
			l.step(ctx, outcome)
		case taken := <-l.notices.Items():
			l.step(ctx, taken.event)
			if taken.done != nil {
				close(taken.done)
			}
		case arrived := <-l.admissions.Items():
			l.admit(ctx, arrived)
		case <-l.timer.C:
			l.step(ctx, query.TimerFired{})
		case <-ctx.Done():
			return
		}
	}
}

// admit hands a request to the engine, unless too many are under way.
func (l *engineLoop) admit(ctx context.Context, arrived admission) {
	if len(l.waiting) >= l.router.config.MaxRequests {
		arrived.reply <- l.router.refusal(verdict.ReasonOverloaded, "too many requests under way")
		return
	}
	now := time.Now() // The wall clock: records are compared with those of other machines.
	l.waiting[arrived.request.ID] = waiter{reply: arrived.reply, arrived: now}
	l.admitting = arrived.request.ID
	l.step(ctx, query.RequestArrived{Request: arrived.request})
	l.admitting = 0
}

// step feeds one event to the engine and carries out what it commands.
func (l *engineLoop) step(ctx context.Context, event query.Event) {
	l.finishFlight(event)
	for {
		for _, command := range l.engine.Step(steadyclock.Now(), event) {
			l.execute(ctx, command)
		}
		if len(l.immediate) == 0 {
			return
		}
		event = l.immediate[0]
		l.immediate = l.immediate[1:]
	}
}

// finishFlight forgets an attempt whose outcome has come.
func (l *engineLoop) finishFlight(event query.Event) {
	var attempt query.AttemptID
	switch outcome := event.(type) {
	case query.PartArrived:
		attempt = outcome.Attempt
	case query.AttemptFailed:
		attempt = outcome.Attempt
	default:
		return
	}
	if finished, ok := l.attempts[attempt]; ok {
		finished.cancel()
		delete(l.attempts, attempt)
	}
}

func (l *engineLoop) execute(ctx context.Context, command query.Command) {
	switch typed := command.(type) {
	case query.Send:
		l.send(ctx, typed)
	case query.Cancel:
		l.cancel(typed)
	case query.Claim:
		l.claim(ctx, typed)
	case query.SettleClaim:
		l.settle(typed)
	case query.Respond:
		l.respond(typed)
	case query.Wake:
		l.wake(typed.At)
	case query.Warm:
		l.router.warmer.want(typed)
	case query.Observed:
		l.router.source.Observe(typed.Address, typed.State)
	case query.Record:
		l.router.record(typed.Event)
	case query.Stopped:
		l.stop.Do(func() { close(l.stopped) })
	}
}

// send starts an attempt, or refuses it when too many are in flight.
func (l *engineLoop) send(ctx context.Context, attempt query.Send) {
	l.router.metrics.countAttempt(attempt)
	if len(l.attempts) >= l.router.config.MaxAttempts {
		l.immediate = append(l.immediate, query.AttemptFailed{
			Attempt: attempt.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded,
		})
		return
	}
	attemptContext, cancel := context.WithTimeout(ctx, attempt.Timeout)
	l.attempts[attempt.Attempt] = flight{cancel: cancel, callerID: attempt.CallerID}
	go func() {
		sent := steadyclock.Now()
		outcome := l.sender.Send(attemptContext, attempt)
		l.router.prober.heard(attempt.Address, outcome, sent)
		l.pushOutcome(outcome)
	}()
}

// cancel gives an attempt up: its connection is closed, and the back end is
// told in case it does not notice that.
func (l *engineLoop) cancel(command query.Cancel) {
	canceled, ok := l.attempts[command.Attempt]
	if !ok {
		return
	}
	canceled.cancel()
	l.router.canceler.want(cancellation{
		sender: l.sender, address: command.Address, request: canceled.callerID, attempt: command.Attempt,
	})
}

func (l *engineLoop) claim(ctx context.Context, command query.Claim) {
	go func() {
		claimContext, cancel := context.WithTimeout(ctx, command.Timeout)
		defer cancel()
		decision := l.router.claims.Claim(claimContext, ClaimRequest{
			CallerID: command.CallerID,
			Route:    command.Route,
			Digest:   command.Digest,
			Expiry:   command.Expiry,
		})
		l.pushOutcome(query.ClaimDecided{Request: command.Request, Decision: decision})
	}()
}

// settle records a claim's outcome. It outlives the engine, since a planned
// stop must not lose what is known.
func (l *engineLoop) settle(command query.SettleClaim) {
	if command.Outcome == verdict.MayHaveRun {
		return
	}
	l.router.settling.Go(func() {
		settleContext, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := l.router.claims.Settle(settleContext, command.CallerID, command.Outcome); err != nil {
			// The claim then stays as it is, which refuses a resend with
			// may_have_run: less is known, but nothing false is said.
			l.router.logger.WithError(err).Warn("claim not settled")
		}
	})
}

// settleTimeout bounds the recording of a claim's outcome.
const settleTimeout = 5 * time.Second

func (l *engineLoop) respond(command query.Respond) {
	asked, ok := l.waiting[command.Request]
	if !ok {
		return
	}
	delete(l.waiting, command.Request)
	l.recordAdmission(command, asked.arrived)
	asked.reply <- command.Answer
}

// recordAdmission notes under which revision the engine admitted a request, by
// its own word, unless it refused it on arrival.
func (l *engineLoop) recordAdmission(command query.Respond, arrived time.Time) {
	answer := command.Answer
	refused := command.Request == l.admitting && answer.Err != nil && answer.Verdict == verdict.NotRun
	if l.router.admitted != nil && !refused {
		l.router.admitted.Admitted(arrived, answer.ConfigRevision)
	}
}

func (l *engineLoop) wake(at time.Time) {
	if at.IsZero() {
		l.timer.Stop()
		return
	}
	l.timer.Reset(steadyclock.Until(at))
}

// pushOutcome hands an outcome to the engine; it must not be lost.
func (l *engineLoop) pushOutcome(event query.Event) {
	for !l.outcomes.TryPush(event) {
		if !l.pause() {
			return
		}
	}
}

// pushNotice hands a notice to the engine, waiting for room.
func (l *engineLoop) pushNotice(event query.Event, done chan<- struct{}) {
	for !l.notices.TryPush(notice{event: event, done: done}) {
		if !l.pause() {
			return
		}
	}
}

// deliver hands a notice to the engine and returns once it was taken in.
func (l *engineLoop) deliver(event query.Event) {
	done := make(chan struct{})
	l.pushNotice(event, done)
	select {
	case <-done:
	case <-l.ended:
	}
}

// pause waits a moment for room and reports whether the loop still runs.
func (l *engineLoop) pause() bool {
	select {
	case <-time.After(pushPause):
		return true
	case <-l.ended:
		return false
	}
}

// pushHealth hands over a probe's outcome; without room it is dropped, and the
// probe is to be made again.
func (l *engineLoop) pushHealth(observed query.HealthObserved) bool {
	return l.notices.TryPush(notice{event: observed})
}

// cancellation is one attempt that a back end is told to give up.
type cancellation struct {
	sender  *backend.Sender
	address netip.AddrPort
	request string
	attempt query.AttemptID
}
