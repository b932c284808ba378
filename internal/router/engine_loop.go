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

// admission is a request that waits for an engine, with the channel for its only
// answer.
type admission struct {
	request query.Request
	reply   chan<- query.Answer
}

// notice is an event from control, the prober or the process itself. Done, if not
// nil, is closed once the engine has processed the event.
type notice struct {
	event query.Event
	done  chan<- struct{}
}

// pushRetryInterval is the interval at which a producer that must not drop its event
// retries to push it into a full ring.
const pushRetryInterval = time.Millisecond

// engineLoop is the goroutine that owns an engine. Three bounded rings feed it:
// admissions (full: the request is refused), notices (full: the producer waits;
// probes are dropped) and outcomes (sized for everything that may be in flight; full:
// the sender waits).
type engineLoop struct {
	index  int
	router *Router
	engine Engine
	sender *backend.Sender

	admissions *ring.Ring[admission]
	notices    *ring.Ring[notice]
	outcomes   *ring.Ring[query.Event]
	timer      *time.Timer

	// The fields from here to immediate are used by the goroutine alone.
	pending  map[query.RequestID]pendingRequest
	attempts map[query.AttemptID]inFlightAttempt
	// admitting is the request whose admission the engine is deciding, 0 for none.
	admitting query.RequestID
	// immediate holds outcomes that the goroutine itself decided.
	immediate []query.Event

	stopped chan struct{}
	stop    sync.Once
	exited  chan struct{}
}

// pendingRequest is a request in flight: the channel for its answer, and its arrival
// by the wall clock.
type pendingRequest struct {
	reply   chan<- query.Answer
	arrived time.Time
}

// inFlightAttempt is an attempt that a sender is executing.
type inFlightAttempt struct {
	cancel   context.CancelFunc
	callerID string
}

func newEngineLoop(index int, router *Router, engine Engine, sender *backend.Sender) *engineLoop {
	config := router.config
	const requestEvents = 2 // one if the caller disconnects, one for the claim decision
	return &engineLoop{
		index:      index,
		router:     router,
		engine:     engine,
		sender:     sender,
		admissions: ring.New[admission](config.AdmissionRing),
		notices:    ring.New[notice](noticeCapacity),
		outcomes:   ring.New[query.Event](config.MaxAttempts + requestEvents*config.MaxRequests),
		timer:      time.NewTimer(time.Hour),
		pending:    make(map[query.RequestID]pendingRequest),
		attempts:   make(map[query.AttemptID]inFlightAttempt),
		stopped:    make(chan struct{}),
		exited:     make(chan struct{}),
	}
}

// noticeCapacity bounds the queued notices of one engine.
const noticeCapacity = 1024

// run steps the engine until the context ends.
func (l *engineLoop) run(ctx context.Context) {
	defer close(l.exited)
	for {
		select {
		case outcome := <-l.outcomes.Items():
			l.step(ctx, outcome)
		case received := <-l.notices.Items():
			l.step(ctx, received.event)
			if received.done != nil {
				close(received.done)
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

// admit passes a request to the engine, unless too many are in flight.
func (l *engineLoop) admit(ctx context.Context, arrived admission) {
	if len(l.pending) >= l.router.config.MaxRequests {
		arrived.reply <- l.router.refusal(verdict.ReasonOverloaded, "too many requests under way")
		return
	}
	now := time.Now() // wall clock: records are compared with those of other machines.
	l.pending[arrived.request.ID] = pendingRequest{reply: arrived.reply, arrived: now}
	l.admitting = arrived.request.ID
	l.step(ctx, query.RequestArrived{Request: arrived.request})
	l.admitting = 0
}

// step passes one event to the engine and executes the resulting commands.
func (l *engineLoop) step(ctx context.Context, event query.Event) {
	l.finishAttempt(event)
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

// finishAttempt removes an attempt whose outcome has arrived.
func (l *engineLoop) finishAttempt(event query.Event) {
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
		l.settleClaim(typed)
	case query.Respond:
		l.respond(typed)
	case query.SetTimer:
		l.setTimer(typed.At)
	case query.Warm:
		l.router.warmer.enqueue(typed)
	case query.PublishMachineState:
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
	l.attempts[attempt.Attempt] = inFlightAttempt{cancel: cancel, callerID: attempt.CallerID}
	go func() {
		sent := steadyclock.Now()
		outcome := l.sender.Send(attemptContext, attempt)
		l.router.prober.attemptFinished(attempt.Address, outcome, sent)
		l.pushOutcome(outcome)
	}()
}

// cancel aborts an attempt: its connection is closed, and the back end is sent a
// cancellation in case it does not notice that.
func (l *engineLoop) cancel(command query.Cancel) {
	canceled, ok := l.attempts[command.Attempt]
	if !ok {
		return
	}
	canceled.cancel()
	l.router.canceler.enqueue(cancellation{
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

// settleClaim records a claim's outcome. It may outlive the engine, since a planned
// stop must not lose a known outcome.
func (l *engineLoop) settleClaim(command query.SettleClaim) {
	if command.Outcome == verdict.MayHaveRun {
		return
	}
	l.router.settling.Go(func() {
		settleContext, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := l.router.claims.Settle(settleContext, command.CallerID, command.Outcome); err != nil {
			// The claim then keeps its state, which refuses a resend with may_have_run:
			// less precise, but not false.
			l.router.logger.WithError(err).Warn("claim not settled")
		}
	})
}

// settleTimeout bounds the recording of a claim's outcome.
const settleTimeout = 5 * time.Second

func (l *engineLoop) respond(command query.Respond) {
	entry, ok := l.pending[command.Request]
	if !ok {
		return
	}
	delete(l.pending, command.Request)
	l.recordAdmission(command, entry.arrived)
	entry.reply <- command.Answer
}

// recordAdmission records the revision under which the engine reports that it
// admitted a request, unless the engine refused the request on arrival.
func (l *engineLoop) recordAdmission(command query.Respond, arrived time.Time) {
	answer := command.Answer
	refused := command.Request == l.admitting && answer.Err != nil && answer.Verdict == verdict.NotRun
	if l.router.admissionLog != nil && !refused {
		l.router.admissionLog.Admitted(arrived, answer.ConfigRevision)
	}
}

func (l *engineLoop) setTimer(at time.Time) {
	if at.IsZero() {
		l.timer.Stop()
		return
	}
	l.timer.Reset(steadyclock.Until(at))
}

// pushOutcome passes an outcome to the engine, waiting for capacity, since outcomes
// must not be lost.
func (l *engineLoop) pushOutcome(event query.Event) {
	for !l.outcomes.TryPush(event) {
		if !l.waitForCapacity() {
			return
		}
	}
}

// pushNotice passes a notice to the engine, waiting for capacity.
func (l *engineLoop) pushNotice(event query.Event, done chan<- struct{}) {
	for !l.notices.TryPush(notice{event: event, done: done}) {
		if !l.waitForCapacity() {
			return
		}
	}
}

// pushNoticeAndWait passes a notice to the engine and returns once it was processed.
func (l *engineLoop) pushNoticeAndWait(event query.Event) {
	done := make(chan struct{})
	l.pushNotice(event, done)
	select {
	case <-done:
	case <-l.exited:
	}
}

// waitForCapacity waits before a push is retried and reports whether the loop still
// runs.
func (l *engineLoop) waitForCapacity() bool {
	select {
	case <-time.After(pushRetryInterval):
		return true
	case <-l.exited:
		return false
	}
}

// pushHealth passes on a probe's outcome. If the ring is full, the outcome is
// dropped, and the caller has to repeat the probe.
func (l *engineLoop) pushHealth(observed query.HealthObserved) bool {
	return l.notices.TryPush(notice{event: observed})
}

// cancellation identifies one attempt that a back end is requested to cancel.
type cancellation struct {
	sender  *backend.Sender
	address netip.AddrPort
	request string
	attempt query.AttemptID
}
