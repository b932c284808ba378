package spool

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
)

const (
	fileName   = "events.db"
	folderMode = 0o700
	fileMode   = 0o600
	// lockTimeout is how long to wait for another process to release the file lock.
	lockTimeout = time.Second
	// maxLatest bounds the size of store.latest.
	maxLatest = 4096
)

var (
	eventsBucket = []byte("events")
	// lossBucket holds the number of dropped events not reported yet.
	lossBucket = []byte("loss")
	lossKey    = []byte("count")
	// runBucket holds runningKey from Open to a clean shutdown, so the key is still
	// present after a crash or a kill.
	runBucket  = []byte("run")
	runningKey = []byte("running")
)

// store is the event database on disk. Keys are sequence numbers, which continue
// across restarts.
type store struct {
	database *bbolt.DB
	// latest maps each equality key to the number of its latest stored event. It is a
	// hint that is verified on use, and is accessed in write transactions only.
	latest map[journal.EventKey]uint64
	// crashed reports that the previous incarnation did not shut down cleanly.
	crashed bool
}

func openStore(folder string) (*store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "make the folder of the event spool")
	}
	path := filepath.Join(folder, fileName)
	database, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, errors.Newf("%s is in use by another process", path)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", path)
	}
	opened := &store{database: database, latest: make(map[journal.EventKey]uint64)}
	if err := opened.markRunning(); err != nil {
		return nil, errors.Join(errors.Wrapf(err, "prepare %s", path), database.Close())
	}
	return opened, nil
}

// markRunning creates the buckets and records that the process is running.
func (s *store) markRunning() error {
	return s.database.Update(func(transaction *bbolt.Tx) error {
		_, eventsErr := transaction.CreateBucketIfNotExists(eventsBucket)
		_, lossErr := transaction.CreateBucketIfNotExists(lossBucket)
		run, runErr := transaction.CreateBucketIfNotExists(runBucket)
		if err := errors.Join(eventsErr, lossErr, runErr); err != nil {
			return err
		}
		s.crashed = run.Get(runningKey) != nil
		return run.Put(runningKey, []byte{1})
	})
}

// markStopped records a clean shutdown.
func (s *store) markStopped() error {
	return errors.Wrap(s.database.Update(func(transaction *bbolt.Tx) error {
		return transaction.Bucket(runBucket).Delete(runningKey)
	}), "record the clean shutdown")
}

// writeBatch is the input of one write transaction.
type writeBatch struct {
	events []*v1.Event
	// lost is the number of events that the ring dropped.
	lost uint64
	// limit is the maximum number of stored events. Events up to the number inFlight
	// are being delivered and must not be dropped.
	limit    int
	inFlight uint64
	// mergeAfter is the number after which stored events may still be changed. The
	// journal may have those up to it.
	mergeAfter uint64
	// mergeable reports whether an event may be merged into an equal one.
	mergeable func(event *v1.Event) bool
}

// add stores events in one synced transaction and returns how many old events it
// dropped to stay within the limit.
func (s *store) add(added writeBatch) (dropped uint64, err error) {
	err = s.database.Update(func(transaction *bbolt.Tx) error {
		events := transaction.Bucket(eventsBucket)
		loss := transaction.Bucket(lossBucket)
		window := mergeWindow(count(events), added.limit)
		for _, event := range added.events {
			if err := s.putOrMerge(events, event, added, window); err != nil {
				return err
			}
		}
		dropped, err = dropOldest(events, added.limit, added.inFlight)
		if err != nil {
			return err
		}
		lost := decodeNumber(loss.Get(lossKey)) + added.lost + dropped
		return loss.Put(lossKey, encodeNumber(lost))
	})
	return dropped, errors.Wrap(err, "store events")
}

// putOrMerge merges an event into an equal one that no delivery was attempted for, or
// else stores it.
func (s *store) putOrMerge(events *bbolt.Bucket, event *v1.Event, added writeBatch, window time.Duration) error {
	key := journal.EventKeyOf(event)
	if number := s.latest[key]; number > added.mergeAfter && added.mergeable(event) {
		earlier := &v1.Event{}
		stored := events.Get(encodeNumber(number))
		if stored != nil && proto.Unmarshal(stored, earlier) == nil && withinWindow(earlier, event, window) {
			merge(earlier, event)
			return putAt(events, number, earlier)
		}
	}
	number, err := events.NextSequence()
	if err != nil {
		return err
	}
	if added.mergeable(event) {
		if len(s.latest) >= maxLatest {
			clear(s.latest)
		}
		s.latest[key] = number
	}
	return putAt(events, number, event)
}

func putAt(events *bbolt.Bucket, number uint64, event *v1.Event) error {
	encoded, err := proto.Marshal(event)
	if err != nil {
		return err
	}
	return events.Put(encodeNumber(number), encoded)
}

// count returns the number of stored events. It includes events that dropOldest deleted
// after a batch in flight.
func count(events *bbolt.Bucket) int {
	oldest, _ := events.Cursor().First()
	if oldest == nil {
		return 0
	}
	return int(events.Sequence()-decodeNumber(oldest)) + 1
}

// dropOldest deletes the oldest events beyond a limit, except those up to inFlight.
func dropOldest(events *bbolt.Bucket, limit int, inFlight uint64) (uint64, error) {
	cursor := events.Cursor()
	excess := count(events) - limit
	var dropped uint64
	key, _ := cursor.Seek(encodeNumber(inFlight + 1))
	for ; excess > 0 && key != nil; excess-- {
		if err := cursor.Delete(); err != nil {
			return dropped, err
		}
		dropped++
		key, _ = cursor.Seek(encodeNumber(inFlight + 1))
	}
	return dropped, nil
}

// batch holds consecutive stored events, oldest first, and the number of the last one.
type batch struct {
	events []*v1.Event
	last   uint64
}

// oldest returns up to limit of the oldest events, up to the number upTo. An entry that
// can't be decoded is left out; it is deleted with the batch.
func (s *store) oldest(limit int, upTo uint64) (batch, error) {
	var found batch
	err := s.database.View(func(transaction *bbolt.Tx) error {
		cursor := transaction.Bucket(eventsBucket).Cursor()
		for key, value := cursor.First(); key != nil && len(found.events) < limit && decodeNumber(key) <= upTo; key, value = cursor.Next() {
			event := &v1.Event{}
			if err := proto.Unmarshal(value, event); err == nil {
				found.events = append(found.events, event)
			}
			found.last = decodeNumber(key)
		}
		return nil
	})
	return found, errors.Wrap(err, "read events")
}

// removeTo deletes the events up to and including the number last.
func (s *store) removeTo(last uint64) error {
	return errors.Wrap(s.database.Update(func(transaction *bbolt.Tx) error {
		cursor := transaction.Bucket(eventsBucket).Cursor()
		for key, _ := cursor.First(); key != nil && decodeNumber(key) <= last; key, _ = cursor.First() {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
		return nil
	}), "delete events")
}

// reportLoss replaces the count of dropped events by an event that describes it.
func (s *store) reportLoss(describe func(count uint64) *v1.Event) error {
	return errors.Wrap(s.database.Update(func(transaction *bbolt.Tx) error {
		loss := transaction.Bucket(lossBucket)
		count := decodeNumber(loss.Get(lossKey))
		if count == 0 {
			return nil
		}
		events := transaction.Bucket(eventsBucket)
		number, err := events.NextSequence()
		if err != nil {
			return err
		}
		if err := putAt(events, number, describe(count)); err != nil {
			return err
		}
		return loss.Delete(lossKey)
	}), "store the count of dropped events")
}

// lost returns the number of dropped events not reported yet.
func (s *store) lost() (count uint64, err error) {
	err = s.database.View(func(transaction *bbolt.Tx) error {
		count = decodeNumber(transaction.Bucket(lossBucket).Get(lossKey))
		return nil
	})
	return count, errors.Wrap(err, "read the count of dropped events")
}

func (s *store) close() error { return errors.Wrap(s.database.Close(), "close the event spool") }

func encodeNumber(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

func decodeNumber(encoded []byte) uint64 {
	const size = 8
	if len(encoded) != size {
		return 0
	}
	return binary.BigEndian.Uint64(encoded)
}
