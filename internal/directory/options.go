package directory

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/voter"
)

// Config says who a node is.
type Config struct {
	// Name of the node, for logs.
	Name string
	// PeerAddress is where the other nodes and the routers reach this one; IP
	// and port.
	PeerAddress string
	// Seeds are peer addresses of some nodes, this one perhaps among them.
	Seeds []string
	// Bootstrap says that the group is being formed for the first time, so that a
	// seed with an empty folder is a founder.
	Bootstrap bool
	// Folder keeps the identity and the log.
	Folder string
	// Losses is how many nodes may be lost at once.
	Losses int
	// HeartbeatInterval is how often servers announce themselves.
	HeartbeatInterval time.Duration
	// CheckDocument reads a routing document and returns its version, or a
	// *routing.InvalidError.
	CheckDocument func(text []byte) (version uint64, err error)
	// ReadLimits reads the limits of tenants from a checked document.
	ReadLimits func(text []byte) (map[string]quota.Limit, error)
	// CanaryShare of a service's requests may go to a bad version in a roll-out.
	CanaryShare float64
	// QuotaTolerance is by how much tenants may exceed their limits.
	QuotaTolerance quota.Tolerance
}

// Environment is what a node needs of its process.
type Environment struct {
	Logger     *logrus.Logger
	Registerer prometheus.Registerer
	// WrapStore, when set, is put around the voter's log on disk.
	WrapStore func(voter.Store) voter.Store
}

// Bounds of a node's duties.
const (
	// missingHeartbeats is after how many intervals without a heartbeat a server
	// counts as missing.
	missingHeartbeats = 4
	// forgetAfter is when a silent server is forgotten.
	forgetAfter = 2 * time.Minute
	// shareInterval is how often changed servers are told to the other nodes, and
	// beatShareInterval how often mere heartbeats are.
	shareInterval     = 100 * time.Millisecond
	beatShareInterval = time.Second
	// joinInterval is how often a node that is no member asks to become one.
	joinInterval = 200 * time.Millisecond
	// orphanAfter is how long a voter without a leader waits before it asks the
	// others whether it is still a member.
	orphanAfter = 1500 * time.Millisecond
	// formationInterval is how often the leader looks at the membership.
	formationInterval = 100 * time.Millisecond
	replaceAfter      = 1200 * time.Millisecond
	learnerPatience   = 30 * time.Second
	candidateLifetime = 1500 * time.Millisecond
	changeTimeout     = 1500 * time.Millisecond
	// formingPatience is how long the first acknowledgement waits for a group
	// that does not reach its size.
	formingPatience = 8 * time.Second
	// operationTimeout bounds one call of an operator or server: it moves to the
	// next node after a second.
	operationTimeout = 900 * time.Millisecond
	leaderPoll       = 20 * time.Millisecond
	// reopenDelay is how long a node waits before it opens a failed folder again.
	reopenDelay  = 300 * time.Millisecond
	closeTimeout = 1500 * time.Millisecond
	// heartbeat and electionTimeout of the consensus: nodes are a millisecond or
	// two apart, and routers that start wait for a leader.
	heartbeat       = 80 * time.Millisecond
	electionTimeout = 280 * time.Millisecond
	// tableInterval is how often a changed table of servers is written to disk.
	tableInterval = 500 * time.Millisecond
	// groupLossesFactor makes a quorum outlive the losses: two voters for each,
	// and one.
	groupLossesFactor = 2
)

// ErrUnavailable says that the node can't be sure of the answer, or that what
// was asked may or may not be done. The caller asks again, at any node.
var ErrUnavailable = errors.New("the control group does not answer")

// refusedError is an ErrUnavailable of a node that does answer: its text gives the reason alone.
type refusedError struct{ detail string }

// Error implements error.
func (e *refusedError) Error() string { return e.detail }

// Is reports that it is an ErrUnavailable.
func (e *refusedError) Is(target error) bool { return target == ErrUnavailable }

func (c Config) groupSize() int { return groupLossesFactor*c.Losses + 1 }
