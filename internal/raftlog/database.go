package raftlog

import (
	"encoding/binary"
	"hash/fnv"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Layout of a bbolt meta page, file format version 2: a page header, then the
// fields up to the checksum (FNV-1a over the fields before it).
const (
	metaPages          = 2
	pageHeaderBytes    = 16
	metaCheckedBytes   = 56
	metaBytes          = metaCheckedBytes + 8
	metaPageSizeField  = 8
	metaHighWaterField = 40
	smallestPageBytes  = 512
)

func openDatabase(options Options) (*bbolt.DB, error) {
	path := filepath.Join(options.Folder, databaseName)
	var database *bbolt.DB
	err := recoverFaults(path, func() error {
		var openError error
		database, openError = bbolt.Open(path, fileMode, &bbolt.Options{
			Timeout: lockTimeout, InitialMmapSize: initialMapBytes,
			FreelistType: bbolt.FreelistMapType, OpenFile: options.OpenFile,
		})
		if openError == nil {
			database.AllocSize = fileGrowthBytes
		}
		return openError
	})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, errors.Newf("data folder %s is in use by another process", options.Folder)
	}
	if err != nil {
		if located := checkMetaPages(path); located != nil {
			return nil, located
		}
		return nil, errors.Wrapf(err, "opening %s", path)
	}
	// Check while holding the lock, since another process could write before that.
	if err := checkMetaPages(path); err != nil {
		return nil, errors.CombineErrors(err, database.Close())
	}
	return database, nil
}

// recoverFaults converts the panics and memory faults that bbolt raises on a
// damaged file to an error.
func recoverFaults(path string, run func() error) (err error) {
	previous := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(previous)
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("%s is damaged: %v", path, cause)
		}
	}()
	return run()
}

// checkMetaPages verifies both meta pages and the length of the file. bbolt
// itself would fall back to the older page and lose the last transaction, which
// may have been acknowledged to other voters.
func checkMetaPages(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	pageBytes := int64(os.Getpagesize())
	for page := range int64(metaPages) {
		meta, err := readMeta(file, page*pageBytes)
		if err != nil {
			return errors.Wrapf(err, "%s is damaged at offset %d", path, page*pageBytes)
		}
		pageBytes = max(int64(meta.pageBytes), smallestPageBytes)
		if needed := int64(meta.highWaterPage) * pageBytes; info.Size() < needed {
			return errors.Newf("%s is damaged: it ends at offset %d of %d", path, info.Size(), needed)
		}
	}
	return nil
}

type metaPage struct {
	pageBytes     uint32
	highWaterPage uint64
}

func readMeta(file *os.File, offset int64) (metaPage, error) {
	data := make([]byte, metaBytes)
	if _, err := file.ReadAt(data, offset+pageHeaderBytes); err != nil {
		return metaPage{}, err
	}
	digest := fnv.New64a()
	_, _ = digest.Write(data[:metaCheckedBytes])
	if digest.Sum64() != binary.NativeEndian.Uint64(data[metaCheckedBytes:]) {
		return metaPage{}, errors.New("the checksum of the meta page does not match")
	}
	return metaPage{
		pageBytes:     binary.NativeEndian.Uint32(data[metaPageSizeField:]),
		highWaterPage: binary.NativeEndian.Uint64(data[metaHighWaterField:]),
	}, nil
}
