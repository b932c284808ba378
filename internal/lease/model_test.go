package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model runs voters, relays and routers on clocks that drift by as much as is allowed.
// Calls and responses are delayed, lost and reordered at random; leaders change, also between
// a confirmation of leadership and the grant that it allows; nodes restart and change their
// upstream. No router may ever admit work under a revision lower than one that any voter,
// including former leaders, has reported in effect.

const (
	modelVoters  = 3
	modelRelays  = 2
	modelRouters = 3
	modelLease   = DefaultDuration
)

// clock converts true time to local time.
type clock struct {
	offset time.Duration
	// slowness is in parts of driftDivisor: -1, 0 or 1.
	slowness int64
}

func (c clock) at(trueTime time.Duration) time.Time {
	local := trueTime - trueTime*time.Duration(c.slowness)/driftDivisor
	return time.Unix(1_000_000, 0).Add(c.offset + local)
}

func drawClock(t *rapid.T, label string) clock {
	return clock{
		offset:   time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, label+" offset")),
		slowness: rapid.Int64Range(-1, 1).Draw(t, label+" slowness"),
	}
}

// modelNode is a voter, a relay or a router.
type modelNode struct {
	name    string
	clock   clock
	boot    uint64
	grantor *Grantor // of voters and relays
	holder  Holder   // of relays and routers
	// term is a voter's term as a leader, knownRevision the revision it knew then.
	term          uint64
	knownRevision uint64
}

// call is a Sync call in some stage of processing.
type call struct {
	from, to     *modelNode
	boot         uint64
	sentAt       time.Time
	acknowledged uint64
	// confirmed is set once a voter's leadership was confirmed for the call.
	confirmed bool
	term      uint64
	// answered is set once the response is in flight.
	answered bool
	grant    Grant
}

type model struct {
	trueTime   time.Duration
	voters     []*modelNode
	relays     []*modelNode
	routers    []*modelNode
	calls      []*call
	leader     *modelNode
	term       uint64
	committed  uint64
	reported   uint64
	admissions int
}

func newModel(t *rapid.T) *model {
	m := &model{committed: 1}
	node := func(kind string, number int) *modelNode {
		name := fmt.Sprintf("%s-%d", kind, number)
		return &modelNode{name: name, clock: drawClock(t, name), boot: 1, grantor: NewGrantor(time.Time{})}
	}
	for number := range modelVoters {
		m.voters = append(m.voters, node("voter", number))
	}
	for number := range modelRelays {
		m.relays = append(m.relays, node("relay", number))
	}
	for number := range modelRouters {
		m.routers = append(m.routers, node("router", number))
	}
	m.elect(m.voters[0])
	// Before the first leader there were no leases that could still be valid.
	m.leader.grantor = NewGrantor(time.Time{})
	m.leader.grantor.Install(m.committed)
	return m
}

func (m *model) elect(voter *modelNode) {
	m.term++
	m.leader = voter
	voter.term = m.term
	voter.knownRevision = m.committed
	voter.grantor = NewGrantor(m.now(voter).Add(Lengthened(modelLease)))
	voter.grantor.Install(m.committed)
}

func (m *model) now(node *modelNode) time.Time { return node.clock.at(m.trueTime) }

func (m *model) isVoter(node *modelNode) bool { return slices.Contains(m.voters, node) }

func (m *model) isRelay(node *modelNode) bool { return slices.Contains(m.relays, node) }

// send starts a call to any upstream, most often to one that may reply.
func (m *model) send(t *rapid.T) *call {
	from := rapid.SampledFrom(slices.Concat(m.relays, m.routers)).Draw(t, "from")
	upstreams := []*modelNode{m.leader, m.leader, m.leader, m.voters[0], m.voters[1], m.voters[2]}
	if !m.isRelay(from) {
		upstreams = append(upstreams, slices.Concat(m.relays, m.relays, m.relays)...)
	}
	to := rapid.SampledFrom(upstreams).Draw(t, "to")
	sent := &call{from: from, to: to, boot: from.boot, sentAt: m.now(from), acknowledged: from.holder.Revision()}
	if m.isRelay(from) {
		sent.acknowledged = from.grantor.InEffect(m.now(from))
	}
	m.calls = append(m.calls, sent)
	return sent
}

// exchange completes a call without delay.
func (m *model) exchange(t *rapid.T) {
	for current := m.send(t); slices.Contains(m.calls, current); {
		m.advance(slices.Index(m.calls, current))
	}
}

// advanceToLeaseEnd advances time to within a millisecond of the end of some lease, by its
// holder's or its grantor's clock.
func (m *model) advanceToLeaseEnd(t *rapid.T) {
	node := rapid.SampledFrom(slices.Concat(m.routers, m.voters)).Draw(t, "node")
	end := node.holder.Until()
	if m.isVoter(node) {
		children := node.grantor.Children()
		if len(children) == 0 {
			t.Skip("no child")
		}
		end = rapid.SampledFrom(children).Draw(t, "child").Until
	}
	left := end.Sub(m.now(node))
	if left <= 0 {
		t.Skip("expired")
	}
	// A slow clock needs more true time to get there.
	left += left * time.Duration(node.clock.slowness) / driftDivisor
	left += time.Duration(rapid.Int64Range(-1, 1).Draw(t, "around the end")) * time.Millisecond
	m.trueTime += max(left, 0)
}

// advanceAny advances any call by one stage.
func (m *model) advanceAny(t *rapid.T) {
	if len(m.calls) == 0 {
		t.Skip("no call")
	}
	m.advance(rapid.IntRange(0, len(m.calls)-1).Draw(t, "call"))
}

// advance advances a call by one stage.
func (m *model) advance(index int) {
	current := m.calls[index]
	switch {
	case current.answered:
		m.calls = slices.Delete(m.calls, index, index+1)
		m.receive(current)
	case m.isVoter(current.to) && !current.confirmed:
		if current.to != m.leader {
			m.calls = slices.Delete(m.calls, index, index+1)
			return
		}
		current.to.grantor.Acknowledge(m.now(current.to), current.child(), current.acknowledged)
		current.confirmed, current.term = true, m.term
	default:
		if !m.answer(current) {
			m.calls = slices.Delete(m.calls, index, index+1)
		}
	}
}

func (c *call) child() ChildID { return ChildID{Name: c.from.name, Boot: c.boot} }

// answer grants a lease, based on a confirmation that may be outdated or on the relay's own
// lease.
func (m *model) answer(current *call) bool {
	server := current.to
	now := m.now(server)
	term, duration := current.term, modelLease
	if m.isVoter(server) {
		if current.term != server.term {
			return false
		}
		server.grantor.Install(server.knownRevision)
	} else {
		if !server.holder.Valid(now) {
			return false
		}
		server.grantor.Acknowledge(now, current.child(), current.acknowledged)
		term, duration = server.holder.Term(), server.holder.Until().Sub(now)
	}
	revision, err := server.grantor.Grant(now, current.child(), duration)
	if err != nil {
		return false
	}
	current.answered = true
	current.grant = Grant{Term: term, Revision: revision, SentAt: current.sentAt, Duration: duration}
	return true
}

func (m *model) receive(current *call) {
	node := current.from
	if node.boot != current.boot {
		return // the process that sent it has ended
	}
	if node.holder.Current(current.grant.Term, current.grant.Revision) {
		node.holder.Install(current.grant.Revision)
		node.grantor.Install(current.grant.Revision)
	}
	node.holder.Offer(current.grant)
}

func (m *model) restart(t *rapid.T) {
	node := rapid.SampledFrom(slices.Concat(m.relays, m.routers)).Draw(t, "node")
	node.boot++
	node.holder = Holder{}
	node.grantor = NewGrantor(time.Time{})
}

// check has every voter report its revision in effect and checks it against every router.
func (m *model) check(t *rapid.T) {
	for _, voter := range m.voters {
		m.reported = max(m.reported, voter.grantor.InEffect(m.now(voter)))
		voter.grantor.Expire(m.now(voter))
	}
	for _, relay := range m.relays {
		relay.grantor.Expire(m.now(relay))
	}
	for _, router := range m.routers {
		if !router.holder.Valid(m.now(router)) {
			continue
		}
		m.admissions++
		if router.holder.Revision() < m.reported {
			t.Fatalf("%s admits under revision %d, and %d was reported in effect",
				router.name, router.holder.Revision(), m.reported)
		}
	}
}

// historiesPerCheck is the number of histories in each of rapid's checks.
const historiesPerCheck = 150

func TestNoRouterAdmitsBelowTheReportedRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range historiesPerCheck {
			t.Repeat(newModel(t).steps())
		}
	})
}

// steps returns the possible next steps.
func (m *model) steps() map[string]func(*rapid.T) {
	steps := map[string]func(*rapid.T){
		"pass time": func(t *rapid.T) {
			m.trueTime += time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "time"))
		},
		"pass to the end of a lease": m.advanceToLeaseEnd,
		"accept": func(*rapid.T) {
			m.committed++
			m.leader.knownRevision = m.committed
		},
		"elect": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				m.elect(rapid.SampledFrom(m.voters).Draw(t, "leader"))
			}
		},
		"lose": func(t *rapid.T) {
			if len(m.calls) > 0 && rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				index := rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")
				m.calls = slices.Delete(m.calls, index, index+1)
			}
		},
		"restart": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				m.restart(t)
			}
		},
		"": m.check,
	}
	// Calls drive the model, so they are drawn more often.
	for copy := range 4 {
		steps[fmt.Sprintf("exchange %d", copy)] = m.exchange
	}
	for copy := range 2 {
		steps[fmt.Sprintf("send %d", copy)] = func(t *rapid.T) { m.send(t) }
		steps[fmt.Sprintf("progress %d", copy)] = m.advanceAny
		steps[fmt.Sprintf("progress further %d", copy)] = m.advanceAny
	}
	return steps
}
