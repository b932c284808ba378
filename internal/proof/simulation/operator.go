package simulation

import (
	"fmt"
	"time"

	"github.com/martenstage/martenstage/internal/consensus"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/records"
)

const (
	// operatorTimeout bounds one call of an operator, operatorPatience all
	// resends of a change.
	operatorTimeout  = 1500 * time.Millisecond
	operatorPatience = 25 * time.Second
	operatorPause    = 200 * time.Millisecond
	inForcePause     = 400 * time.Millisecond
)

// operator submits changes of configuration and waits until they are in force.
type operator struct {
	process
	area    *areaState
	next    int
	changes int
	busy    bool
	// accepted holds the answers that said so, by change id.
	accepted map[string]uint64
	lastDone time.Duration
}

func newOperator(world *World, of *areaState, at seat) *operator {
	return &operator{process: newProcess(world, at), area: of, accepted: map[string]uint64{}}
}

// ask calls one voter after the other until one answers or the time is over.
func (o *operator) ask(do operation, deadline time.Duration, done func(serviceAnswer, bool)) {
	if o.world.queue.Now() >= deadline {
		done(serviceAnswer{}, false)
		return
	}
	voter := o.world.voters[o.next%len(o.world.voters)]
	o.world.call(call{
		from: &o.process, to: &voter.process, timeout: operatorTimeout, repeatable: true,
		handle: func(back reply) { voter.control.serve(do, false, back) },
		done: func(result callResult) {
			if !result.failed && result.answer.(serviceAnswer).err == nil {
				done(result.answer.(serviceAnswer), true)
				return
			}
			o.next++
			o.after(operatorPause, func() { o.ask(do, deadline, done) })
		},
	})
}

// submit reads the latest revision and submits a change written against it.
func (o *operator) submit(text string) {
	if o.busy {
		return
	}
	o.busy = true
	deadline := o.world.queue.Now() + operatorPatience
	o.ask(readStatus, deadline, func(answer serviceAnswer, ok bool) {
		if !ok {
			o.busy = false
			return
		}
		o.apply(text, answer.status.revision, deadline)
	})
}

// apply submits a change until its decision is known. An answer that is lost is
// asked for again under the same change id.
func (o *operator) apply(text string, expected uint64, deadline time.Duration) {
	o.changes++
	request := &v1.ApplyRequest{
		ChangeId: fmt.Sprintf("%s-%d", o.name(), o.changes), ExpectedRevision: expected, Text: text, Author: o.name(),
	}
	sent := o.world.queue.Now()
	o.world.trace.note(o.name(), "change_submitted", "change", request.GetChangeId(), "expected", expected)
	o.ask(applyChange(request), deadline, func(answer serviceAnswer, ok bool) {
		if !ok {
			o.busy = false
			return
		}
		o.decided(request, sent, answer)
		const resent, chances = 3, 10
		if o.world.workload.IntN(chances) < resent {
			// An operator whose program lost the answer resends the change.
			o.ask(applyChange(request), deadline, func(again serviceAnswer, ok bool) {
				if ok {
					o.decided(request, sent, again)
				}
			})
		}
	})
}

func (o *operator) decided(request *v1.ApplyRequest, sent time.Duration, answer serviceAnswer) {
	accepted := answer.change.Result == v1.ApplyResult_APPLY_RESULT_ACCEPTED
	record := records.OperatorAnswer{
		ChangeID: request.GetChangeId(), Expected: request.GetExpectedRevision(), Sent: wallAt(sent),
		Received: o.world.queue.Wall(), Accepted: accepted, Revision: answer.change.Revision,
	}
	o.world.trace.note(o.name(), "change_decided", "change", record.ChangeID, "accepted", accepted, "revision", record.Revision)
	o.world.judge.AddOperatorAnswer(record)
	o.busy = false
	if !accepted {
		return
	}
	if _, known := o.accepted[record.ChangeID]; !known {
		o.accepted[record.ChangeID] = record.Revision
		o.world.configChanges++
		o.lastDone = o.world.queue.Now()
		if o.world.cutOff(o.lastDone) {
			o.area.isolated.accepted++
		}
		o.awaitInForce(record, o.world.queue.Now()+operatorPatience)
	}
}

// awaitInForce asks until the revision is said to be in force everywhere.
func (o *operator) awaitInForce(record records.OperatorAnswer, deadline time.Duration) {
	o.ask(readStatus, deadline, func(answer serviceAnswer, ok bool) {
		switch {
		case !ok:
		case answer.status.inForce < record.Revision:
			o.after(inForcePause, func() { o.awaitInForce(record, deadline) })
		default:
			record.InForce = o.world.queue.Wall()
			o.world.trace.note(o.name(), "in_force", "revision", record.Revision)
			o.world.judge.AddOperatorAnswer(record)
			o.world.inForce = max(o.world.inForce, record.Revision)
			if o.world.cutOff(o.world.queue.Now()) {
				o.area.isolated.inForce++
			}
		}
	})
}

// replaceVoter gives a dead voter's place to a new machine with an empty disk:
// it joins as a learner, is promoted, and the dead one is removed.
func (o *operator) replaceVoter(old, added uint64, address string, done func()) {
	steps := []consensus.Change{
		{Kind: consensus.AddLearner, ID: added, Address: address},
		{Kind: consensus.PromoteLearner, ID: added},
		{Kind: consensus.RemoveMember, ID: old},
	}
	var next func()
	next = func() {
		if len(steps) == 0 {
			done()
			return
		}
		change := steps[0]
		o.ask(changeMember(change), o.world.horizon, func(_ serviceAnswer, ok bool) {
			if !ok {
				return
			}
			o.world.trace.note(o.name(), "member_changed", "kind", int(change.Kind), "voter", change.ID)
			steps = steps[1:]
			next()
		})
	}
	next()
}

// changeMember changes one member, or finds that it is changed already.
func changeMember(change consensus.Change) operation {
	return func(c *control, done func(serviceAnswer)) {
		if c.voter.state.Role == consensus.Leader && memberChanged(c.voter.core.Status(), change) {
			readStatus(c, done)
			return
		}
		c.voter.change(change, func(_ any, err error) { done(serviceAnswer{err: err}) })
	}
}

func memberChanged(status consensus.Status, change consensus.Change) bool {
	for _, member := range status.Members {
		if member.ID == change.ID {
			return change.Kind == consensus.AddLearner || (change.Kind == consensus.PromoteLearner && !member.Learner)
		}
	}
	return change.Kind == consensus.RemoveMember
}
