package consensus

// Event is an input of Core.Step: one of the types below.
type Event interface{ isEvent() }

type (
	// DeadlineReached reports that the deadline in the last Output has passed.
	DeadlineReached struct{}

	// Receive carries a message from another voter.
	Receive struct{ Message Message }

	// Propose requests that the leader append proposals, in order. Each gets one
	// ProposalResult.
	Propose struct{ Proposals []Proposal }

	// ConfirmRead requests an index that covers every earlier commit, confirmed
	// by a quorum. It gets one ReadResult.
	ConfirmRead struct{ Token uint64 }

	// ChangeMembership requests a change of one member. It gets one
	// ProposalResult.
	ChangeMembership struct {
		Token  uint64
		Change Change
	}

	// TransferLeadership requests a leadership transfer to a voter; 0 chooses the
	// one with the highest match index. The transfer is aborted if it takes
	// longer than an election timeout.
	TransferLeadership struct{ To uint64 }

	// Persisted reports that every Persist up to Sequence is synced.
	Persisted struct{ Sequence uint64 }

	// SnapshotTaken carries the state machine's data as of Index. The log up to
	// the previous snapshot is then compacted.
	SnapshotTaken struct {
		Index uint64
		Data  []byte
	}

	// DiskFailed reports that a write or sync failed, so that the disk content
	// is unknown. The voter stops participating until it is restarted.
	DiskFailed struct{}
)

// Proposal is one entry to append. Token identifies it in the ProposalResult.
type Proposal struct {
	Token uint64
	Data  []byte
}

func (DeadlineReached) isEvent()    {}
func (Receive) isEvent()            {}
func (Propose) isEvent()            {}
func (ConfirmRead) isEvent()        {}
func (ChangeMembership) isEvent()   {}
func (TransferLeadership) isEvent() {}
func (Persisted) isEvent()          {}
func (SnapshotTaken) isEvent()      {}
func (DiskFailed) isEvent()         {}
