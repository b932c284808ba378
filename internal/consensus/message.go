package consensus

// MessageType is the kind of a request or response.
type MessageType uint8

// Message types. Each response type follows its request type.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot
	// MessageTimeoutNow makes the receiver start an election at once (§3.10).
	MessageTimeoutNow
)

// Message is exchanged between members. Messages may be lost, duplicated and
// reordered. Fields that a type does not use are zero.
type Message struct {
	Type MessageType
	From uint64
	To   uint64
	// Term of the sender; for pre-votes, the term that the sender would
	// campaign in.
	Term uint64
	// FromAddress is the sender's address. The caller fills it in, so that a new
	// learner can respond before it holds the membership.
	FromAddress string

	// LogIndex and LogTerm are, for votes, the sender's last entry; for appends,
	// the entry that precedes Entries. In an append response LogIndex is the
	// highest index known to match, or, when Reject is set, the preceding index
	// that did not.
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	// Commit is the leader's commit index; in a heartbeat, at most the follower's
	// match index.
	Commit uint64
	// Round numbers heartbeats, so that a response confirms reads (§6.4).
	Round uint64
	// Reject is set if a vote is not granted or an append did not match.
	Reject bool
	// HintIndex and HintTerm identify the last entry of the rejecting follower
	// that may match the leader's log, judged by its term.
	HintIndex uint64
	HintTerm  uint64
	// Transfer marks a vote request of a leadership transfer, which voters
	// answer even while they are in contact with a leader (§4.2.3).
	Transfer bool
	Snapshot *Snapshot
}

func (t MessageType) fromLeader() bool {
	return t == MessageAppend || t == MessageHeartbeat || t == MessageSnapshot || t == MessageTimeoutNow
}

func (t MessageType) isResponse() bool {
	switch t {
	case MessagePreVoteResponse, MessageVoteResponse, MessageAppendResponse, MessageHeartbeatResponse:
		return true
	}
	return false
}
