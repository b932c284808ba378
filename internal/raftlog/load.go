package raftlog

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"

	"github.com/martenstage/martenstage/internal/consensus"
)

// load reads and verifies the complete state. If a crash happened between saving
// an installed snapshot and removing the log that it replaces, it removes the log.
func (l *Log) load() (consensus.Restored, error) {
	var snapshot *consensus.Snapshot
	snapshot, l.skippedSnapshots = l.snapshots.newest()
	restored := consensus.Restored{Snapshot: snapshot}
	var limits bounds
	err := l.database.View(func(transaction *bbolt.Tx) error {
		var err error
		limits, err = l.read(transaction, &restored)
		return errors.Wrapf(err, "%s is damaged", l.databasePath())
	})
	if err != nil {
		return consensus.Restored{}, err
	}
	covered := uint64(0)
	if snapshot != nil {
		covered = snapshot.Index
	}
	if limits.Base > covered {
		return consensus.Restored{}, errors.Newf("%s begins at index %d, but the newest intact snapshot ends at %d (%v)",
			l.databasePath(), limits.Base+1, covered, l.skippedSnapshots)
	}
	empty := limits.Base == covered && limits.Last == covered
	if snapshot != nil && !empty && !continuesFrom(restored.Entries, snapshot) {
		restored.Entries = nil
		return restored, l.Write([]*consensus.Persist{{Snapshot: snapshot, ReplaceLog: true}})
	}
	return restored, nil
}

// read loads the hard state and entries into restored and returns the bounds of
// the log.
func (l *Log) read(transaction *bbolt.Tx, restored *consensus.Restored) (bounds, error) {
	tables := tables{
		entries: transaction.Bucket(entriesBucket), state: transaction.Bucket(stateBucket), mapping: l.database.Info().Data,
	}
	if tables.entries == nil {
		return bounds{}, errors.New("the bucket of log entries is missing")
	}
	limits, err := tables.bounds()
	if err != nil {
		return bounds{}, err
	}
	if restored.HardState, err = tables.hardState(); err != nil {
		return bounds{}, err
	}
	expected := limits.Base
	cursor := tables.entries.Cursor()
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		expected++
		entry, err := readEntry(key, record, expected)
		if err != nil {
			return bounds{}, tables.withOffset(record, err)
		}
		restored.Entries = append(restored.Entries, entry)
	}
	if expected != limits.Last {
		return bounds{}, errors.Newf("the log ends at index %d instead of %d", expected, limits.Last)
	}
	return limits, nil
}

func readEntry(key, record []byte, expected uint64) (consensus.Entry, error) {
	if len(key) != len(entryKey(0)) || binary.BigEndian.Uint64(key) != expected {
		return consensus.Entry{}, errors.Newf("index %d: the entry is missing", expected)
	}
	data, err := verifyChecksum(key, record)
	if err != nil {
		return consensus.Entry{}, errors.Wrapf(err, "index %d", expected)
	}
	// The mapped memory must not be used after the transaction; decoding copies
	// the data.
	entry, err := consensus.DecodeEntry(data)
	if err == nil && entry.Index != expected {
		err = errors.Newf("it contains index %d", entry.Index)
	}
	return entry, errors.Wrapf(err, "index %d", expected)
}

// continuesFrom reports whether the log continues a snapshot: it contains the
// snapshot's last entry, or begins right after it.
func continuesFrom(entries []consensus.Entry, snapshot *consensus.Snapshot) bool {
	if len(entries) == 0 {
		return false
	}
	first, last := entries[0], entries[len(entries)-1]
	if first.Index == snapshot.Index+1 {
		return true
	}
	if snapshot.Index < first.Index || snapshot.Index > last.Index {
		return false
	}
	return entries[snapshot.Index-first.Index].Term == snapshot.Term
}
