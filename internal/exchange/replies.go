package exchange

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

var (
	errHeadTooLarge   = errors.New("the head of the answer is too large")
	errRepliesTooMany = errors.New("the answers under way are too large together")
)

// maxReplyHeadBytes bounds the status lines and headers of a reply, with those of the informational
// responses before it.
const maxReplyHeadBytes = 32 << 10

// growthFactor is how much memory a growing body takes for each of its bytes.
const growthFactor = 2

// replyMemory bounds the memory of the bodies that are being received, of those that have no short
// declared length. At the limit one is given up: the largest of those without a declared length, which
// may have no end, or else the largest. It is safe for concurrent use.
type replyMemory struct {
	mutex sync.Mutex
	// limit is in bytes; 0 is no limit.
	limit int64
	// held is the present memory, peak the most so far.
	held int64
	peak int64
	open map[*growingBody]struct{}
}

// growingBody is a body that is being received.
type growingBody struct {
	source io.Reader
	memory *replyMemory
	// giveUp ends the reading of the body.
	giveUp func()
	// declared is set if the server has declared the length.
	declared bool
	size     int64
}

// yieldsBefore reports whether the body is given up rather than another one.
func (b *growingBody) yieldsBefore(other *growingBody) bool {
	if b.declared != other.declared {
		return other.declared
	}
	return b.size > other.size
}

// track returns a reader for a body. The caller closes it.
func (m *replyMemory) track(source io.Reader, declared bool, giveUp func()) *growingBody {
	body := &growingBody{source: source, memory: m, declared: declared, giveUp: giveUp}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.open == nil {
		m.open = make(map[*growingBody]struct{})
	}
	m.open[body] = struct{}{}
	return body
}

// Read implements io.Reader.
func (b *growingBody) Read(into []byte) (int, error) {
	count, err := b.source.Read(into)
	largest := b.memory.add(b, growthFactor*int64(count))
	switch largest {
	case nil:
		return count, err
	case b:
		return 0, errRepliesTooMany
	default:
		largest.giveUp()
		return count, err
	}
}

// add records the growth of a body. It returns the body to give up; nil for none.
func (m *replyMemory) add(body *growingBody, size int64) *growingBody {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, open := m.open[body]; !open {
		return body
	}
	body.size += size
	m.held += size
	if m.limit == 0 || m.held <= m.limit {
		m.peak = max(m.peak, m.held)
		return nil
	}
	largest := body
	for other := range m.open {
		if other.yieldsBefore(largest) {
			largest = other
		}
	}
	m.remove(largest)
	return largest
}

// remove forgets a body. The mutex is held.
func (m *replyMemory) remove(body *growingBody) {
	if _, open := m.open[body]; open {
		delete(m.open, body)
		m.held -= body.size
	}
}

// close gives back the memory of a body.
func (b *growingBody) close() {
	b.memory.mutex.Lock()
	defer b.memory.mutex.Unlock()
	b.memory.remove(b)
}
