package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// loop is the event loop that owns the engine.
type loop struct {
	engine   *scatter.Engine
	pool     *exchange.Pool
	logger   logrus.FieldLogger
	events   chan scatter.Event
	requests chan submission
	pending  map[scatter.RequestID]*submission
	attempts map[scatter.AttemptID]*exchange.Attempt
	workers  *workers
	retired  retiredServers
	lastID   scatter.RequestID
	timer    *time.Timer
	// ended remembers requests that have ended. invariantBroken counts commands of the engine
	// that break an invariant, and invariantLines bounds the log lines about them.
	ended           endedRequests
	invariantBroken func()
	invariantLines  logging.LineLimit
	// stateChanges are the changes of server states in the current step.
	stateChanges []scatter.LogServer
	// pendingClaims are the claims of the current step; claim sends one of them.
	pendingClaims map[scatter.RequestID][]int
	claim         func(claimTarget, []int) error
	// observe evaluates an attempt that has ended as evidence about its request.
	observe func(endedAttempt)
	// observeRollout records how attempts at services with a rollout ended. countRequests
	// requests the number of attempts in flight.
	observeRollout func(scatter.RolloutOutcome)
	countRequests  chan countRequest
	// loadRequests request what the engine observed.
	loadRequests chan chan<- scatter.EngineLoad
	// withdrawn receives requests that have become quarantined.
	withdrawn chan []quarantine.Fingerprint
}

// submission is a request submitted to the engine.
type submission struct {
	arrived  scatter.Arrived
	request  *fingerprinted
	evidence *evidence
	// encoded is the request encoded for its attempts; it is set on admission.
	encoded *exchange.Encoded
	// id receives the engine's id of the request, answer its result.
	id     chan scatter.RequestID
	answer chan scatter.Result
	// events receives the parts and the end of a gathered request, marked with slice, in place
	// of answer.
	events eventSink
	slice  int
	// claims is where to claim attempts beyond the first of a shard; with a zero token they
	// need no claim.
	claims claimTarget
}

// finish delivers the result of a request.
func (s *submission) finish(result scatter.Result) {
	if s.events != nil {
		s.events.add(&gatherEvent{slice: s.slice, ended: true, lost: result.Missing, result: result})
		return
	}
	s.answer <- result
}

// loopCallbacks are the functions that a loop calls.
type loopCallbacks struct {
	claim   func(claimTarget, []int) error
	observe func(endedAttempt)
	rollout func(scatter.RolloutOutcome)
	// invariantBroken counts commands of the engine that break an invariant.
	invariantBroken func()
}

func newLoop(engine *scatter.Engine, pool *exchange.Pool, callbacks loopCallbacks, logger logrus.FieldLogger) *loop {
	return &loop{
		engine: engine, pool: pool, claim: callbacks.claim, observe: callbacks.observe, observeRollout: callbacks.rollout, invariantBroken: callbacks.invariantBroken, logger: logger,
		countRequests: make(chan countRequest), loadRequests: make(chan chan<- scatter.EngineLoad),
		withdrawn: make(chan []quarantine.Fingerprint, withdrawnBacklog),
		events:    make(chan scatter.Event, eventBacklog), requests: make(chan submission, maxInFlight),
		pending:       make(map[scatter.RequestID]*submission),
		attempts:      make(map[scatter.AttemptID]*exchange.Attempt),
		retired:       newRetiredServers(pool.Forget),
		pendingClaims: make(map[scatter.RequestID][]int),
		timer:         time.NewTimer(time.Hour),
		workers:       newWorkers(),
	}
}

// run steps the engine until the context ends.
func (l *loop) run(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	defer l.workers.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.step(event)
		case incoming := <-l.requests:
			l.admit(incoming)
		case quarantined := <-l.withdrawn:
			l.withdraw(quarantined)
		case request := <-l.countRequests:
			l.count(request)
		case observed := <-l.loadRequests:
			observed <- l.engine.LoadReport(steadyclock.Now())
		case <-l.timer.C:
			l.step(scatter.TimerFired{})
		case <-prune.C:
			l.pool.Prune()
		}
	}
}

func (l *loop) admit(incoming submission) {
	l.lastID++
	incoming.arrived.ID = l.lastID
	incoming.id <- l.lastID
	incoming.encoded = l.pool.Encode(incoming.request.Request)
	l.pending[l.lastID] = &incoming
	l.step(incoming.arrived)
}

func (l *loop) step(event scatter.Event) {
	switch event := event.(type) {
	case scatter.Ended:
		if running, ok := l.attempts[event.Attempt]; ok {
			l.retired.ended(running.ServerID())
			delete(l.attempts, event.Attempt)
		}
	case scatter.ServersRemoved:
		for _, id := range event.IDs {
			l.retired.retire(id)
		}
	case scatter.ServersChanged:
		for _, changed := range event.Servers {
			l.retired.serverChanged(changed)
		}
	}
	for _, command := range l.engine.Step(steadyclock.Now(), event) {
		l.execute(command, event)
	}
	l.sendClaims()
	l.logStateChanges()
	if abandoned, ok := event.(scatter.Abandoned); ok {
		// Deleted only after the step: a timer that was due may have sent attempts for the
		// request.
		l.forget(abandoned.Request)
	}
}

// execute carries out a command that the engine returned for an event.
func (l *loop) execute(command scatter.Command, event scatter.Event) {
	switch command := command.(type) {
	case scatter.Send:
		if !l.checkPending(command.Request, command, event) {
			l.endUnsent(command.Attempt)
			return
		}
		l.send(command)
	case scatter.Claim:
		if l.checkPending(command.Request, command, event) {
			l.pendingClaims[command.Request] = append(l.pendingClaims[command.Request], command.Shard)
		}
	case scatter.Abort:
		if running, ok := l.attempts[command.Attempt]; ok {
			running.Abort()
		}
	case scatter.Respond:
		if submitted, ok := l.pending[command.Request]; ok {
			l.forget(command.Request)
			l.logMissingParts(submitted.request.ID, command.Result)
			submitted.finish(command.Result)
		}
	case scatter.Dropped:
		if submitted, ok := l.pending[command.Request]; ok {
			l.logMissingParts(submitted.request.ID, command.Result)
		}
	case scatter.Overdue:
		if submitted, ok := l.pending[command.Request]; ok {
			l.logOverdueParts(submitted, command.Result)
		}
	case scatter.Part:
		if l.checkPending(command.Request, command, event) {
			submitted := l.pending[command.Request]
			submitted.events.add(&gatherEvent{slice: submitted.slice, part: command, at: steadyclock.Now()})
		}
	case scatter.Wake:
		l.timer.Reset(steadyclock.Until(command.At))
	case scatter.RolloutOutcome:
		l.observeRollout(command)
	case scatter.LogServer:
		l.stateChanges = append(l.stateChanges, command)
	}
}

// send starts an attempt of a pending request.
func (l *loop) send(command scatter.Send) {
	submitted := l.pending[command.Request]
	attempt := l.pool.Start(submitted.encoded, command.Server, command.Deadline)
	l.attempts[command.Attempt] = attempt
	l.retired.sent(command.Server.ID)
	id, began := command.Attempt, steadyclock.Now()
	l.workers.start(func() {
		outcome := attempt.Run()
		took := steadyclock.Since(began)
		l.events <- scatter.Ended{Attempt: id, Outcome: outcome}
		l.observe(endedAttempt{submitted: submitted, server: attempt.Server(), outcome: outcome, took: took})
	})
}
