package consensus

// MessageType tells what a message asks or answers.
type MessageType uint8

// Message types. Requests and their responses follow each other.
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
	// MessageTimeoutNow asks the receiver to start an election at once (§3.10).
	MessageTimeoutNow
)

// Message is what voters send each other. Messages may be lost, repeated and
// reordered. Fields that a type does not name are zero.
type Message struct {
	Type MessageType
	From uint64
	To   uint64
	// Term of the sender; for pre-votes, the term that the sender would
	// campaign in.
	Term uint64
	// FromAddress is where the sender can be reached. It is filled in by the
	// transport's user, so that a new learner can answer before it holds the
	// membership.
	FromAddress string

	// LogIndex and LogTerm are, for votes, the sender's last entry; for appends,
	// the entry that precedes Entries. In an append response LogIndex is the
	// highest index known to match, or, when Reject is set, the preceding index
	// that did not.
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	// Commit is the leader's commit index, in a heartbeat no higher than what
	// the follower is known to hold.
	Commit uint64
	// Round numbers heartbeats, so that a response confirms reads (§6.4).
	Round uint64
	// Reject says that a vote is not granted or that an append did not match.
	Reject bool
	// HintIndex and HintTerm are the last entry of the rejecting follower that
	// may match the leader's log, judged by its term.
	HintIndex uint64
	HintTerm  uint64
	// Transfer marks a vote request of a leadership transfer, which voters
	// answer even while they hear from a leader (§4.2.3).
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
