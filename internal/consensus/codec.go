package consensus

import (
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	martenstagev1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// EncodeMessage returns the protobuf encoding of a message.
func EncodeMessage(message Message) []byte {
	return marshal(&martenstagev1.ConsensusMessage{
		Type: uint32(message.Type), From: message.From, To: message.To, Term: message.Term,
		FromAddress: message.FromAddress, LogIndex: message.LogIndex, LogTerm: message.LogTerm,
		Entries: lo.Map(message.Entries, func(entry Entry, _ int) *martenstagev1.ConsensusEntry { return entryToProto(entry) }),
		Commit:  message.Commit, Round: message.Round, Reject: message.Reject,
		HintIndex: message.HintIndex, HintTerm: message.HintTerm, Transfer: message.Transfer,
		Snapshot: snapshotToProto(message.Snapshot),
	})
}

// DecodeMessage reverses EncodeMessage. It fails on invalid encodings and on
// unknown message types.
func DecodeMessage(data []byte) (Message, error) {
	var decoded martenstagev1.ConsensusMessage
	if err := proto.Unmarshal(data, &decoded); err != nil {
		return Message{}, errors.Wrap(err, "decoding a consensus message")
	}
	kind := MessageType(decoded.GetType())
	if uint32(kind) != decoded.GetType() || kind < MessagePreVote || kind > MessageTimeoutNow {
		return Message{}, errors.Newf("decoding a consensus message: unknown type %d", decoded.GetType())
	}
	message := Message{
		Type: kind, From: decoded.GetFrom(), To: decoded.GetTo(), Term: decoded.GetTerm(),
		FromAddress: decoded.GetFromAddress(), LogIndex: decoded.GetLogIndex(), LogTerm: decoded.GetLogTerm(),
		Commit: decoded.GetCommit(), Round: decoded.GetRound(), Reject: decoded.GetReject(),
		HintIndex: decoded.GetHintIndex(), HintTerm: decoded.GetHintTerm(), Transfer: decoded.GetTransfer(),
		Snapshot: snapshotFromProto(decoded.GetSnapshot()),
	}
	for _, entry := range decoded.GetEntries() {
		converted, err := entryFromProto(entry)
		if err != nil {
			return Message{}, err
		}
		message.Entries = append(message.Entries, converted)
	}
	return message, nil
}

// EncodeEntry returns the protobuf encoding of an entry.
func EncodeEntry(entry Entry) []byte { return marshal(entryToProto(entry)) }

// DecodeEntry reverses EncodeEntry.
func DecodeEntry(data []byte) (Entry, error) {
	var decoded martenstagev1.ConsensusEntry
	if err := proto.Unmarshal(data, &decoded); err != nil {
		return Entry{}, errors.Wrap(err, "decoding a log entry")
	}
	return entryFromProto(&decoded)
}

// EncodeHardState returns the protobuf encoding of a hard state.
func EncodeHardState(state HardState) []byte {
	return marshal(&martenstagev1.ConsensusHardState{Term: state.Term, Vote: state.Vote})
}

// DecodeHardState reverses EncodeHardState.
func DecodeHardState(data []byte) (HardState, error) {
	var decoded martenstagev1.ConsensusHardState
	if err := proto.Unmarshal(data, &decoded); err != nil {
		return HardState{}, errors.Wrap(err, "decoding a hard state")
	}
	return HardState{Term: decoded.GetTerm(), Vote: decoded.GetVote()}, nil
}

// EncodeMembership returns the protobuf encoding of a membership.
func EncodeMembership(membership Membership) []byte { return marshal(membershipToProto(membership)) }

// DecodeMembership reverses EncodeMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var decoded martenstagev1.ConsensusMembership
	if err := proto.Unmarshal(data, &decoded); err != nil {
		return Membership{}, errors.Wrap(err, "decoding a membership")
	}
	return membershipFromProto(&decoded), nil
}

// EncodeSnapshot returns the protobuf encoding of a snapshot.
func EncodeSnapshot(snapshot Snapshot) []byte { return marshal(snapshotToProto(&snapshot)) }

// DecodeSnapshot reverses EncodeSnapshot.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	var decoded martenstagev1.ConsensusSnapshot
	if err := proto.Unmarshal(data, &decoded); err != nil {
		return nil, errors.Wrap(err, "decoding a snapshot")
	}
	return snapshotFromProto(&decoded), nil
}

// marshal encodes deterministically, so that equal memberships have equal encodings.
func marshal(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		// Only invalid UTF-8 in an address causes this, and addresses are
		// validated on input.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding %T", message))
	}
	return data
}

func entryToProto(entry Entry) *martenstagev1.ConsensusEntry {
	return &martenstagev1.ConsensusEntry{Index: entry.Index, Term: entry.Term, Kind: uint32(entry.Kind), Data: entry.Data}
}

func entryFromProto(entry *martenstagev1.ConsensusEntry) (Entry, error) {
	if entry.GetKind() > uint32(EntryMembership) {
		return Entry{}, errors.Newf("decoding log entry %d: unknown kind %d", entry.GetIndex(), entry.GetKind())
	}
	return Entry{Index: entry.GetIndex(), Term: entry.GetTerm(), Kind: EntryKind(entry.GetKind()), Data: entry.GetData()}, nil
}

func membershipToProto(membership Membership) *martenstagev1.ConsensusMembership {
	return &martenstagev1.ConsensusMembership{
		Members: lo.Map(membership.Members, func(member Member, _ int) *martenstagev1.ConsensusMember {
			return &martenstagev1.ConsensusMember{Id: member.ID, Address: member.Address, Learner: member.Learner}
		}),
		Removed: membership.Removed,
	}
}

func membershipFromProto(membership *martenstagev1.ConsensusMembership) Membership {
	members := lo.Map(membership.GetMembers(), func(member *martenstagev1.ConsensusMember, _ int) Member {
		return Member{ID: member.GetId(), Address: member.GetAddress(), Learner: member.GetLearner()}
	})
	ordered := NewMembership(members)
	ordered.Removed = membership.GetRemoved()
	return ordered
}

func snapshotToProto(snapshot *Snapshot) *martenstagev1.ConsensusSnapshot {
	if snapshot == nil {
		return nil
	}
	return &martenstagev1.ConsensusSnapshot{
		Index: snapshot.Index, Term: snapshot.Term,
		Membership: membershipToProto(snapshot.Membership), Data: snapshot.Data,
	}
}

func snapshotFromProto(snapshot *martenstagev1.ConsensusSnapshot) *Snapshot {
	if snapshot == nil {
		return nil
	}
	return &Snapshot{
		Index: snapshot.GetIndex(), Term: snapshot.GetTerm(),
		Membership: membershipFromProto(snapshot.GetMembership()), Data: snapshot.GetData(),
	}
}
