package directory

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Limits of reusing an encoded table. What changed since is in the next reply to the router.
const (
	// tableChangeShare is the inverse of the share of the servers that may have changed since,
	// and minTableChanges the number that always may.
	tableChangeShare = 16
	minTableChanges  = 64
	// maxTableAge bounds the age, since a table does not tell which servers were forgotten.
	maxTableAge = 10 * time.Second
)

// headerTableAge is the time since a complete table was encoded, in ms.
const headerTableAge = "Martenstage-Table-Age"

// RouterTable is the complete table of servers as sent to routers. Times in it count from when
// it was encoded.
type RouterTable struct {
	// Source and Revision are the position of the table: later changes follow it.
	Source   string `json:"source"`
	Revision uint64 `json:"revision"`
	// Settled reports that a server that is missing from the table no longer exists.
	Settled   bool                `json:"settled"`
	Instances []registry.Instance `json:"instances,omitempty"`
}

// TableAge returns the time since a table was encoded, from the header of the reply that
// carried it.
func TableAge(header http.Header) (time.Duration, error) {
	age, err := strconv.ParseInt(header.Get(headerTableAge), 10, 64)
	return time.Duration(age) * time.Millisecond, errors.Wrap(err, "age of the table")
}

// encodedTable is an encoded RouterTable.
type encodedTable struct {
	body      sharedBody
	revision  uint64
	settled   bool
	encodedAt time.Time
}

// tableEncoder holds the last encoded table. Its mutex is held while a table is encoded, so
// that routers that come together wait for one encoding.
type tableEncoder struct {
	mutex sync.Mutex
	last  *encodedTable
}

// completeTable returns an encoded table that lacks few of the changes until now.
func (n *Node) completeTable() (*encodedTable, error) {
	n.tables.mutex.Lock()
	defer n.tables.mutex.Unlock()
	n.mutex.Lock()
	now := steadyclock.Now()
	if last := n.tables.last; last != nil && n.reusable(last, now) {
		n.mutex.Unlock()
		return last, nil
	}
	table := RouterTable{Source: n.source, Revision: n.registry.Revision(), Settled: n.settled, Instances: n.registry.ChangedSince(now, 0)}
	n.mutex.Unlock()
	body, err := encodeShared(table)
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode the table")
	}
	n.countCompleteTable()
	n.tables.last = &encodedTable{body: body, revision: table.Revision, settled: table.Settled, encodedAt: now}
	return n.tables.last, nil
}

// reusable reports whether an encoded table may be sent. The caller holds the node's mutex.
func (n *Node) reusable(encoded *encodedTable, now time.Time) bool {
	changes := n.registry.Revision() - encoded.revision
	allowed := uint64(max(minTableChanges, n.registry.Len()/tableChangeShare))
	return changes <= allowed && encoded.settled == n.settled && now.Sub(encoded.encodedAt) <= maxTableAge
}

// serveTable sends the complete table to a router.
func (n *Node) serveTable(writer http.ResponseWriter, request *http.Request) {
	encoded, err := n.completeTable()
	if err != nil {
		n.recordCall(request.Context(), callTable, err)
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	if encoded.body.compressed {
		header.Set("Content-Encoding", encodingGzip)
	}
	header.Set(headerTableAge, strconv.FormatInt(steadyclock.Since(encoded.encodedAt).Milliseconds(), 10))
	_, err = writer.Write(encoded.body.bytes)
	n.recordCall(request.Context(), callTable, err)
}
