package consensus

import "time"

// progressState is the replication mode of a follower.
type progressState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing progressState = iota
	// replicating pipelines up to MaxInflight unacknowledged appends.
	replicating
	// sendingSnapshot waits for the follower to install a snapshot.
	sendingSnapshot
)

// progress is the leader's replication state of another member.
type progress struct {
	id    uint64
	state progressState
	// match is the highest index that the follower is known to have synced.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// commitSent is the highest commit index sent in an append.
	commitSent uint64
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// probeSent is set while a probing append is in flight.
	probeSent bool
	// snapshotIndex and snapshotSentAt describe the snapshot in flight.
	snapshotIndex  uint64
	snapshotSentAt time.Time
	// lastActive is when the member last responded in this term.
	lastActive time.Time
	// round is the highest heartbeat round that the member responded to.
	round uint64
}

func (p *progress) becomeProbing(next uint64) {
	p.state, p.next = probing, max(next, p.match+1)
	p.inflight, p.probeSent = nil, false
}

// recordAcknowledgement handles an acknowledged index and reports whether match advanced.
func (p *progress) recordAcknowledgement(index uint64) bool {
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	switch {
	case p.state == probing && index == p.match:
		p.state, p.probeSent = replicating, false
		p.next = p.match + 1
	case p.state == sendingSnapshot && p.match >= p.snapshotIndex:
		p.becomeProbing(p.match + 1)
	}
	return advanced
}

// paused reports whether flow control forbids further appends for now.
func (p *progress) paused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

func (p *progress) recordSent(lastIndex uint64, entries int) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	if entries > 0 {
		p.next = lastIndex + 1
		p.inflight = append(p.inflight, lastIndex)
	}
}
