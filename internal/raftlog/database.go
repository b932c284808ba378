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
	metaPages         = 2
	pageHeaderBytes   = 16
	metaCheckedBytes  = 56
	metaBytes         = metaCheckedBytes + 8
	metaPageSizeField = 8
	metaHighField     = 40
	smallestPageBytes = 512
)

func openDatabase(options Options) (*bbolt.DB, error) {
	path := filepath.Join(options.Folder, databaseName)
	var database *bbolt.DB
	err := withoutFaults(path, func() error {
		var openError error
		database, openError = bbolt.Open(path, fileMode, &bbolt.Options{
			Timeout: lockWait, InitialMmapSize: initialMapBytes,
			FreelistType: bbolt.FreelistMapType, OpenFile: options.OpenFile,
		})
		if openError == nil {
			database.AllocSize = growBytes
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
	// Under the lock, since another process could be writing before it.
	if err := checkMetaPages(path); err != nil {
		return nil, errors.CombineErrors(err, database.Close())
	}
	return database, nil
}

// withoutFaults turns the panics and memory faults by which bbolt meets a
// damaged file into an error.
func withoutFaults(path string, run func() error) (err error) {
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
// itself would go on with the older page and so forget the last transaction,
// which was promised to other voters.
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
		if needed := int64(meta.highPage) * pageBytes; info.Size() < needed {
			return errors.Newf("%s is damaged: it ends at offset %d of %d", path, info.Size(), needed)
		}
	}
	return nil
}

type metaPage struct {
	pageBytes uint32
	highPage  uint64
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
		pageBytes: binary.NativeEndian.Uint32(data[metaPageSizeField:]),
		highPage:  binary.NativeEndian.Uint64(data[metaHighField:]),
	}, nil
}
