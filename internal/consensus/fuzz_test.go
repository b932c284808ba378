package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fuzzDecoder checks that a decoder either fails or returns a value that
// round-trips through the encoder.
func fuzzDecoder[T any](f *testing.F, encode func(T) []byte, decode func([]byte) (T, error), seeds ...T) {
	for _, seed := range seeds {
		f.Add(encode(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := decode(data)
		if err != nil {
			return
		}
		decodedAgain, err := decode(encode(value))
		require.NoError(t, err)
		require.Equal(t, value, decodedAgain)
	})
}

var (
	seedMembership = Membership{Members: []Member{{ID: 1, Address: "127.0.0.1:7001"}, {ID: 4, Learner: true}}, Removed: []uint64{2}}
	seedSnapshot   = Snapshot{Index: 9, Term: 3, Membership: seedMembership, Data: []byte("state")}
	seedEntry      = Entry{Index: 8, Term: 2, Kind: EntryMembership, Data: EncodeMembership(seedMembership)}
)

func FuzzDecodeMessage(f *testing.F) {
	fuzzDecoder(f, EncodeMessage, DecodeMessage,
		Message{Type: MessageAppend, From: 1, To: 2, Term: 3, LogIndex: 7, LogTerm: 2, Commit: 6, Entries: []Entry{seedEntry}},
		Message{Type: MessageAppendResponse, From: 2, To: 1, Term: 3, Reject: true, LogIndex: 7, HintIndex: 4, HintTerm: 1},
		Message{Type: MessageSnapshot, From: 1, To: 4, Term: 3, FromAddress: "127.0.0.1:7001", Snapshot: &seedSnapshot},
	)
}

func FuzzDecodeEntry(f *testing.F) { fuzzDecoder(f, EncodeEntry, DecodeEntry, seedEntry) }

func FuzzDecodeMembership(f *testing.F) {
	fuzzDecoder(f, EncodeMembership, DecodeMembership, seedMembership)
}

func FuzzDecodeSnapshot(f *testing.F) {
	encode := func(snapshot *Snapshot) []byte { return EncodeSnapshot(*snapshot) }
	fuzzDecoder(f, encode, DecodeSnapshot, &seedSnapshot)
}

// FuzzReceive checks that no message makes a voter panic or commit an entry that
// it does not hold.
func FuzzReceive(f *testing.F) {
	f.Add(EncodeMessage(Message{Type: MessageAppend, From: 2, To: 1, Term: 2, LogIndex: 1, LogTerm: 1, Commit: 9,
		Entries: []Entry{{Index: 2, Term: 2}}}), EncodeMessage(Message{Type: MessageVote, From: 3, To: 1, Term: 5, LogIndex: 9, LogTerm: 4}))
	f.Add(EncodeMessage(Message{Type: MessageSnapshot, From: 2, To: 1, Term: 2, Snapshot: &seedSnapshot}),
		EncodeMessage(Message{Type: MessageTimeoutNow, From: 2, To: 1, Term: 2}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := newCluster(t)
		for _, data := range [][]byte{first, second} {
			message, err := DecodeMessage(data)
			if err != nil {
				return
			}
			node := c.nodes[1]
			output := node.core.Step(node.clock, Receive{Message: message})
			if snapshot := node.core.snapshot; snapshot == nil || snapshot.Index < output.State.Commit {
				require.LessOrEqual(t, output.State.Commit, node.core.log.lastIndex())
			}
		}
	})
}
