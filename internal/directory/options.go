package directory

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/voter"
)

// Config is the configuration of a node.
type Config struct {
	// Name of the node, for logs.
	Name string
	// PeerAddress is where other nodes and routers reach this node; IP and port.
	PeerAddress string
	// Seeds are the peer addresses of some nodes, possibly including this one.
	Seeds []string
	// Bootstrap says that the group is being formed for the first time, so that a seed with an
	// empty folder is a founder.
	Bootstrap bool
	// Folder holds the identity and the log.
	Folder string
	// SnapshotBytes is the size of the log after which it is replaced by a snapshot; 0 for the
	// default of the voter. Twice as much is held in memory.
	SnapshotBytes uint64
	// Losses is how many nodes may be lost at once.
	Losses int
	// HeartbeatInterval is how often servers send heartbeats.
	HeartbeatInterval time.Duration
	// CheckDocument parses a routing document and returns its version, or a
	// *routing.InvalidError.
	CheckDocument func(text []byte) (version uint64, err error)
	// ReadLimits reads the limits of tenants from a checked document.
	ReadLimits func(text []byte) (map[string]quota.Limit, error)
	// ReadDocument parses a checked document. If it is nil, services are not known to be short.
	ReadDocument func(text []byte) (*routing.Document, error)
	// NewPlanner returns the admission planner of a term. If it is nil, views hold services
	// without routes or tenants.
	NewPlanner func() AdmissionPlanner
	// CanaryShare is the share of a service's requests that a bad version may get in a rollout.
	CanaryShare float64
	// QuotaTolerance is by how much tenants may exceed their limits.
	QuotaTolerance quota.Tolerance
}

// Environment holds a node's dependencies on its process.
type Environment struct {
	Logger     *logrus.Logger
	Registerer prometheus.Registerer
	// WrapStore, if set, wraps the voter's on-disk log.
	WrapStore func(voter.Store) voter.Store
}

// Timeouts, intervals and bounds of a node's background tasks.
const (
	// missingHeartbeats is the number of intervals without a heartbeat after which a server
	// counts as missing.
	missingHeartbeats = 4
	// forgetAfter is how long a silent server is kept.
	forgetAfter = 2 * time.Minute
	// shareInterval is how often changed servers are sent to the other nodes, and
	// heartbeatShareInterval how often plain heartbeats are.
	shareInterval          = 100 * time.Millisecond
	heartbeatShareInterval = time.Second
	// joinInterval is how often a node that is not a member requests membership.
	joinInterval = 200 * time.Millisecond
	// leaderlessTimeout is how long a voter without a leader waits before it asks the other
	// nodes whether it is still a member.
	leaderlessTimeout = 1500 * time.Millisecond
	// formationInterval is how often the leader checks the membership.
	formationInterval = 100 * time.Millisecond
	replaceAfter      = 1200 * time.Millisecond
	learnerTimeout    = 30 * time.Second
	candidateLifetime = 1500 * time.Millisecond
	changeTimeout     = 1500 * time.Millisecond
	// formationTimeout is how long the first acknowledgement waits for a group that does not
	// reach its size.
	formationTimeout = 8 * time.Second
	// operationTimeout bounds one call of an operator or server: callers move to the next node
	// after one second.
	operationTimeout = 900 * time.Millisecond
	leaderPoll       = 20 * time.Millisecond
	// reopenDelay is how long a node waits before it reopens a failed folder.
	reopenDelay  = 300 * time.Millisecond
	closeTimeout = 1500 * time.Millisecond
	// heartbeat and electionTimeout of the consensus: the latency between nodes is one or two
	// milliseconds, and starting routers wait for a leader.
	heartbeat       = 80 * time.Millisecond
	electionTimeout = 280 * time.Millisecond
	// tableWriteInterval is how often a changed table of servers is written to disk.
	tableWriteInterval = 500 * time.Millisecond
	// votersPerLoss is the number of voters per tolerated loss. With one more voter, a quorum
	// survives the losses.
	votersPerLoss = 2
)

// ErrUnavailable reports that the node can't confirm the answer, or that the requested change
// may or may not be made. The caller retries at any node.
var ErrUnavailable = errors.New("the control group does not answer")

// refusedError is an ErrUnavailable of a node that does answer; its text is only the reason.
type refusedError struct{ detail string }

// Error implements error.
func (e *refusedError) Error() string { return e.detail }

// Is reports that it is an ErrUnavailable.
func (e *refusedError) Is(target error) bool { return target == ErrUnavailable }

func (c Config) groupSize() int { return votersPerLoss*c.Losses + 1 }
