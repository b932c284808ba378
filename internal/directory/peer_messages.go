package directory

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/registry"
)

// Paths of the calls between nodes, and of routers to nodes. They are this
// project's own and need not be stable over versions of one deployment.
const (
	pathDeliver  = "/peer/deliver"
	pathJoin     = "/peer/join"
	pathShare    = "/peer/share"
	pathRegistry = "/peer/registry"
	pathPut      = "/peer/put"
	pathRead     = "/peer/read"
	pathDepart   = "/peer/depart"
	pathHeard    = "/peer/heard"
	pathEvacuate = "/peer/evacuate"
	// pathEvacuations is for operators.
	pathEvacuations = "/operator/evacuations"
	// pathQuarantineLeader carries orders about requests that end servers to the leader,
	// pathQuarantineList is for operators.
	pathQuarantineLeader = "/peer/quarantine"
	pathQuarantineList   = "/operator/quarantine"
	// PathQuarantine is where routers and operators give such orders.
	PathQuarantine = "/router/quarantine"
	// pathConfirm asks the leader which version is in force for certain.
	pathConfirm = "/peer/confirm"
	// pathQuotaLeader carries what routers spend to the leader, pathMetered from it which
	// tenants are metered; pathTenants is for operators.
	pathQuotaLeader   = "/peer/quota"
	pathMetered       = "/peer/metered"
	pathTenantsLeader = "/peer/tenants"
	pathTenants       = "/operator/tenants"
	// pathRolloutStart, pathRolloutRead and pathRolloutReport carry orders, reads and what
	// routers observed to the leader; pathRolloutList is for operators.
	pathRolloutStart  = "/peer/rollout/start"
	pathRolloutRead   = "/peer/rollout/read"
	pathRolloutReport = "/peer/rollout/report"
	pathRolloutList   = "/operator/rollouts"
	// PathRollouts is where routers tell what they observed of roll-outs.
	PathRollouts = "/router/rollouts"
	// PathQuota is where routers report what tenants spend and ask for tokens.
	PathQuota = "/router/quota"
	// PathFollow is what routers call for news.
	PathFollow = "/router/follow"
	// PathDoubt is where routers tell which others failed.
	PathDoubt = "/router/doubt"
)

// joinRequest asks to become a member.
type joinRequest struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	// Seeds are those of a node that does not know its group.
	Seeds []string `json:"seeds,omitempty"`
}

// joinReply says how the group sees the node that asked.
type joinReply struct {
	// Removed says that the id can't be a member any more.
	Removed bool `json:"removed"`
	// Group are the peer addresses of the members.
	Group []string `json:"group"`
}

// shareMessage tells another node of servers and routers.
type shareMessage struct {
	Instances []registry.Instance `json:"instances,omitempty"`
	// Beats are servers that only repeated themselves.
	Beats []beat `json:"beats,omitempty"`
	// Routers are those that called lately.
	Routers []sharedRouter `json:"routers,omitempty"`
	// Doubts are what routers told lately of others that failed.
	Doubts []Doubt `json:"doubts,omitempty"`
	// Settled says that the sender's table is not one that was just begun.
	Settled bool `json:"settled,omitempty"`
}

// Doubt is what a router tells of others that failed with a slice.
type Doubt struct {
	// By is the router that tells it, Routers the ones that failed.
	By      string   `json:"by"`
	Routers []string `json:"routers"`
}

// tablePosition is up to where a node has taken over the table of another one: the
// other's source and the revision of its table.
type tablePosition struct {
	Source   string `json:"source"`
	Revision uint64 `json:"revision"`
}

// tableReply is what a node knows of servers beyond a position.
type tableReply struct {
	shareMessage
	Position tablePosition `json:"position"`
}

// beat is a heartbeat without news, of a server that the receiver knows.
type beat struct {
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
	// ID is that of the start, or the server's name where the start was not named.
	ID string `json:"id"`
	// Starts are more ids that leave.
	Starts []string `json:"starts,omitempty"`
	// Name is that of a server of which every start leaves that was heard of before; Known says
	// that the node which took the departure has heard of one.
	Name  string `json:"name,omitempty"`
	Known bool   `json:"known,omitempty"`
	// Start is the start that is named, nil for none: earlier ones of its server leave with it.
	Start *departedStart `json:"start,omitempty"`
}

// departedStart is a start of a server that left, by the server's name and the time of start, ms since
// 1970 by the server's own clock.
type departedStart struct {
	Name string `json:"name"`
	Born int64  `json:"born"`
}

// readReply carries the document in force from the leader.
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
	// Identifies says that the router names itself in what it answers to others.
	Identifies bool `json:"identifies,omitempty"`
	// Stopping routers are not to be asked for anything new.
	Stopping bool `json:"stopping,omitempty"`
}

// ListedRouter is a router as others are told of it.
type ListedRouter struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Address string `json:"address"`
	// Identifies says that the router names itself in what it answers to others.
	Identifies bool `json:"identifies,omitempty"`
}

// sharedRouter is a router with the time since its last call, and what it told in it.
type sharedRouter struct {
	Router
	Age time.Duration `json:"age"`
	// Calls is how many calls to servers of shards the router makes a second.
	Calls float64 `json:"calls,omitempty"`
}

// FollowRequest is what a router knows.
type FollowRequest struct {
	Router Router `json:"router"`
	// Calls is how many calls to servers of shards the router makes a second.
	Calls float64 `json:"calls,omitempty"`
	// Version of the document that the router holds; 0 for none.
	Version uint64 `json:"version"`
	// Source, Revision and Departures are from the last reply, as are the digests
	// Routers and Absent.
	Source     string `json:"source"`
	Revision   uint64 `json:"revision"`
	Departures int    `json:"departures"`
	// DepartedNames is the highest index of a departure that names no start.
	DepartedNames uint64 `json:"departed_names,omitempty"`
	Routers       uint64 `json:"routers"`
	Absent        uint64 `json:"absent"`
	// Seeds are those of a router that does not know its group.
	Seeds []string `json:"seeds,omitempty"`
	// Probe asks only whether the node can be followed: the reply names its source.
	Probe bool `json:"probe,omitempty"`
	// Evacuations is the highest revision of the evacuated zones that the router holds.
	Evacuations uint64 `json:"evacuations,omitempty"`
	// Quarantine is the highest revision of the requests that end servers that the router
	// holds.
	Quarantine uint64 `json:"quarantine,omitempty"`
	// Metered is the digest of the tenants that the router knows to be metered.
	Metered uint64 `json:"metered,omitempty"`
	// Rollouts is the highest revision of the roll-outs that the router holds.
	Rollouts uint64 `json:"rollouts,omitempty"`
	// Wait is how long the node may hold the call while there is no news.
	Wait time.Duration `json:"wait"`
}

// FollowReply is what a router does not know yet.
type FollowReply struct {
	Source string `json:"source"`
	// Group is that of the node; 0 if it does not know it yet.
	Group addressee.Group `json:"group,omitempty"`
	// Version and Document are set when the router's version is lower.
	Version  uint64         `json:"version"`
	Document PackedDocument `json:"document,omitempty"`
	// Revision of the node's table; Instances are those that changed since, or
	// all if the router came from another source.
	Revision  uint64              `json:"revision"`
	Instances []registry.Instance `json:"instances,omitempty"`
	// Whole says that Instances are all that the node knows.
	Whole bool `json:"whole,omitempty"`
	// Settled says that a server that is not in a whole table is gone.
	Settled    bool     `json:"settled"`
	Departed   []string `json:"departed,omitempty"`
	Departures int      `json:"departures"`
	// DepartedNames are departures that name no start.
	DepartedNames []registry.NameDeparture `json:"departed_names,omitempty"`
	// Nodes are peer addresses of the group, to follow when this one is lost.
	Nodes []string `json:"nodes"`
	// RouterCount is how many routers share the servers.
	RouterCount int `json:"router_count"`
	// Calls is how many calls to servers of shards all routers make a second, in
	// steps that change seldom.
	Calls float64 `json:"calls,omitempty"`
	// Routers are those that others can reach, ordered by name, and RoutersDigest
	// tells one such list from another; the list is left out if the router has it.
	Routers       []ListedRouter `json:"routers,omitempty"`
	RoutersDigest uint64         `json:"routers_digest"`
	// Absent names those of them that are not to be asked now: they stop, are silent or
	// failed. AbsentDigest is to it as RoutersDigest is to Routers. That changes often
	// where many routers fail, so that it travels apart.
	Absent       []string `json:"absent,omitempty"`
	AbsentDigest uint64   `json:"absent_digest"`
	// Evacuations is the revision of the zones whose servers get no requests; Evacuated
	// names them if the router holds a lower one.
	Evacuations uint64   `json:"evacuations,omitempty"`
	Evacuated   []string `json:"evacuated,omitempty"`
	// Quarantine is the revision of the requests that end servers; QuarantineEntries are
	// all of them if the router holds a lower one.
	Quarantine        uint64             `json:"quarantine,omitempty"`
	QuarantineEntries []quarantine.Entry `json:"quarantine_entries,omitempty"`
	// Fresh is when, counted from the arrival of the call, the node held every document that
	// had been acknowledged; below 0 for before it. The version is at least that one. Nil is
	// of a node that does not tell.
	Fresh *time.Duration `json:"fresh,omitempty"`
	// RolloutRevision is that of the roll-outs; Rollouts are all of them, by service, if the
	// router holds a lower one.
	RolloutRevision uint64                 `json:"rollout_revision,omitempty"`
	Rollouts        map[string]RolloutTold `json:"rollouts,omitempty"`
	// Metered are the tenants whose requests each need a token, if MeteredDigest is another
	// one than the router's.
	Metered       []string `json:"metered,omitempty"`
	MeteredDigest uint64   `json:"metered_digest,omitempty"`
}

// maxFramedMessage bounds one consensus message in a call.
const maxFramedMessage = 160 << 20

// frame puts consensus messages behind each other, each with its length.
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
