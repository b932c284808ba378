package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
)

// slotBits is the part of an AttemptID that is its place in the table; the
// rest counts the uses of the place.
const slotBits = 24

// attempt is one query sent to one back end.
type attempt struct {
	id AttemptID
	// request is nil once nobody waits for the outcome; the attempt still
	// takes a place at its server until the shell says how it ended.
	request    *request
	shard      int
	version    uint64
	generation uint32
	group      *balancer.Group
	server     *balancer.Server
	sent       time.Time
	canceled   bool
}

// attemptTable finds attempts by id without a map: the id holds the place.
type attemptTable struct {
	places []attempt
	free   []uint32
}

// add takes a free place and gives it a new id.
func (t *attemptTable) add(entry attempt) AttemptID {
	if len(t.free) == 0 {
		t.places = append(t.places, attempt{id: AttemptID(len(t.places))})
		t.free = append(t.free, uint32(len(t.places)-1))
	}
	last := len(t.free) - 1
	place := t.free[last]
	t.free = t.free[:last]
	// The number of uses is kept in the free place's id and goes up by one, so
	// that no id comes twice.
	entry.id = t.places[place].id + 1<<slotBits
	t.places[place] = entry
	return entry.id
}

// get returns the attempt with the id, or nil if it has ended.
func (t *attemptTable) get(id AttemptID) *attempt {
	place := uint64(id) & (1<<slotBits - 1)
	if place >= uint64(len(t.places)) || t.places[place].id != id || t.places[place].server == nil {
		return nil
	}
	return &t.places[place]
}

// remove frees the place of an attempt.
func (t *attemptTable) remove(id AttemptID) {
	place := uint64(id) & (1<<slotBits - 1)
	t.places[place] = attempt{id: id}
	t.free = append(t.free, uint32(place))
}
