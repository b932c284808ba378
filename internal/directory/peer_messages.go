package directory

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/registry"
)

// Paths of calls between nodes and from routers to nodes. They are internal and need not be
// stable across releases within one deployment.
const (
	pathDeliver           = "/peer/deliver"
	pathJoin              = "/peer/join"
	pathShare             = "/peer/share"
	pathRegistry          = "/peer/registry"
	pathPut               = "/peer/put"
	pathRead              = "/peer/read"
	pathDepart            = "/peer/depart"
	pathKnownIncarnations = "/peer/heard"
	pathEvacuate          = "/peer/evacuate"
	// pathEvacuations is for operators.
	pathEvacuations = "/operator/evacuations"
	// pathQuarantineLeader carries orders about requests that crash servers to the leader;
	// pathQuarantineList is for operators.
	pathQuarantineLeader = "/peer/quarantine"
	pathQuarantineList   = "/operator/quarantine"
	// PathTable is where routers get the complete table of servers.
	PathTable = "/router/table"
	// PathQuarantine is where routers and operators send such orders.
	PathQuarantine = "/router/quarantine"
	// pathConfirm asks the leader for the confirmed log index and document version.
	pathConfirm = "/peer/confirm"
	// pathQuotaLeader carries the usage reported by routers to the leader, pathMetered the
	// metered tenants from it; pathTenants is for operators.
	pathQuotaLeader   = "/peer/quota"
	pathMetered       = "/peer/metered"
	pathTenantsLeader = "/peer/tenants"
	pathTenants       = "/operator/tenants"
	// pathRolloutStart, pathRolloutRead and pathRolloutReport carry orders, reads and router
	// observations to the leader; pathRolloutList is for operators.
	pathRolloutStart  = "/peer/rollout/start"
	pathRolloutRead   = "/peer/rollout/read"
	pathRolloutReport = "/peer/rollout/report"
	pathRolloutList   = "/operator/rollouts"
	// PathRollouts is where routers report their observations of rollouts.
	PathRollouts = "/router/rollouts"
	// PathQuota is where routers report the usage of tenants and request tokens.
	PathQuota = "/router/quota"
	// PathFollow is where routers poll for updates.
	PathFollow = "/router/follow"
	// PathSuspect is where routers report other routers that failed.
	PathSuspect = "/router/doubt"
)

// joinRequest requests membership.
type joinRequest struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	// Seeds are set by a node that does not know its group.
	Seeds []string `json:"seeds,omitempty"`
}

// joinReply is the group's view of the requesting node.
type joinReply struct {
	// Removed reports that the id can no longer be a member.
	Removed bool `json:"removed"`
	// Group are the peer addresses of the members.
	Group []string `json:"group"`
}

// shareMessage carries servers and routers to another node.
type shareMessage struct {
	Instances []registry.Instance `json:"instances,omitempty"`
	// Heartbeats are from servers that have not changed.
	Heartbeats []sharedHeartbeat `json:"beats,omitempty"`
	// Routers are those that called recently.
	Routers []sharedRouter `json:"routers,omitempty"`
	// SuspectReports are the recent reports by routers of others that failed.
	SuspectReports []SuspectReport `json:"doubts,omitempty"`
	// Settled reports that the sender's table is settled, that is, not just being rebuilt.
	Settled bool `json:"settled,omitempty"`
}

// SuspectReport is a router's report of other routers that failed with a slice.
type SuspectReport struct {
	// By is the reporting router, Routers the ones that failed.
	By      string   `json:"by"`
	Routers []string `json:"routers"`
}

// tablePosition is how far a node has copied the table of another: the other's source and the
// revision of its table.
type tablePosition struct {
	Source   string `json:"source"`
	Revision uint64 `json:"revision"`
}

// tableReply holds the servers that a node knows beyond a position.
type tableReply struct {
	shareMessage
	Position tablePosition `json:"position"`
}

// sharedHeartbeat is a heartbeat without changes, of a server that the receiver knows.
type sharedHeartbeat struct {
	ID       string `json:"i"`
	Sequence uint64 `json:"s"`
}

// putMessage carries a document to the leader.
type putMessage struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// departMessage carries a departure to the leader.
type departMessage struct {
	// ID is the id of the incarnation, or the server's name if no incarnation is named.
	ID string `json:"id"`
	// Starts are further ids that depart.
	Starts []string `json:"starts,omitempty"`
	// Name is that of a server all of whose incarnations known so far depart; Known reports that
	// the node that received the departure knows one.
	Name  string `json:"name,omitempty"`
	Known bool   `json:"known,omitempty"`
	// Start is the named incarnation, or nil: earlier incarnations of its server depart with it.
	Start *departedIncarnation `json:"start,omitempty"`
}

// departedIncarnation is an incarnation of a server, that is, one run of its process, that
// departed. It is identified by the server's name and its start time, in ms since 1970 by the
// server's clock.
type departedIncarnation struct {
	Name      string `json:"name"`
	StartTime int64  `json:"born"`
}

// readReply carries the document in effect from the leader.
type readReply struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// Router is a router as it announces itself.
type Router struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
	// Address is where other routers reach it; empty if they can't.
	Address string `json:"address,omitempty"`
	// Identifies reports that the router names itself in its replies to other routers.
	Identifies bool `json:"identifies,omitempty"`
	// Stopping reports that other routers must send it nothing new.
	Stopping bool `json:"stopping,omitempty"`
}

// ListedRouter is a router as listed to others.
type ListedRouter struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Address string `json:"address"`
	// Identifies reports that the router names itself in its replies to other routers.
	Identifies bool `json:"identifies,omitempty"`
}

// sharedRouter is a router with the age of its last call and the data from it.
type sharedRouter struct {
	Router
	Age time.Duration `json:"age"`
	// Calls is the rate of calls to servers of shards that the router makes, per second.
	Calls float64 `json:"calls,omitempty"`
}

// FollowRequest describes the state that a router holds.
type FollowRequest struct {
	Router Router `json:"router"`
	// Calls is the rate of calls to servers of shards that the router makes, per second.
	Calls float64 `json:"calls,omitempty"`
	// Version of the document that the router holds; 0 for none.
	Version uint64 `json:"version"`
	// Source, Revision and Departures are from the last reply, as are the digests of the two
	// router lists below.
	Source     string `json:"source"`
	Revision   uint64 `json:"revision"`
	Departures int    `json:"departures"`
	// SeparateTable says that the router gets the complete table by a call of its own.
	// TableSource is then the source of Revision.
	SeparateTable bool   `json:"separate_table,omitempty"`
	TableSource   string `json:"table_source,omitempty"`
	// DepartedNames is the highest index of a departure by name.
	DepartedNames uint64 `json:"departed_names,omitempty"`
	RoutersDigest uint64 `json:"routers"`
	AbsentDigest  uint64 `json:"absent"`
	// Seeds are set by a router that does not know its group.
	Seeds []string `json:"seeds,omitempty"`
	// Probe only asks whether the node can be followed: the reply names its source.
	Probe bool `json:"probe,omitempty"`
	// EvacuationRevision is the highest revision of the evacuated zones that the router holds.
	EvacuationRevision uint64 `json:"evacuations,omitempty"`
	// QuarantineRevision is the highest revision of the requests that crash servers that the router
	// holds.
	QuarantineRevision uint64 `json:"quarantine,omitempty"`
	// MeteredDigest is the digest of the metered tenants that the router holds.
	MeteredDigest uint64 `json:"metered,omitempty"`
	// RolloutRevision is the highest revision of the rollouts that the router holds.
	RolloutRevision uint64 `json:"rollouts,omitempty"`
	// Load is what the router observes of the load. A router that does not take part, such as one
	// of the previous release, sends none and gets no view. LoadTerm and LoadRevision are those
	// of the view that it holds.
	Load         *loadview.Report `json:"load,omitempty"`
	LoadTerm     uint64           `json:"load_term,omitempty"`
	LoadRevision uint64           `json:"load_revision,omitempty"`
	// Wait is how long the node may hold the call while there is no update.
	Wait time.Duration `json:"wait"`
}

// FollowReply holds the updates that a router lacks.
type FollowReply struct {
	Source string `json:"source"`
	// Group is the group of the node; 0 if not yet known.
	Group addressee.Group `json:"group,omitempty"`
	// Version and Document are set if the router's version is lower.
	Version  uint64         `json:"version"`
	Document PackedDocument `json:"document,omitempty"`
	// Revision of the node's table; Instances are those that changed since the router's
	// revision, or all if the router last followed another source.
	Revision  uint64              `json:"revision"`
	Instances []registry.Instance `json:"instances,omitempty"`
	// Complete reports that Instances are all that the node knows.
	Complete bool `json:"whole,omitempty"`
	// TableOmitted reports that the router holds no table of this node and gets it by a call of
	// its own; Instances and Revision are not set.
	TableOmitted bool `json:"table_omitted,omitempty"`
	// Settled reports that a server that is missing from a complete table no longer exists.
	Settled    bool     `json:"settled"`
	Departed   []string `json:"departed,omitempty"`
	Departures int      `json:"departures"`
	// DepartedNames are departures that name no incarnation.
	DepartedNames []registry.NameDeparture `json:"departed_names,omitempty"`
	// Nodes are peer addresses of the group, to follow when this node fails.
	Nodes []string `json:"nodes"`
	// RouterCount is the number of routers that share the servers.
	RouterCount int `json:"router_count"`
	// Calls is the rate of calls to servers of shards that all routers make, per second, in
	// steps that seldom change.
	Calls float64 `json:"calls,omitempty"`
	// Routers are those that others can reach, ordered by name, and RoutersDigest is a digest
	// of the list; the list is omitted if the router holds it.
	Routers       []ListedRouter `json:"routers,omitempty"`
	RoutersDigest uint64         `json:"routers_digest"`
	// Absent names those of Routers that must not be queried now: they are stopping, silent or
	// failed. AbsentDigest is its digest. It is a list of its own because it changes often when
	// many routers fail.
	Absent       []string `json:"absent,omitempty"`
	AbsentDigest uint64   `json:"absent_digest"`
	// EvacuationRevision is the revision of the zones whose servers get no requests; Evacuated names
	// them if the router holds a lower revision.
	EvacuationRevision uint64   `json:"evacuations,omitempty"`
	Evacuated          []string `json:"evacuated,omitempty"`
	// QuarantineRevision is the revision of the requests that crash servers; QuarantineEntries are all
	// of them if the router holds a lower revision.
	QuarantineRevision uint64             `json:"quarantine,omitempty"`
	QuarantineEntries  []quarantine.Entry `json:"quarantine_entries,omitempty"`
	// Fresh is the time, relative to the arrival of the call, at which the node last held every
	// acknowledged document; it is negative if that was earlier. The version is at least that
	// of the document then. Nil if the node does not report it.
	Fresh *time.Duration `json:"fresh,omitempty"`
	// RolloutRevision is the revision of the rollouts; Rollouts are all of them, by service, if
	// the router holds a lower revision.
	RolloutRevision uint64                 `json:"rollout_revision,omitempty"`
	Rollouts        map[string]RolloutRule `json:"rollouts,omitempty"`
	// Metered are the tenants whose requests each need a token, sent if MeteredDigest differs
	// from the router's.
	Metered       []string `json:"metered,omitempty"`
	MeteredDigest uint64   `json:"metered_digest,omitempty"`
	// Load is the view of the load, sent if its term and revision differ from the router's.
	// LoadAt is the time, relative to the arrival of the call, as of which its figures were
	// valid; it is negative if that was earlier.
	Load   *loadview.View `json:"load,omitempty"`
	LoadAt *time.Duration `json:"load_at,omitempty"`
}

// maxFramedMessage bounds one consensus message in a call.
const maxFramedMessage = 160 << 20

// frame concatenates consensus messages, each with a length prefix.
func frame(messages [][]byte) []byte {
	size := 0
	for _, message := range messages {
		size += len(message) + binary.MaxVarintLen64
	}
	framed := make([]byte, 0, size)
	for _, message := range messages {
		framed = binary.AppendUvarint(framed, uint64(len(message)))
		framed = append(framed, message...)
	}
	return framed
}

// unframe reverses frame.
func unframe(framed []byte) ([][]byte, error) {
	var messages [][]byte
	for len(framed) > 0 {
		length, read := binary.Uvarint(framed)
		if read <= 0 || length > maxFramedMessage || uint64(len(framed)-read) < length {
			return nil, errors.New("the messages are cut short")
		}
		framed = framed[read:]
		messages = append(messages, framed[:length])
		framed = framed[length:]
	}
	return messages, nil
}
