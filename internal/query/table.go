package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
)

// slotBits is the number of bits of an AttemptID that hold its slot in the table; the
// other bits count the uses of the slot.
const slotBits = 24

// attempt is one query sent to one back end.
type attempt struct {
	id AttemptID
	// request is nil once no request waits for the outcome; the attempt still occupies
	// a slot at its server until the shell reports how it ended.
	request    *request
	shard      int
	version    uint64
	generation uint32
	group      *balancer.Group
	server     *balancer.Server
	sent       time.Time
	canceled   bool
}

// attemptTable finds attempts by id without a map: the id contains the slot.
type attemptTable struct {
	slots []attempt
	free  []uint32
}

// add stores an attempt in a free slot and assigns it a new id.
func (t *attemptTable) add(entry attempt) AttemptID {
	if len(t.free) == 0 {
		t.slots = append(t.slots, attempt{id: AttemptID(len(t.slots))})
		t.free = append(t.free, uint32(len(t.slots)-1))
	}
	last := len(t.free) - 1
	slot := t.free[last]
	t.free = t.free[:last]
	// The id of a free slot keeps the number of its uses, which is incremented so that
	// no id is used twice.
	entry.id = t.slots[slot].id + 1<<slotBits
	t.slots[slot] = entry
	return entry.id
}

// get returns the attempt with the id, or nil if it has ended.
func (t *attemptTable) get(id AttemptID) *attempt {
	slot := uint64(id) & (1<<slotBits - 1)
	if slot >= uint64(len(t.slots)) || t.slots[slot].id != id || t.slots[slot].server == nil {
		return nil
	}
	return &t.slots[slot]
}

// remove frees the slot of an attempt.
func (t *attemptTable) remove(id AttemptID) {
	slot := uint64(id) & (1<<slotBits - 1)
	t.slots[slot] = attempt{id: id}
	t.free = append(t.free, uint32(slot))
}
