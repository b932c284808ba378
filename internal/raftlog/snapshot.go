package raftlog

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
)

const (
	snapshotsName     = "snapshots"
	temporarySuffix   = ".tmp"
	snapshotsKept     = 2
	indexHexDigits    = 16
	snapshotHeadBytes = 24
)

// snapshotMagic starts the header of each file. A checksum and the length of the
// encoded snapshot complete the header; the snapshot follows it.
var snapshotMagic = []byte("MSTSNAP1")

// snapshotFolder holds one file for each snapshot, named by its index.
type snapshotFolder struct {
	path string
}

// save makes a snapshot durable. A crash leaves either the complete file or none:
// the data is synced under a temporary name, then renamed, and the folder is
// synced to make the rename durable.
func (f snapshotFolder) save(snapshot consensus.Snapshot) error {
	final := f.file(snapshot.Index)
	temporary := final + temporarySuffix
	if err := writeSynced(temporary, encodeSnapshotFile(snapshot)); err != nil {
		return err
	}
	if err := os.Rename(temporary, final); err != nil {
		return errors.Wrap(err, "renaming a snapshot")
	}
	return syncFolder(f.path)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.Wrap(err, "creating a snapshot")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Wrapf(errors.CombineErrors(err, file.Close()), "writing snapshot %s", path)
}

// newest returns the newest intact snapshot, nil if there is none, and an error
// that describes the damage of newer ones.
func (f snapshotFolder) newest() (*consensus.Snapshot, error) {
	indexes, err := f.list()
	if err != nil {
		return nil, err
	}
	var damage error
	for _, index := range slices.Backward(indexes) {
		snapshot, err := readSnapshotFile(f.file(index), index)
		if err == nil {
			return snapshot, damage
		}
		damage = errors.CombineErrors(damage, err)
	}
	return nil, damage
}

// list returns the indexes of the snapshots in ascending order, and removes
// incomplete files left by a crash.
func (f snapshotFolder) list() ([]uint64, error) {
	files, err := os.ReadDir(f.path)
	if err != nil {
		return nil, errors.Wrapf(err, "listing %s", f.path)
	}
	var indexes []uint64
	for _, file := range files {
		if strings.HasSuffix(file.Name(), temporarySuffix) {
			if err := os.Remove(filepath.Join(f.path, file.Name())); err != nil {
				return nil, errors.Wrap(err, "removing an unfinished snapshot")
			}
			continue
		}
		index, err := strconv.ParseUint(file.Name(), 16, 64)
		if err != nil || len(file.Name()) != indexHexDigits {
			continue
		}
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	return indexes, nil
}

// prune removes all but the newest snapshots. A failure only wastes space; the
// next snapshot retries it.
func (f snapshotFolder) prune() {
	indexes, err := f.list()
	if err != nil {
		return
	}
	for len(indexes) > snapshotsKept {
		_ = os.Remove(f.file(indexes[0]))
		indexes = indexes[1:]
	}
}

func (f snapshotFolder) file(index uint64) string {
	return filepath.Join(f.path, fmt.Sprintf("%0*x", indexHexDigits, index))
}

func encodeSnapshotFile(snapshot consensus.Snapshot) []byte {
	body := consensus.EncodeSnapshot(snapshot)
	data := make([]byte, 0, snapshotHeadBytes+len(body))
	data = append(data, snapshotMagic...)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	data = binary.BigEndian.AppendUint64(data, uint64(len(body)))
	return append(data, body...)
}

func decodeSnapshotFile(data []byte) (*consensus.Snapshot, error) {
	if len(data) < snapshotHeadBytes || !bytes.HasPrefix(data, snapshotMagic) {
		return nil, errors.New("it is not a snapshot, or its head is cut short")
	}
	body := data[snapshotHeadBytes:]
	length := binary.BigEndian.Uint64(data[snapshotHeadBytes-8:])
	if uint64(len(body)) != length {
		return nil, errors.Newf("it ends at offset %d of %d", len(data), snapshotHeadBytes+length)
	}
	if binary.BigEndian.Uint64(data[len(snapshotMagic):]) != xxhash.Sum64(body) {
		return nil, errors.Newf("the checksum of offsets %d to %d does not match", snapshotHeadBytes, len(data))
	}
	return consensus.DecodeSnapshot(body)
}

func readSnapshotFile(path string, index uint64) (*consensus.Snapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading a snapshot")
	}
	snapshot, err := decodeSnapshotFile(data)
	if err == nil && snapshot.Index != index {
		err = errors.Newf("it contains index %d", snapshot.Index)
	}
	return snapshot, errors.Wrapf(err, "snapshot %s is damaged", path)
}
