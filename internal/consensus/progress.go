package consensus

import "time"

// progressState is how the leader replicates to a follower.
type progressState uint8

const (
	// probing sends one append at a time until the logs are known to match.
	probing progressState = iota
	// replicating sends ahead of acknowledgements, up to MaxInflight messages.
	replicating
	// sendingSnapshot waits for the follower to install a snapshot.
	sendingSnapshot
)

// progress is what the leader knows of another member.
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
	// probeSent says that an append is out while probing.
	probeSent bool
	// snapshotIndex and snapshotSent belong to the snapshot that is on its way.
	snapshotIndex uint64
	snapshotSent  time.Time
	// active is when the member last answered in this term.
	active time.Time
	// round is the highest heartbeat round that it answered.
	round uint64
}

func (p *progress) probe(next uint64) {
	p.state, p.next = probing, max(next, p.match+1)
	p.inflight, p.probeSent = nil, false
}

// acknowledged takes in a synced index and reports whether it is news.
func (p *progress) acknowledged(index uint64) bool {
	news := index > p.match
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
		p.probe(p.match + 1)
	}
	return news
}

// blocked reports whether nothing more may be sent for now.
func (p *progress) blocked(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

func (p *progress) sent(lastIndex uint64, entries int) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	if entries > 0 {
		p.next = lastIndex + 1
		p.inflight = append(p.inflight, lastIndex)
	}
}
