package raftlog

import (
	"encoding/binary"
	"encoding/json"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"

	"github.com/martenstage/martenstage/internal/consensus"
)

const (
	// formatVersion is the supported folder format; a newer one is refused.
	formatVersion = 1
	checksumBytes = 8
)

var (
	entriesBucket = []byte("entries")
	stateBucket   = []byte("state")
	identityKey   = []byte("identity")
	hardStateKey  = []byte("hard-state")
	boundsKey     = []byte("bounds")
)

// identity is the stored format version and voter id of a folder.
type identity struct {
	Format  int    `json:"format"`
	VoterID uint64 `json:"voter_id"`
}

func (i identity) check(options Options) error {
	if i.Format > formatVersion {
		return errors.Newf("data folder %s has format %d, newer than %d of this program", options.Folder, i.Format, formatVersion)
	}
	if i.VoterID != options.VoterID {
		return errors.Newf("data folder %s belongs to voter %d, not %d", options.Folder, i.VoterID, options.VoterID)
	}
	return nil
}

// bounds define which entries the log must contain: those after Base up to Last.
// bbolt has no checksums on data pages, so without bounds entries lost from the
// end of a page would go undetected.
type bounds struct {
	Base uint64 `json:"base"`
	Last uint64 `json:"last"`
}

// tables are the buckets within one transaction.
type tables struct {
	entries *bbolt.Bucket
	state   *bbolt.Bucket
	// mapping is the address at which bbolt mapped the file; 0 if offsets are not
	// needed.
	mapping uintptr
}

// withOffset adds the file offset of a record to an error about it.
func (t tables) withOffset(record []byte, err error) error {
	if err == nil || t.mapping == 0 {
		return err
	}
	return errors.Wrapf(err, "offset %d", uintptr(unsafe.Pointer(unsafe.SliceData(record)))-t.mapping)
}

func createTables(transaction *bbolt.Tx) (tables, error) {
	entries, err := transaction.CreateBucketIfNotExists(entriesBucket)
	if err != nil {
		return tables{}, err
	}
	entries.FillPercent = appendFillPercent
	state, err := transaction.CreateBucketIfNotExists(stateBucket)
	return tables{entries: entries, state: state}, err
}

// apply writes one unit.
func (t tables) apply(unit *consensus.Persist) error {
	limits, err := t.bounds()
	if err != nil {
		return err
	}
	if unit.ReplaceLog {
		if err := t.removeFrom(0); err != nil {
			return err
		}
		limits = bounds{Base: unit.Snapshot.Index, Last: unit.Snapshot.Index}
	}
	if unit.HardState != nil {
		if err := t.putHardState(*unit.HardState); err != nil {
			return err
		}
	}
	if limits, err = t.append(unit.Entries, limits); err != nil {
		return err
	}
	if unit.CompactTo > limits.Base {
		limits.Base = min(unit.CompactTo, limits.Last)
		if err := t.removeUpTo(limits.Base); err != nil {
			return err
		}
	}
	return t.putBounds(limits)
}

func (t tables) append(entries []consensus.Entry, limits bounds) (bounds, error) {
	if len(entries) == 0 {
		return limits, nil
	}
	first := entries[0].Index
	if first <= limits.Base || first > limits.Last+1 {
		return limits, errors.AssertionFailedf("entry %d appended to a log of %d to %d", first, limits.Base+1, limits.Last)
	}
	if first <= limits.Last {
		if err := t.removeFrom(first); err != nil {
			return limits, err
		}
	}
	for _, entry := range entries {
		key := entryKey(entry.Index)
		if err := t.entries.Put(key, addChecksum(key, consensus.EncodeEntry(entry))); err != nil {
			return limits, err
		}
	}
	limits.Last = entries[len(entries)-1].Index
	return limits, nil
}

func (t tables) removeFrom(index uint64) error {
	return removeWhile(t.entries, entryKey(index), func(uint64) bool { return true })
}

func (t tables) removeUpTo(index uint64) error {
	return removeWhile(t.entries, entryKey(0), func(found uint64) bool { return found <= index })
}

// removeWhile removes keys starting at from while they match. It collects the keys
// first: a bbolt cursor may skip keys if they are deleted during iteration.
func removeWhile(bucket *bbolt.Bucket, from []byte, matches func(index uint64) bool) error {
	var keys [][]byte
	cursor := bucket.Cursor()
	for key, _ := cursor.Seek(from); key != nil && matches(binary.BigEndian.Uint64(key)); key, _ = cursor.Next() {
		keys = append(keys, key)
	}
	for _, key := range keys {
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

func (t tables) identity() (*identity, error) {
	var known identity
	found, err := t.getJSON(identityKey, &known)
	if err != nil || !found {
		return nil, err
	}
	return &known, nil
}

func (t tables) putIdentity(known identity) error { return t.putJSON(identityKey, known) }

// bounds returns the stored bounds. They and the hard state exist in every folder
// from its first transaction on, so a missing record means damage.
func (t tables) bounds() (bounds, error) {
	var limits bounds
	found, err := t.getJSON(boundsKey, &limits)
	if err == nil && !found {
		err = errors.New("the bounds of the log are missing")
	}
	return limits, err
}

func (t tables) putBounds(limits bounds) error { return t.putJSON(boundsKey, limits) }

func (t tables) hardState() (consensus.HardState, error) {
	record := t.state.Get(hardStateKey)
	if record == nil {
		return consensus.HardState{}, errors.New("the hard state is missing")
	}
	data, err := verifyChecksum(hardStateKey, record)
	if err != nil {
		return consensus.HardState{}, t.withOffset(record, errors.Wrap(err, "hard state"))
	}
	state, err := consensus.DecodeHardState(data)
	return state, t.withOffset(record, err)
}

func (t tables) putHardState(state consensus.HardState) error {
	return t.state.Put(hardStateKey, addChecksum(hardStateKey, consensus.EncodeHardState(state)))
}

func (t tables) putJSON(key []byte, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return t.state.Put(key, addChecksum(key, data))
}

func (t tables) getJSON(key []byte, value any) (bool, error) {
	record := t.state.Get(key)
	if record == nil {
		return false, nil
	}
	data, err := verifyChecksum(key, record)
	if err == nil {
		err = json.Unmarshal(data, value)
	}
	return true, t.withOffset(record, errors.Wrapf(err, "%s", key))
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// addChecksum returns the data prefixed by a checksum over key and data.
func addChecksum(key, data []byte) []byte {
	record := make([]byte, checksumBytes, checksumBytes+len(data))
	binary.BigEndian.PutUint64(record, checksum(key, data))
	return append(record, data...)
}

func verifyChecksum(key, record []byte) ([]byte, error) {
	if len(record) < checksumBytes {
		return nil, errors.Newf("%d bytes are too few", len(record))
	}
	data := record[checksumBytes:]
	if binary.BigEndian.Uint64(record) != checksum(key, data) {
		return nil, errors.New("the checksum does not match")
	}
	return data, nil
}

func checksum(key, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write(data)
	return digest.Sum64()
}
