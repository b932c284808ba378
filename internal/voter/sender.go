package voter

import (
	"net/netip"
	"sync"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/ring"
)

// addressBook knows where members are reached: where they last said so themselves, else by the
// membership, which keeps the address that a member had when it was added.
type addressBook struct {
	mutex  sync.Mutex
	member map[uint64]string
	heard  map[uint64]string
}

func newAddressBook() *addressBook {
	return &addressBook{member: map[uint64]string{}, heard: map[uint64]string{}}
}

func (b *addressBook) of(id uint64) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if address, ok := b.heard[id]; ok {
		return address
	}
	return b.member[id]
}

// hear takes in the address that a voter gave for itself, and returns the former one of a member that
// has moved; empty if it has not.
func (b *addressBook) hear(id uint64, address string) (former string) {
	if !isPlace(address) {
		return ""
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	listed, isMember := b.member[id]
	before, known := b.heard[id]
	if !isMember && !known && len(b.heard) >= maxPeers {
		return ""
	}
	b.heard[id] = address
	if !known {
		before = listed
	}
	if !isMember || before == address {
		return ""
	}
	return before
}

// isPlace reports whether an address is one to send to: a voter that listens at all addresses of its
// machine names none.
func isPlace(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && !parsed.Addr().IsUnspecified()
}

func (b *addressBook) setMembers(members []consensus.MemberStatus) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	clear(b.member)
	for _, member := range members {
		b.member[member.ID] = member.Address
	}
}

// senders holds one goroutine for each other member.
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

// post queues messages, dropping the oldest when a member does not keep up.
func (s *senders) post(messages []consensus.Message) {
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
			if address := s.voter.addresses.of(id); address != "" {
				s.voter.transport.Send(id, address, batch)
			}
		}
	}
}

func (s *senders) close() {
	close(s.stop)
	s.running.Wait()
}

// drain takes what waits in a ring, up to a number of items.
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
