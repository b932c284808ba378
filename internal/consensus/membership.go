package consensus

import "slices"

// Member is one voter or learner.
type Member struct {
	ID      uint64
	Address string
	// Learner is set for a member that receives the log but neither votes nor
	// counts towards a quorum (§4.2.1).
	Learner bool
}

// Membership is the set of voters and learners, ordered by id.
type Membership struct {
	Members []Member
	// Removed are the ids of former members. They can't be reused: a machine that
	// lost its disk has lost its votes.
	Removed []uint64
}

// NewMembership returns the membership of the initial voters of a group.
func NewMembership(voters []Member) Membership {
	members := slices.Clone(voters)
	slices.SortFunc(members, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return Membership{Members: members}
}

func compareIDs(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Find returns the member with an id.
func (m Membership) Find(id uint64) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id uint64) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// Voters returns how many members vote.
func (m Membership) Voters() int {
	return m.countVoters(func(uint64) bool { return true })
}

// Quorum returns the size of a majority of the voters.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

func (m Membership) countVoters(counted func(id uint64) bool) int {
	count := 0
	for _, member := range m.Members {
		if !member.Learner && counted(member.ID) {
			count++
		}
	}
	return count
}

func (m Membership) hasQuorum(counted func(id uint64) bool) bool {
	return m.Voters() > 0 && m.countVoters(counted) >= m.Quorum()
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Change kinds.
const (
	AddLearner ChangeKind = iota + 1
	// PromoteLearner makes a learner a voter once its synced log covers the
	// commit index.
	PromoteLearner
	RemoveMember
	// UpdateMemberAddress changes a member's address; quorums stay the same.
	UpdateMemberAddress
)

// Change alters one member.
type Change struct {
	Kind    ChangeKind
	ID      uint64
	Address string
}

// with returns the membership after a change, or the reason for refusing it.
func (m Membership) with(change Change) (Membership, Refusal) {
	next := Membership{Members: slices.Clone(m.Members), Removed: slices.Clone(m.Removed)}
	position := slices.IndexFunc(m.Members, func(member Member) bool { return member.ID == change.ID })
	switch change.Kind {
	case AddLearner:
		if position >= 0 || change.ID == 0 || slices.Contains(m.Removed, change.ID) {
			return m, RefusedIDInUse
		}
		learner := Member{ID: change.ID, Address: change.Address, Learner: true}
		return Membership{Members: NewMembership(append(next.Members, learner)).Members, Removed: next.Removed}, Accepted
	case PromoteLearner:
		if position < 0 || !m.Members[position].Learner {
			return m, RefusedUnknownMember
		}
		next.Members[position].Learner = false
		return next, Accepted
	case RemoveMember:
		if position < 0 {
			return m, RefusedUnknownMember
		}
		if !m.Members[position].Learner && m.Voters() == 1 {
			return m, RefusedLastVoter
		}
		next.Members = slices.Delete(next.Members, position, position+1)
		next.Removed = append(next.Removed, change.ID)
		return next, Accepted
	case UpdateMemberAddress:
		if position < 0 {
			return m, RefusedUnknownMember
		}
		next.Members[position].Address = change.Address
		return next, Accepted
	}
	return m, RefusedUnknownMember
}

// indexedMembership is a membership with the index of its entry.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// membershipLog holds the membership of the snapshot and of each later
// membership entry. The last one is in effect, committed or not (§4.1).
type membershipLog struct {
	versions []indexedMembership
}

func (l *membershipLog) current() Membership {
	if len(l.versions) == 0 {
		return Membership{}
	}
	return l.versions[len(l.versions)-1].membership
}

func (l *membershipLog) currentIndex() uint64 {
	if len(l.versions) == 0 {
		return 0
	}
	return l.versions[len(l.versions)-1].index
}

// at returns the membership that was in effect at an index.
func (l *membershipLog) at(index uint64) Membership {
	for i := len(l.versions) - 1; i >= 0; i-- {
		if l.versions[i].index <= index {
			return l.versions[i].membership
		}
	}
	return Membership{}
}

func (l *membershipLog) append(index uint64, membership Membership) {
	l.versions = append(l.versions, indexedMembership{index: index, membership: membership})
}

// truncate removes the memberships from an index on, whose entries were
// overwritten (§4.1).
func (l *membershipLog) truncate(from uint64) {
	for len(l.versions) > 0 && l.currentIndex() >= from {
		l.versions = l.versions[:len(l.versions)-1]
	}
}

// compact removes memberships that were superseded at or before an index.
func (l *membershipLog) compact(to uint64) {
	for len(l.versions) > 1 && l.versions[1].index <= to {
		l.versions = l.versions[1:]
	}
}

func (l *membershipLog) reset(index uint64, membership Membership) {
	l.versions = []indexedMembership{{index: index, membership: membership}}
}
