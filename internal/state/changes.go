package state

import (
	"bytes"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// ChangeResult is the decision on one change. It is stored under the change id
// and returned again when the change is resent.
type ChangeResult struct {
	Result v1.ApplyResult
	// Revision is the accepted revision, or the latest one if the change was
	// refused.
	Revision     uint64
	WinnerAuthor string
	Detail       string
}

// changeResult is a stored decision.
type changeResult struct {
	id   string
	hash []byte
	time int64 // Unix milliseconds
	ChangeResult
}

// changeResults stores decisions by change id and in order of time, oldest first.
type changeResults struct {
	byID  map[string]*changeResult
	order []*changeResult
	bytes int
}

// changeOverhead is the size of a decision without its strings, in bytes.
const changeOverhead = 64

func (r *changeResult) size() int {
	return changeOverhead + len(r.id) + len(r.hash) + len(r.WinnerAuthor) + len(r.Detail)
}

func newChangeResults() changeResults {
	return changeResults{byID: map[string]*changeResult{}}
}

func (c *changeResults) record(id string, hash []byte, result ChangeResult, now int64, limits Limits) {
	c.add(&changeResult{id: id, hash: hash, time: now, ChangeResult: result})
	c.evict(now, limits)
}

func (c *changeResults) add(result *changeResult) {
	c.byID[result.id] = result
	c.order = append(c.order, result)
	c.bytes += result.size()
}

// evict removes the oldest decisions until the limits hold, but keeps at least
// one.
func (c *changeResults) evict(now int64, limits Limits) {
	cutoff := now - limits.ChangeAge.Milliseconds()
	for len(c.order) > 1 && (len(c.order) > limits.Changes || c.bytes > limits.ChangeBytes || c.order[0].time < cutoff) {
		c.bytes -= c.order[0].size()
		delete(c.byID, c.order[0].id)
		c.order[0] = nil
		c.order = c.order[1:]
	}
}

// ChangeResult returns the first decision on a change id. A decision never
// changes, so any voter that has it may return it. A different request under the
// same id gets APPLY_RESULT_CHANGE_ID_REUSED.
func (m *Machine) ChangeResult(id string, requestHash []byte) (ChangeResult, bool) {
	first, known := m.changes.byID[id]
	if !known {
		return ChangeResult{}, false
	}
	if !bytes.Equal(first.hash, requestHash) {
		return ChangeResult{
			Result:   v1.ApplyResult_APPLY_RESULT_CHANGE_ID_REUSED,
			Revision: first.Revision,
			Detail:   "change id " + id + " was used before for another request",
		}, true
	}
	return first.ChangeResult, true
}
