package raftlog

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"

	"github.com/martenstage/martenstage/internal/consensus"
)

// load reads and verifies everything. When a crash came between writing an
// installed snapshot and dropping the log that it replaces, it drops the log.
func (l *Log) load() (consensus.Restored, error) {
	var snapshot *consensus.Snapshot
	snapshot, l.skipped = l.snapshots.newest()
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
		return consensus.Restored{}, errors.Newf("%s begins at index %d, but the newest whole snapshot ends at %d (%v)",
			l.databasePath(), limits.Base+1, covered, l.skipped)
	}
	empty := limits.Base == covered && limits.Last == covered
	if snapshot != nil && !empty && !holds(restored.Entries, snapshot) {
		restored.Entries = nil
		return restored, l.Write([]*consensus.Persist{{Snapshot: snapshot, ReplaceLog: true}})
	}
	return restored, nil
}

// read fills in hard state and entries and returns the bounds of the log.
func (l *Log) read(transaction *bbolt.Tx, restored *consensus.Restored) (bounds, error) {
	tables := tables{
		entries: transaction.Bucket(entriesBucket), state: transaction.Bucket(stateBucket), mapping: l.database.Info().Data,
	}
	if tables.entries == nil {
		return bounds{}, errors.New("it has no table of log entries")
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
	for key, sealed := cursor.First(); key != nil; key, sealed = cursor.Next() {
		expected++
		entry, err := readEntry(key, sealed, expected)
		if err != nil {
			return bounds{}, tables.at(sealed, err)
		}
		restored.Entries = append(restored.Entries, entry)
	}
	if expected != limits.Last {
		return bounds{}, errors.Newf("the log ends at index %d instead of %d", expected, limits.Last)
	}
	return limits, nil
}

func readEntry(key, sealed []byte, expected uint64) (consensus.Entry, error) {
	if len(key) != len(entryKey(0)) || binary.BigEndian.Uint64(key) != expected {
		return consensus.Entry{}, errors.Newf("index %d: the entry is missing", expected)
	}
	data, err := unseal(key, sealed)
	if err != nil {
		return consensus.Entry{}, errors.Wrapf(err, "index %d", expected)
	}
	// The memory of the file must not be used behind the transaction; decoding
	// copies what it keeps.
	entry, err := consensus.DecodeEntry(data)
	if err == nil && entry.Index != expected {
		err = errors.Newf("it holds index %d", entry.Index)
	}
	return entry, errors.Wrapf(err, "index %d", expected)
}

// holds reports whether the log goes on from a snapshot: it has the snapshot's
// last entry, or begins right behind it.
func holds(entries []consensus.Entry, snapshot *consensus.Snapshot) bool {
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
