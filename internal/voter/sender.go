package voter

import (
	"net/netip"
	"sync"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/ring"
)

// addressTable maps member ids to addresses: the one that a member last reported itself, else the
// one in the membership, which may be outdated if the member has moved.
type addressTable struct {
	mutex          sync.Mutex
	fromMembership map[uint64]string
	reported       map[uint64]string
}

func newAddressTable() *addressTable {
	return &addressTable{fromMembership: map[uint64]string{}, reported: map[uint64]string{}}
}

func (b *addressTable) lookup(id uint64) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if address, ok := b.reported[id]; ok {
		return address
	}
	return b.fromMembership[id]
}

// recordReported records the address that a voter reported for itself. It returns the previous address
// if a member has moved, else an empty string.
func (b *addressTable) recordReported(id uint64, address string) (former string) {
	if !isDialable(address) {
		return ""
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	inMembership, isMember := b.fromMembership[id]
	before, known := b.reported[id]
	if !isMember && !known && len(b.reported) >= maxPeers {
		return ""
	}
	b.reported[id] = address
	if !known {
		before = inMembership
	}
	if !isMember || before == address {
		return ""
	}
	return before
}

// isDialable reports whether messages can be sent to an address. A voter that listens on all interfaces
// reports an unspecified address, which can't be used.
func isDialable(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && !parsed.Addr().IsUnspecified()
}

func (b *addressTable) setMembers(members []consensus.MemberStatus) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	clear(b.fromMembership)
	for _, member := range members {
		b.fromMembership[member.ID] = member.Address
	}
}

// senders runs one sending goroutine for each other member.
type senders struct {
	voter   *Voter
	mutex   sync.Mutex
	peers   map[uint64]*ring.Ring[[]byte]
	running sync.WaitGroup
	stop    chan struct{}
}

func newSenders(voter *Voter) *senders {
	return &senders{voter: voter, peers: map[uint64]*ring.Ring[[]byte]{}, stop: make(chan struct{})}
}

// enqueue queues messages, dropping the oldest ones of a member whose ring is full.
func (s *senders) enqueue(messages []consensus.Message) {
	for _, message := range messages {
		message.FromAddress = s.voter.config.Address
		queue := s.queue(message.To)
		if queue == nil {
			continue
		}
		if dropped := queue.PushDropOldest(consensus.EncodeMessage(message)); dropped > 0 {
			s.voter.metrics.dropped.WithLabelValues("out").Add(float64(dropped))
		}
	}
}

func (s *senders) queue(id uint64) *ring.Ring[[]byte] {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if queue, ok := s.peers[id]; ok {
		return queue
	}
	if len(s.peers) >= maxPeers {
		return nil
	}
	queue := ring.New[[]byte](peerRingCapacity)
	s.peers[id] = queue
	s.running.Add(1)
	go s.run(id, queue)
	return queue
}

func (s *senders) run(id uint64, queue *ring.Ring[[]byte]) {
	defer s.running.Done()
	for {
		select {
		case <-s.stop:
			return
		case message := <-queue.Items():
			batch := append([][]byte{message}, drain(queue, peerRingCapacity)...)
			if address := s.voter.addresses.lookup(id); address != "" {
				s.voter.transport.Send(id, address, batch)
			}
		}
	}
}

func (s *senders) close() {
	close(s.stop)
	s.running.Wait()
}

// drain removes and returns the queued items of a ring, up to a limit.
func drain[T any](queue *ring.Ring[T], limit int) []T {
	var items []T
	for len(items) < limit {
		select {
		case item := <-queue.Items():
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}
