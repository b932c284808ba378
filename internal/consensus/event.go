package consensus

// Event is what happens to a voter; one of the types below.
type Event interface{ isEvent() }

type (
	// Wake says that the time of Output.Wake has come.
	Wake struct{}

	// Receive carries a message of another voter.
	Receive struct{ Message Message }

	// Propose asks the leader to append proposals, in order. Each is answered
	// by one ProposalResult.
	Propose struct{ Proposals []Proposal }

	// ConfirmRead asks the leader for an index that covers every commit made
	// before, confirmed by a quorum. It is answered by one ReadResult.
	ConfirmRead struct{ Token uint64 }

	// ChangeMembership asks the leader for a change of one voter. It is answered
	// by one ProposalResult.
	ChangeMembership struct {
		Token  uint64
		Change Change
	}

	// TransferLeadership asks the leader to hand over to a voter; 0 chooses the
	// one with the longest log. A transfer that has not happened after an
	// election timeout is given up.
	TransferLeadership struct{ To uint64 }

	// Persisted says that every Persist up to Sequence is synced.
	Persisted struct{ Sequence uint64 }

	// SnapshotTaken hands over the state machine's data after Index was applied.
	// The log before the previous snapshot is then dropped.
	SnapshotTaken struct {
		Index uint64
		Data  []byte
	}

	// DiskFailed says that a write or sync failed, so that nobody knows what is
	// on the disk. The voter takes no further part until it is restarted.
	DiskFailed struct{}
)

// Proposal is one entry to append. Token is the caller's name for it.
type Proposal struct {
	Token uint64
	Data  []byte
}

func (Wake) isEvent()               {}
func (Receive) isEvent()            {}
func (Propose) isEvent()            {}
func (ConfirmRead) isEvent()        {}
func (ChangeMembership) isEvent()   {}
func (TransferLeadership) isEvent() {}
func (Persisted) isEvent()          {}
func (SnapshotTaken) isEvent()      {}
func (DiskFailed) isEvent()         {}
