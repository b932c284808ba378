package scatter

import (
	"strconv"
	"strings"
	"time"

	"github.com/martenstage/martenstage/internal/message"
)

// server is the engine's state of one server.
type server struct {
	Server
	// inFlight are this router's attempts that have not ended.
	inFlight map[AttemptID]*attempt
	// otherLoad is the load by other routers, as last reported by the server.
	otherLoad  int
	reportedAt time.Time
	// pace is the duration of attempts here, relative to their route's typical time.
	pace   float64
	paceAt time.Time
	// losses is the recent share of attempts without a good answer that may have run.
	losses recentShare
	// refusals is the recent share of attempts that the server refused as overloaded.
	refusals recentShare
	// lastReplyAt is when the last good answer arrived.
	lastReplyAt time.Time
	// lastSentAt is when the last attempt was sent.
	lastSentAt time.Time
	// failures counts consecutive failures; the server is avoided until suspectUntil because
	// of them.
	failures int
	// errorReplies counts consecutive error replies of the server.
	errorReplies int
	suspectedAt  time.Time
	suspectUntil time.Time
	// connectFailed says that no connection could be established at the last failure.
	connectFailed bool
	// fullUntil is until when the server is avoided because it refused work.
	fullUntil time.Time
	// maxInFlight bounds the attempts until maxInFlightUntil, because the server reset
	// connections beyond it.
	maxInFlight      int
	maxInFlightUntil time.Time
	// missingLogged says that the use of the server while it is missing from the directory has
	// been logged.
	missingLogged bool
	// misdirected says that another server answers at the address.
	misdirected bool
	// coldTokens is how many requests this router may send to the server while it is cold, as
	// of coldFilledAt.
	coldTokens   float64
	coldFilledAt time.Time
	// slowness is how long work took at the server by its last report, as a multiple of the
	// usual time; 0 if it did not report any.
	slowness float64
	observation
	// shared is what other routers report.
	shared sharedFigure
}

// Parameters of the state of a server.
const (
	initialSuspicion = 250 * time.Millisecond
	maxSuspicion     = 4 * time.Second
	fullDuration     = 40 * time.Millisecond
	// connectionResetPause is how long a server that reset new connections gets no more of
	// them.
	connectionResetPause = time.Second
	// replyTrust is how long an answer proves that a server is up although the directory
	// misses it. In fleets of hundreds of routers, a router sends to a given server about
	// every two seconds.
	replyTrust = 2500 * time.Millisecond
	// loadLifetime is the age at which a reported load expires.
	loadLifetime = 400 * time.Millisecond
	// slownessLifetime is the age at which a reported slowness expires.
	slownessLifetime = 200 * time.Millisecond
	// paceHalfLife is the age at which the deviation of a server's pace from 1 has halved.
	paceHalfLife = 3 * time.Second
	paceWeight   = 0.25
	maxPace      = 30.0
	minPace      = 0.4
	// crossZoneCost multiplies the cost of servers in other zones, coldCost that of cold ones.
	crossZoneCost = 3.0
	coldCost      = 1.5
	// lossWeight is the weight of one attempt in the share of lost ones; lossesHalfLife is the
	// age at which that share has halved.
	lossWeight     = 0.25
	lossesHalfLife = 4 * time.Second
	// lossCost is the extra cost of a server that loses every answer; above toleratedLosses a
	// server is not preferred for its zone.
	lossCost        = 8.0
	toleratedLosses = 0.15
	// refusalWeight is the weight of one attempt in the share of refused ones;
	// refusalsHalfLife is the age at which that share has halved. A router of a large fleet
	// sends to a given server every few seconds, and with the pause of 40 ms alone it would
	// keep sending to servers that refuse everything.
	refusalWeight    = 0.3
	refusalsHalfLife = 4 * time.Second
	// refusalCost is the extra cost of a server that refuses everything. A server whose slots
	// are only briefly taken refuses few, and when all are overloaded they are all alike.
	refusalCost = 12.0
	// toleratedRefusals is the share above which a server is not preferred for its zone: one
	// refusal has an effect for two seconds.
	toleratedRefusals = 0.2
	// stalledCost multiplies the cost of a stalled server.
	stalledCost = 6.0
)

func newServer(update Server) *server {
	return &server{
		Server: update, inFlight: make(map[AttemptID]*attempt), pace: 1,
		losses:   recentShare{weight: lossWeight, halfLife: lossesHalfLife},
		refusals: recentShare{weight: refusalWeight, halfLife: refusalsHalfLife},
	}
}

// usable reports whether the server may get new work at all.
func (s *server) usable() bool { return !s.Draining && !s.Replaced && !s.misdirected }

// sharesProcess reports whether two incarnations of a server are served by the same process.
func (s *server) sharesProcess(other *server) bool {
	return s.Name != "" && s.Name == other.Name && s.Address == other.Address
}

// recentWork describes, for the log, what this router has sent to the server.
func (s *server) recentWork(now time.Time) string {
	if s.lastSentAt.IsZero() {
		return "nothing sent"
	}
	return "in_flight=" + strconv.Itoa(len(s.inFlight)) + " last_sent=" + now.Sub(s.lastSentAt).Round(time.Millisecond).String()
}

// incarnationsOf returns the IDs of the known incarnations of a server, in the order in which
// they were reported.
func (g *group) incarnationsOf(of *server) []string {
	var ids []string
	for _, known := range g.servers {
		if known == of || known.Name != "" && known.Name == of.Name {
			ids = append(ids, known.ID)
		}
	}
	return ids
}

// logMissingUse logs the use of a server that the directory misses, with its known
// incarnations, once until it is no longer missing.
func (e *Engine) logMissingUse(chosen *server) {
	if !chosen.Missing || chosen.missingLogged {
		return
	}
	chosen.missingLogged = true
	answered := "never"
	if !chosen.lastReplyAt.IsZero() {
		answered = e.now.Sub(chosen.lastReplyAt).Round(time.Millisecond).String()
	}
	starts := strings.Join(e.group(chosen.Service).incarnationsOf(chosen), " ")
	e.emit(LogServer{Server: chosen.Server, Event: "missing_server_used", Detail: "last_answer=" + answered + " starts=[" + starts + "]"})
}

// condition ranks servers by how likely they are to answer; lower is better.
type condition uint8

const (
	healthy condition = iota
	// probation: it has not answered since its last failure, which is some time ago; one
	// attempt at a time is enough to find out whether it works.
	probation
	// tooSlow: no answer is expected by the due time. This depends on the call, so that only
	// choiceView.condition returns it.
	tooSlow
	// missing: it is missing from the directory and has not answered here recently either.
	missing
	// suspected: it failed a short time ago.
	suspected
	// unreachable: it is suspected because no connection could be established.
	unreachable
	// conditionCount is the number of conditions.
	conditionCount
)

// condition returns the condition by this router's own observations and the shared ones. A
// server that others find silent gets exploring attempts (choose), and others only if there is
// no other server.
func (s *server) condition(now time.Time) condition {
	own := s.ownCondition(now)
	if own < suspected && s.sharedSilent(now) {
		return suspected
	}
	return own
}

// ownCondition returns the condition by this router's own observations.
func (s *server) ownCondition(now time.Time) condition {
	switch isSuspected := now.Before(s.suspectUntil); {
	case isSuspected && s.connectFailed:
		return unreachable
	case isSuspected:
		return suspected
	case s.Missing && !s.repliedRecently(now):
		return missing
	case s.failures > 0:
		return probation
	}
	return healthy
}

// repliedRecently reports whether a good answer came from the server a short time ago. That
// outweighs a missing heartbeat at the directory, whose fault it may be: while the directory's
// nodes were partitioned from each other, a third of all servers were skipped for three
// seconds although they answered.
func (s *server) repliedRecently(now time.Time) bool {
	return !s.lastReplyAt.IsZero() && now.Sub(s.lastReplyAt) <= replyTrust
}

// full reports whether the server has just refused work as overloaded.
func (s *server) full(now time.Time) bool { return now.Before(s.fullUntil) }

// load is the work ahead of a new attempt: this router's attempts, and the load by others that
// the server reported, whose weight falls with its age.
func (s *server) load(now time.Time) float64 {
	load := float64(len(s.inFlight))
	if age := now.Sub(s.reportedAt); age < loadLifetime {
		load += float64(s.otherLoad) * (1 - float64(age)/float64(loadLifetime))
	}
	return load
}

// cost is the expected time of a new attempt in units of the typical time, with penalties for
// other zones, stalls, losses and refusals.
func (s *server) cost(now time.Time, zone string) float64 {
	cost := s.expectedCost(now)
	if s.Zone != zone {
		cost *= crossZoneCost
	}
	if s.stalled(now) {
		cost *= stalledCost
	}
	return cost * (1 + lossCost*s.losses.current(now)) * (1 + refusalCost*s.expectedRefusals(now))
}

// expectedCost is the cost without penalties: the work itself, and the wait for a slot if none
// is free.
func (s *server) expectedCost(now time.Time) float64 {
	slots := float64(max(1, s.Slots))
	load := s.load(now)
	expected := max(1, load+1) / slots
	expected *= s.expectedPace(now) * s.reportedSlowness(now)
	if now.Before(s.WarmAt) {
		expected *= coldCost
	}
	return expected
}

// stalled reports whether an attempt is in flight for longer than most and nothing has arrived
// from the server since it was sent, so that the server is probably paused.
func (s *server) stalled(now time.Time) bool {
	for _, a := range s.inFlight {
		if now.After(a.expected) && s.lastReplyAt.Before(a.started) {
			return true
		}
	}
	return false
}

// reportedSlowness is how long work takes at the server by its own report, as a multiple of
// the usual time. It changes many times a second, so that its weight falls with its age.
func (s *server) reportedSlowness(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if s.slowness <= 0 || age >= slownessLifetime {
		return 1
	}
	return 1 + (s.slowness-1)*(1-float64(age)/float64(slownessLifetime))
}

// saturated reports whether work is likely to wait for a slot.
func (s *server) saturated(now time.Time) bool { return s.load(now) > float64(max(1, s.Slots)) }

// currentPace decays towards 1, so that a server that was slow is tried again.
func (s *server) currentPace(now time.Time) float64 {
	age := now.Sub(s.paceAt)
	if age <= 0 {
		return s.pace
	}
	keep := float64(paceHalfLife) / float64(paceHalfLife+age)
	return 1 + (s.pace-1)*keep
}

// lossy reports whether so many answers are lost that another server is better.
func (s *server) lossy(now time.Time) bool { return s.losses.current(now) > toleratedLosses }

// countLoss records whether an attempt brought no good answer. One success does not make up
// for a loss, as it does for a suspicion: with 235 servers that lost 40 % of their answers,
// each was soon trusted again, and a third of all parts had to be requested twice.
func (s *server) countLoss(now time.Time, lost bool) {
	s.losses.count(now, lost)
}

// refusing reports whether so many attempts are refused that another server is better.
func (s *server) refusing(now time.Time) bool { return s.expectedRefusals(now) > toleratedRefusals }

// recordPace records how long an attempt took, relative to the typical time.
func (s *server) recordPace(now time.Time, ratio float64) {
	ratio = min(max(ratio, minPace), maxPace)
	s.pace = s.currentPace(now)*(1-paceWeight) + ratio*paceWeight
	s.paceAt = now
}

// recordSuccess clears all suspicion.
func (s *server) recordSuccess(now time.Time) {
	s.lastReplyAt = now
	s.errorReplies = 0
	s.failures, s.suspectUntil, s.fullUntil = 0, time.Time{}, time.Time{}
}

// recordFailure marks the server as suspected for a time that doubles with each failure.
// Attempts that were in flight at the same time fail together and count once.
func (s *server) recordFailure(now, started time.Time) {
	if started.Before(s.suspectedAt) {
		return
	}
	pause := min(initialSuspicion<<min(s.failures, 5), maxSuspicion)
	s.failures++
	s.suspectedAt, s.suspectUntil = now, now.Add(pause)
}

// recordConnectionReset records that the server has more connections than it accepts: this
// router uses only the working ones until others have had time to close theirs.
func (s *server) recordConnectionReset(now time.Time) {
	s.maxInFlight = max(1, len(s.inFlight))
	s.maxInFlightUntil = now.Add(connectionResetPause)
	s.fullUntil = now.Add(fullDuration)
}

// recordLoad records the load that the server reported with an answer.
func (s *server) recordLoad(now time.Time, load message.Load) {
	if !load.Known {
		return
	}
	s.otherLoad = max(0, load.Running+load.Waiting-len(s.inFlight))
	s.reportedAt, s.slowness = now, load.Slowness
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
}
