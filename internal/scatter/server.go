package scatter

import (
	"strconv"
	"strings"
	"time"

	"github.com/martenstage/martenstage/internal/message"
)

// server is what the engine knows of one server.
type server struct {
	Server
	// inFlight are the attempts of this router that have not ended.
	inFlight map[AttemptID]*attempt
	// others is the load by other routers that the server last reported.
	others   int
	reported time.Time
	// pace is how long attempts take here, relative to their route's typical time.
	pace     float64
	observed time.Time
	// losses is the share of attempts, of late, that brought no good answer though they
	// may have run.
	losses recentShare
	// refusals is the share of attempts, of late, that the server turned away for want of
	// room.
	refusals recentShare
	// heard is when the last good answer came.
	heard time.Time
	// sent is when the last attempt was sent.
	sent time.Time
	// failures in a row, and until when the server is avoided for them.
	failures int
	// errors are failures in a row that the server itself answered with.
	errors       int
	suspectedAt  time.Time
	suspectUntil time.Time
	// unconnected says that no connection came up at the last failure.
	unconnected bool
	// fullUntil is until when it is avoided because it refused work.
	fullUntil time.Time
	// connections bounds the attempts until a time, because the server reset
	// connections beyond them.
	connections      int
	connectionsUntil time.Time
	// missingTold says that the log has it that work is sent although the directory misses it.
	missingTold bool
	// misdirected says that another server answers at the address.
	misdirected bool
	// coldTokens is what this router may send to the server while it is cold, filled at
	// coldFilled.
	coldTokens float64
	coldFilled time.Time
	// slowness is how long work took at the server when it last reported that, in
	// multiples of the usual; 0 if it does not.
	slowness float64
}

// Bounds of what is believed of a server.
const (
	firstSuspicion   = 250 * time.Millisecond
	longestSuspicion = 4 * time.Second
	fullTime         = 40 * time.Millisecond
	// connectionPause is how long a server that reset new connections gets no more.
	connectionPause = time.Second
	// answerTrust is for how long an answer shows that a server is there which the
	// directory misses. In fleets of hundreds a router meets a server each two seconds.
	answerTrust = 2500 * time.Millisecond
	// loadLifetime is the age at which a reported load counts no more.
	loadLifetime = 400 * time.Millisecond
	// slownessLifetime is the age at which a reported slowness counts no more.
	slownessLifetime = 200 * time.Millisecond
	// paceHalfLife is the age at which a server's pace is half forgotten.
	paceHalfLife = 3 * time.Second
	paceWeight   = 0.25
	slowestPace  = 30.0
	fastestPace  = 0.4
	// zoneCost makes servers in other zones dearer, coldCost those that warm up.
	zoneCost = 3.0
	coldCost = 1.5
	// lossWeight is that of one attempt in the share of lost ones, lossesHalfLife the age
	// at which that is half forgotten.
	lossWeight     = 0.25
	lossesHalfLife = 4 * time.Second
	// lossCost is how much dearer a server is that loses every answer; from
	// toleratedLosses on it is not preferred for its zone.
	lossCost        = 8.0
	toleratedLosses = 0.15
	// refusalWeight is that of one attempt in the share of refused ones, refusalsHalfLife the
	// age at which that is half forgotten: a router of a large fleet meets a server each few
	// seconds, and after 40 ms alone it would ask the same ones that refuse all again.
	refusalWeight    = 0.3
	refusalsHalfLife = 4 * time.Second
	// refusalCost is how much dearer a server is that refuses everything. One that merely has
	// no slot for a moment refuses few; under overload of all, all are alike.
	refusalCost = 12.0
	// toleratedRefusals is from which share on a server is not preferred for its zone: one
	// refusal tells for two seconds.
	toleratedRefusals = 0.2
	// stalledCost makes a server dearer whose attempt is out for long.
	stalledCost = 6.0
)

func newServer(told Server) *server {
	return &server{
		Server: told, inFlight: make(map[AttemptID]*attempt), pace: 1,
		losses:   recentShare{weight: lossWeight, halfLife: lossesHalfLife},
		refusals: recentShare{weight: refusalWeight, halfLife: refusalsHalfLife},
	}
}

// usable reports whether the server may get new work at all.
func (s *server) usable() bool { return !s.Leaving && !s.Replaced && !s.misdirected }

// sharesProcess reports whether what is sent to two starts is answered by one process.
func (s *server) sharesProcess(other *server) bool {
	return s.Name != "" && s.Name == other.Name && s.Address == other.Address
}

// recentWork says, for the log, what this router has sent to the server.
func (s *server) recentWork(now time.Time) string {
	if s.sent.IsZero() {
		return "nothing sent"
	}
	return "in_flight=" + strconv.Itoa(len(s.inFlight)) + " last_sent=" + now.Sub(s.sent).Round(time.Millisecond).String()
}

// startsOf names the starts that are known of a server, in the order in which they were told.
func (g *group) startsOf(named *server) []string {
	var starts []string
	for _, known := range g.servers {
		if known == named || known.Name != "" && known.Name == named.Name {
			starts = append(starts, known.ID)
		}
	}
	return starts
}

// noteMissing tells, once until that changes, that work is sent to a server which the directory
// misses, and which starts of it are known.
func (e *Engine) noteMissing(chosen *server) {
	if !chosen.Missing || chosen.missingTold {
		return
	}
	chosen.missingTold = true
	answered := "never"
	if !chosen.heard.IsZero() {
		answered = e.now.Sub(chosen.heard).Round(time.Millisecond).String()
	}
	starts := strings.Join(e.group(chosen.Service).startsOf(chosen), " ")
	e.emit(Noted{Server: chosen.Server, Belief: "missing_server_used", Detail: "last_answer=" + answered + " starts=[" + starts + "]"})
}

// condition says how far a server is believed to answer; less is better.
type condition uint8

const (
	sound condition = iota
	// onTrial: it has not answered since its last failure, which is some time ago;
	// one attempt at a time is enough to find out.
	onTrial
	// tooSlow: no answer is expected by the time that the part is due. Only a choice
	// for a call says so, never the server alone.
	tooSlow
	// missing: the directory misses it, and it has not answered here of late either.
	missing
	// doubted: it failed a short time ago.
	doubted
	// unreachable: it is doubted since no connection came up.
	unreachable
	// conditions is how many there are.
	conditions
)

func (s *server) condition(now time.Time) condition {
	switch suspected := now.Before(s.suspectUntil); {
	case suspected && s.unconnected:
		return unreachable
	case suspected:
		return doubted
	case s.Missing && !s.answeredOfLate(now):
		return missing
	case s.failures > 0:
		return onTrial
	}
	return sound
}

// answeredOfLate reports whether a good answer came from the server a short time ago.
// That outweighs its silence towards the directory, which may be the directory's: while
// its nodes were cut from each other, a third of all servers were passed over for three
// seconds, though they answered.
func (s *server) answeredOfLate(now time.Time) bool {
	return !s.heard.IsZero() && now.Sub(s.heard) <= answerTrust
}

// full reports whether it has just refused work for want of room.
func (s *server) full(now time.Time) bool { return now.Before(s.fullUntil) }

// load is the work that a new attempt would meet, by own count and what the
// server reported, whose weight falls with its age.
func (s *server) load(now time.Time) float64 {
	load := float64(len(s.inFlight))
	if age := now.Sub(s.reported); age < loadLifetime {
		load += float64(s.others) * (1 - float64(age)/float64(loadLifetime))
	}
	return load
}

// cost is the expected time of a new attempt in units of the typical time: the
// work itself, and the wait for a slot if none is free.
func (s *server) cost(now time.Time, zone string) float64 {
	cost := s.expected(now)
	if s.Zone != zone {
		cost *= zoneCost
	}
	if s.stalled(now) {
		cost *= stalledCost
	}
	return cost * (1 + lossCost*s.losses.current(now)) * (1 + refusalCost*s.refusals.current(now))
}

// expected is cost without what only makes a server less welcome.
func (s *server) expected(now time.Time) float64 {
	slots := float64(max(1, s.Slots))
	load := s.load(now)
	expected := max(1, load+1) / slots
	expected *= s.currentPace(now) * s.reportedSlowness(now)
	if now.Before(s.WarmAt) {
		expected *= coldCost
	}
	return expected
}

// stalled reports whether an attempt is out for longer than most are and nothing
// came from the server since it was sent, so that the server is likely to pause.
func (s *server) stalled(now time.Time) bool {
	for _, out := range s.inFlight {
		if now.After(out.expected) && s.heard.Before(out.started) {
			return true
		}
	}
	return false
}

// reportedSlowness is how long work takes there by the server's own word, in multiples of
// the usual. It changes many times a second, so that its weight falls with its age.
func (s *server) reportedSlowness(now time.Time) float64 {
	age := now.Sub(s.reported)
	if s.slowness <= 0 || age >= slownessLifetime {
		return 1
	}
	return 1 + (s.slowness-1)*(1-float64(age)/float64(slownessLifetime))
}

// crowded reports whether work is likely to wait for a slot.
func (s *server) crowded(now time.Time) bool { return s.load(now) > float64(max(1, s.Slots)) }

// currentPace drifts back to 1, so that a server that was slow is tried again.
func (s *server) currentPace(now time.Time) float64 {
	age := now.Sub(s.observed)
	if age <= 0 {
		return s.pace
	}
	keep := float64(paceHalfLife) / float64(paceHalfLife+age)
	return 1 + (s.pace-1)*keep
}

// lossy reports whether so many answers are lost that another server is better.
func (s *server) lossy(now time.Time) bool { return s.losses.current(now) > toleratedLosses }

// countLoss takes in whether an attempt brought no good answer. One success does not make
// up for it, as it does for a suspicion: of 235 servers that lost 40 % of their answers
// each was soon believed again, and a third of all parts had to be asked for twice.
func (s *server) countLoss(now time.Time, lost bool) {
	s.losses.count(now, lost)
}

// refusing reports whether so many attempts are turned away that another server is better.
func (s *server) refusing(now time.Time) bool { return s.refusals.current(now) > toleratedRefusals }

// observe takes in how long an attempt took, relative to the typical time.
func (s *server) observe(now time.Time, ratio float64) {
	ratio = min(max(ratio, fastestPace), slowestPace)
	s.pace = s.currentPace(now)*(1-paceWeight) + ratio*paceWeight
	s.observed = now
}

// succeeded ends all doubt.
func (s *server) succeeded(now time.Time) {
	s.heard = now
	s.errors = 0
	s.failures, s.suspectUntil, s.fullUntil = 0, time.Time{}, time.Time{}
}

// failed makes the server avoided for a time that doubles with each failure.
// Attempts that were out together fail together; they count once.
func (s *server) failed(now, started time.Time) {
	if started.Before(s.suspectedAt) {
		return
	}
	pause := min(firstSuspicion<<min(s.failures, 5), longestSuspicion)
	s.failures++
	s.suspectedAt, s.suspectUntil = now, now.Add(pause)
}

// overConnected takes in that the server has more connections than it accepts:
// this router makes do with those that work until others had time to close
// theirs.
func (s *server) overConnected(now time.Time) {
	s.connections = max(1, len(s.inFlight))
	s.connectionsUntil = now.Add(connectionPause)
	s.fullUntil = now.Add(fullTime)
}

// report takes in the load that the server told with an answer.
func (s *server) report(now time.Time, load message.Load) {
	if !load.Known {
		return
	}
	s.others = max(0, load.Running+load.Waiting-len(s.inFlight))
	s.reported, s.slowness = now, load.Slowness
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
}
