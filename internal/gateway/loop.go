package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// loop is the goroutine that owns the engine.
type loop struct {
	engine   *scatter.Engine
	pool     *exchange.Pool
	logger   logrus.FieldLogger
	events   chan scatter.Event
	requests chan submitted
	waiting  map[scatter.RequestID]submitted
	attempts map[scatter.AttemptID]*exchange.Attempt
	retired  retiredServers
	last     scatter.RequestID
	timer    *time.Timer
	// noted are the beliefs about servers that the present step changed.
	noted []scatter.Noted
	// claiming is what the present step asked for; claim carries such a message.
	claiming map[scatter.RequestID][]int
	claim    func(claimTarget, []int) error
	// observe takes in what an attempt that ended shows of its request.
	observe func(sentAttempt)
	// observeRollout takes in how attempts at services with a roll-out ended; counting asks
	// for those that are out.
	observeRollout func(scatter.Observed)
	counting       chan besideCount
	// withdrawn are requests that are quarantined from now on.
	withdrawn chan []quarantine.Fingerprint
}

// submitted is a request on its way into the engine.
type submitted struct {
	arrived  scatter.Arrived
	request  *fingerprinted
	evidence *evidence
	// encoded is the request for its attempts; it is set on admission.
	encoded *exchange.Encoded
	// id receives the engine's name of the request, answer its result.
	id     chan scatter.RequestID
	answer chan scatter.Result
	// events receives, in the place of answer, the parts and the end of a request
	// that gathers, marked with slice. It has room for all of them.
	events chan<- *gatherEvent
	slice  int
	// claims is where attempts beyond the first of a shard are asked for; a zero token
	// is for those that need not be.
	claims claimTarget
}

// end hands the result of a request on.
func (s submitted) end(result scatter.Result) {
	if s.events != nil {
		s.events <- &gatherEvent{slice: s.slice, ended: true, lost: result.Missing, result: result}
		return
	}
	s.answer <- result
}

// loopPorts are what a loop calls.
type loopPorts struct {
	claim   func(claimTarget, []int) error
	observe func(sentAttempt)
	rollout func(scatter.Observed)
}

func newLoop(engine *scatter.Engine, pool *exchange.Pool, ports loopPorts, logger logrus.FieldLogger) *loop {
	return &loop{
		engine: engine, pool: pool, claim: ports.claim, observe: ports.observe, observeRollout: ports.rollout, logger: logger,
		counting:  make(chan besideCount),
		withdrawn: make(chan []quarantine.Fingerprint, withdrawnBacklog),
		events:    make(chan scatter.Event, eventBacklog), requests: make(chan submitted, maxInFlight),
		waiting:  make(map[scatter.RequestID]submitted),
		attempts: make(map[scatter.AttemptID]*exchange.Attempt),
		retired:  newRetiredServers(pool.Forget),
		claiming: make(map[scatter.RequestID][]int),
		timer:    time.NewTimer(time.Hour),
	}
}

// run steps the engine until the context ends.
func (l *loop) run(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.step(event)
		case arriving := <-l.requests:
			l.admit(arriving)
		case quarantined := <-l.withdrawn:
			l.withdraw(quarantined)
		case asked := <-l.counting:
			l.count(asked)
		case <-l.timer.C:
			l.step(scatter.TimerFired{})
		case <-prune.C:
			l.pool.Prune()
		}
	}
}

func (l *loop) admit(arriving submitted) {
	l.last++
	arriving.arrived.ID = l.last
	arriving.id <- l.last
	arriving.encoded = l.pool.Encode(arriving.request.Request)
	l.waiting[l.last] = arriving
	l.step(arriving.arrived)
}

func (l *loop) step(event scatter.Event) {
	switch event := event.(type) {
	case scatter.Ended:
		if out, ok := l.attempts[event.Attempt]; ok {
			l.retired.ended(out.ServerID())
			delete(l.attempts, event.Attempt)
		}
	case scatter.ServersGone:
		for _, id := range event.IDs {
			l.retired.retire(id)
		}
	case scatter.ServersChanged:
		for _, changed := range event.Servers {
			l.retired.change(changed)
		}
	}
	for _, command := range l.engine.Step(steadyclock.Now(), event) {
		l.carryOut(command)
	}
	l.sendClaims()
	l.tellNoted()
	if gone, ok := event.(scatter.Abandoned); ok {
		// Only now: a timer that was due in this step may have sent for it.
		delete(l.waiting, gone.Request)
	}
}

func (l *loop) carryOut(command scatter.Command) {
	switch command := command.(type) {
	case scatter.Send:
		l.send(command)
	case scatter.Claim:
		l.claiming[command.Request] = append(l.claiming[command.Request], command.Shard)
	case scatter.Abort:
		if out, ok := l.attempts[command.Attempt]; ok {
			out.Abort()
		}
	case scatter.Respond:
		if waiting, ok := l.waiting[command.Request]; ok {
			delete(l.waiting, command.Request)
			l.tellLacking(waiting.request.ID, command.Result)
			waiting.end(command.Result)
		}
	case scatter.Dropped:
		if waiting, ok := l.waiting[command.Request]; ok {
			l.tellLacking(waiting.request.ID, command.Result)
		}
	case scatter.Overdue:
		if waiting, ok := l.waiting[command.Request]; ok {
			l.tellOverdue(waiting, command.Result)
		}
	case scatter.Part:
		if waiting, ok := l.waiting[command.Request]; ok {
			waiting.events <- &gatherEvent{slice: waiting.slice, part: command, at: steadyclock.Now()}
		}
	case scatter.Wake:
		l.timer.Reset(steadyclock.Until(command.At))
	case scatter.Observed:
		l.observeRollout(command)
	case scatter.Noted:
		l.noted = append(l.noted, command)
	}
}

// send starts an attempt. Its request is waited for, since the engine sends
// nothing for requests that were answered.
func (l *loop) send(command scatter.Send) {
	waiting := l.waiting[command.Request]
	attempt := l.pool.Start(waiting.encoded, command.Server, command.Deadline)
	l.attempts[command.Attempt] = attempt
	l.retired.sent(command.Server.ID)
	began := steadyclock.Now()
	go func() {
		outcome := attempt.Run()
		took := steadyclock.Since(began)
		l.events <- scatter.Ended{Attempt: command.Attempt, Outcome: outcome}
		l.observe(sentAttempt{waiting: waiting, server: command.Server, outcome: outcome, took: took})
	}()
}
