package simulation

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
	productfollower "github.com/martenstage/martenstage/internal/follower"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/state"
)

// control is what a voter serves to operators, routers and relays.
type control struct {
	voter   *voter
	granter *granter
	tables  *productfollower.RootTables
	spool   *spool
	// revision and plan are the latest applied ones.
	revision uint64
	plan     *plan.Plan
	// readFrom is the state that they were read from; untold is set until
	// routers are told of them.
	readFrom *state.Machine
	untold   bool
	drains   map[string]bool
	// drainsVersion is the version of the drain marks that were spread.
	drainsVersion uint64
	// term and lost are what was last recorded of the group.
	term uint64
	lost map[uint64]bool
}

func newControl(v *voter) *control { return &control{voter: v, spool: newSpool(&v.process)} }

func (c *control) start() {
	c.tables = productfollower.NewRootTables()
	c.granter = newGranter(&c.voter.process, true, c.tables, c)
	c.drains, c.drainsVersion, c.lost = map[string]bool{}, 0, map[uint64]bool{}
	c.term = 0
	c.applied()
	c.granter.start()
	c.confirmTerm()
	c.watchGroup()
	c.readPlatform()
	c.spool.start()
	c.spool.record(journal.Event{Kind: journal.KindRestarted, Detail: fmt.Sprintf("voter %d started", c.voter.id)})
}

// applied takes in that the state machine moved on.
func (c *control) applied() {
	if c.granter == nil {
		return
	}
	if c.takePlan() {
		c.untold = false
		c.granter.planChanged()
		c.confirmOnce()
	}
	if c.voter.machine.DrainsVersion() != c.drainsVersion {
		marks, version := c.voter.machine.Drains()
		c.drainsVersion = version
		c.spreadDrains(marks)
	}
}

// takePlan reads the plan of a revision that this voter has not read yet, and
// reports whether routers have still to be told of it.
func (c *control) takePlan() bool {
	machine := c.voter.machine
	changed := machine.Latest().Number != c.revision
	if changed || c.readFrom != machine {
		c.revision, c.readFrom = machine.Latest().Number, machine
		c.plan = latestPlan(machine)
	}
	c.untold = c.untold || changed
	return c.untold
}

func (c *control) spreadDrains(marks []state.Drain) {
	current := map[string]bool{}
	for _, mark := range marks {
		current[mark.Address] = true
		c.tables.SetOperator(c.voter.now(), mark.Address, membership.Leaving)
	}
	for _, address := range sortedKeys(c.drains) {
		if !current[address] {
			c.tables.SetOperator(c.voter.now(), address, membership.Live)
		}
	}
	c.drains = current
}

// latest implements grantSource.
func (c *control) latest() (uint64, *plan.Plan) { return c.revision, c.plan }

// confirm implements grantSource: every grant follows a confirmation that began
// after its call arrived.
func (c *control) confirm(_ bool, done func(entitlement, grantRefusal)) {
	c.confirmLeadership(func(term uint64, err error) {
		if err != nil {
			done(entitlement{}, grantRefusal{refused: true, redirect: c.voter.world.processOfVoter(c.voter.state.Leader)})
			return
		}
		done(entitlement{term: term, lease: lease.DefaultDuration}, grantRefusal{})
	})
}

// confirmLeadership calls done with the term once a quorum has confirmed that
// this voter leads and everything committed before is applied.
func (c *control) confirmLeadership(done func(uint64, error)) {
	c.voter.confirmRead(func(err error) {
		if err == nil && c.voter.state.Role != consensus.Leader {
			err = errNotLeader
		}
		done(c.voter.state.Term, err)
	})
}

// confirmTerm keeps the term known while no child calls.
func (c *control) confirmTerm() {
	c.voter.after(lease.RenewInterval, c.confirmTerm)
	c.confirmOnce()
}

func (c *control) confirmOnce() {
	if c.voter.state.Role != consensus.Leader {
		return
	}
	c.confirmLeadership(func(term uint64, err error) {
		if err == nil {
			c.granter.enterTerm(term)
			c.granter.installLatest()
		}
	})
}

// readPlatform takes the platform's list over, again and again.
func (c *control) readPlatform() {
	world := c.voter.world
	c.voter.after(platformInterval, c.readPlatform)
	world.call(call{
		from: &c.voter.process, to: &world.platform.process, timeout: platformInterval,
		handle: func(back reply) { back(world.platform.list) },
		done: func(result callResult) {
			if !result.failed {
				c.tables.SetPlatform(c.voter.now(), result.answer.(map[string]membership.State))
			}
		},
	})
}

// watchGroup records what happens to the group of voters.
func (c *control) watchGroup() {
	const interval = 200 * time.Millisecond
	c.voter.after(interval, c.watchGroup)
	if c.voter.state.Role != consensus.Leader {
		c.term = 0
		return
	}
	status := c.voter.core.Status()
	if c.term != status.Term {
		c.term = status.Term
		clear(c.lost)
		c.spool.record(journal.Event{
			ID: fmt.Sprintf("control/term/%d", status.Term), Kind: journal.KindLeaderChanged,
			Detail: fmt.Sprintf("voter %d leads in term %d", status.ID, status.Term),
		})
		return
	}
	for _, member := range status.Members {
		lost := !member.Active && member.ID != status.ID
		if lost == c.lost[member.ID] {
			continue
		}
		c.lost[member.ID] = lost
		kind := journal.KindVoterReturned
		if lost {
			kind = journal.KindVoterLost
		}
		c.spool.record(journal.Event{Kind: kind, Address: member.Address, Detail: fmt.Sprintf("voter %d", member.ID)})
	}
}

// proposeCommand replicates a command.
func (c *control) proposeCommand(command *v1.StateCommand, done func(state.Result, error)) {
	data, err := state.Encode(c.voter.now(), command)
	if err != nil {
		done(state.Result{}, err)
		return
	}
	c.voter.propose(data, func(applied any, err error) {
		if err != nil {
			done(state.Result{}, err)
			return
		}
		done(applied.(state.Result), nil)
	})
}

// serviceAnswer is the answer of a voter to a call of an operator or router.
type serviceAnswer struct {
	err    error
	change state.ChangeResult
	claim  state.ClaimResult
	status groupStatus
}

type groupStatus struct {
	revision, inForce uint64
	members           []consensus.MemberStatus
	leader            uint64
}

// operation is a call that only the leader answers.
type operation func(c *control, done func(serviceAnswer))

// serve answers a call here, or passes it on to the leader, once.
func (c *control) serve(do operation, forwarded bool, reply reply) {
	do(c, func(answer serviceAnswer) {
		leader := c.voter.world.voterOf(c.voter.state.Leader)
		if !errors.Is(answer.err, errNotLeader) || forwarded || leader == nil || leader == c.voter {
			reply(answer)
			return
		}
		const forwardTimeout = 3 * time.Second
		c.voter.world.call(call{
			from: &c.voter.process, to: &leader.process, timeout: forwardTimeout,
			handle: func(back repliedTo) { leader.control.serve(do, true, back) },
			done: func(result callResult) {
				switch {
				case result.refused:
					reply(serviceAnswer{err: errNotLeader})
				case result.failed:
					reply(serviceAnswer{err: errOutcomeUnknown})
				default:
					reply(result.answer)
				}
			},
		})
	})
}

// repliedTo is reply under a name that parameters do not hide.
type repliedTo = reply

// applyChange submits a configuration.
func applyChange(request *v1.ApplyRequest) operation {
	return func(c *control, done func(serviceAnswer)) {
		hash := state.ApplyHash(request.GetText(), 0)
		// A decision is final, so it is answered from any applied state.
		if first, known := c.voter.machine.ChangeResult(request.GetChangeId(), hash); known {
			done(serviceAnswer{change: first})
			return
		}
		c.confirmLeadership(func(_ uint64, err error) {
			if err != nil {
				done(serviceAnswer{err: err})
				return
			}
			c.proposeChange(request, hash, done)
		})
	}
}

func (c *control) proposeChange(request *v1.ApplyRequest, hash []byte, done func(serviceAnswer)) {
	command := &v1.ChangeCommand{
		ChangeId: request.GetChangeId(), ExpectedRevision: request.GetExpectedRevision(), RequestHash: hash,
		Author: request.GetAuthor(),
	}
	if err := c.encodeChange(command, request.GetText()); err != nil {
		done(serviceAnswer{err: err})
		return
	}
	c.proposeCommand(&v1.StateCommand{Body: &v1.StateCommand_Change{Change: command}},
		func(result state.Result, err error) { done(serviceAnswer{change: result.Change, err: err}) })
}

// commitClaim commits one claim or settlement.
func commitClaim(claim *v1.ClaimOperation) operation {
	return func(c *control, done func(serviceAnswer)) {
		batch := &v1.ClaimBatch{Operations: []*v1.ClaimOperation{claim}}
		c.proposeCommand(&v1.StateCommand{Body: &v1.StateCommand_Claims{Claims: batch}},
			func(result state.Result, err error) {
				answer := serviceAnswer{err: err}
				if err == nil {
					answer.claim = result.Claims[0]
				}
				done(answer)
			})
	}
}

// appendEvents stores events in the journal.
func appendEvents(events []*v1.Event) operation {
	return func(c *control, done func(serviceAnswer)) {
		c.proposeCommand(&v1.StateCommand{Body: &v1.StateCommand_Events{Events: &v1.EventsCommand{Events: events}}},
			func(_ state.Result, err error) { done(serviceAnswer{err: err}) })
	}
}

// readStatus describes the group, confirmed by a quorum.
func readStatus(c *control, done func(serviceAnswer)) {
	c.confirmLeadership(func(_ uint64, err error) {
		if err != nil {
			done(serviceAnswer{err: err})
			return
		}
		status := c.voter.core.Status()
		done(serviceAnswer{status: groupStatus{
			revision: c.voter.machine.Latest().Number, inForce: c.granter.revisionInForce(),
			members: status.Members, leader: status.ID,
		}})
	})
}
