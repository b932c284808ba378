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
	// lockTimeout is how long another process may take to let go of the file.
	lockTimeout = time.Second
	// maxNewest bounds the memory for folding.
	maxNewest = 4096
)

var (
	eventsBucket = []byte("events")
	// lossBucket counts events that were dropped and not yet told of.
	lossBucket = []byte("loss")
	lossKey    = []byte("count")
	// runBucket says whether a run is under way, or ended by a kill.
	runBucket  = []byte("run")
	runningKey = []byte("running")
)

// store is the part on disk. Keys are sequence numbers, which go on across
// restarts.
type store struct {
	database *bbolt.DB
	// newest is where the latest stored event of each sameness is. It is a hint
	// that is checked, and is used inside of writing transactions only.
	newest map[journal.Sameness]uint64
	// crashed says that the run before did not end as planned.
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
	opened := &store{database: database, newest: make(map[journal.Sameness]uint64)}
	if err := opened.begin(); err != nil {
		return nil, errors.Join(errors.Wrapf(err, "prepare %s", path), database.Close())
	}
	return opened, nil
}

// begin makes the buckets and notes that a run is under way.
func (s *store) begin() error {
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

// end notes that the run ended as planned.
func (s *store) end() error {
	return errors.Wrap(s.database.Update(func(transaction *bbolt.Tx) error {
		return transaction.Bucket(runBucket).Delete(runningKey)
	}), "note the planned end")
}

// addition is what one transaction stores.
type addition struct {
	events []*v1.Event
	// lost counts events that were dropped before they came here.
	lost uint64
	// limit is how many events are kept, and keep the number up to which they
	// are being delivered and must not be dropped.
	limit int
	keep  uint64
	// foldAfter is the number from which on stored events may still be changed:
	// those up to it may be known to control.
	foldAfter uint64
	// foldable tells events that may be counted into an equal one.
	foldable func(event *v1.Event) bool
}

// add stores events in one synced transaction and returns how many old ones
// were dropped for them.
func (s *store) add(added addition) (dropped uint64, err error) {
	err = s.database.Update(func(transaction *bbolt.Tx) error {
		events := transaction.Bucket(eventsBucket)
		loss := transaction.Bucket(lossBucket)
		window := foldWindow(count(events), added.limit)
		for _, event := range added.events {
			if err := s.putOrFold(events, event, added, window); err != nil {
				return err
			}
		}
		dropped, err = dropOldest(events, added.limit, added.keep)
		if err != nil {
			return err
		}
		lost := decodeNumber(loss.Get(lossKey)) + added.lost + dropped
		return loss.Put(lossKey, encodeNumber(lost))
	})
	return dropped, errors.Wrap(err, "store events")
}

// putOrFold counts an event into an equal one that is not delivered yet, or
// stores it.
func (s *store) putOrFold(events *bbolt.Bucket, event *v1.Event, added addition, window time.Duration) error {
	key := journal.SamenessOf(event)
	if number := s.newest[key]; number > added.foldAfter && added.foldable(event) {
		earlier := &v1.Event{}
		stored := events.Get(encodeNumber(number))
		if stored != nil && proto.Unmarshal(stored, earlier) == nil && joins(earlier, event, window) {
			join(earlier, event)
			return putAt(events, number, earlier)
		}
	}
	number, err := events.NextSequence()
	if err != nil {
		return err
	}
	if added.foldable(event) {
		if len(s.newest) >= maxNewest {
			clear(s.newest)
		}
		s.newest[key] = number
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

// count returns how many events are stored, but for gaps of a batch that is
// being delivered.
func count(events *bbolt.Bucket) int {
	oldest, _ := events.Cursor().First()
	if oldest == nil {
		return 0
	}
	return int(events.Sequence()-decodeNumber(oldest)) + 1
}

// dropOldest deletes the oldest events beyond a limit, except those up to keep.
func dropOldest(events *bbolt.Bucket, limit int, keep uint64) (uint64, error) {
	cursor := events.Cursor()
	excess := count(events) - limit
	var dropped uint64
	key, _ := cursor.Seek(encodeNumber(keep + 1))
	for ; excess > 0 && key != nil; excess-- {
		if err := cursor.Delete(); err != nil {
			return dropped, err
		}
		dropped++
		key, _ = cursor.Seek(encodeNumber(keep + 1))
	}
	return dropped, nil
}

// batch is a run of stored events, oldest first, and the number of the last.
type batch struct {
	events []*v1.Event
	last   uint64
}

// oldest returns up to limit events, none beyond a number. An entry that can't be decoded is left
// out; it is deleted with the batch.
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

// removeTo deletes the events up to a number.
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

// tellLoss turns the count of dropped events into an event of its own.
func (s *store) tellLoss(describe func(count uint64) *v1.Event) error {
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

// lost returns how many dropped events were not told of yet.
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
