package raftlog

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/exitcode"
)

const (
	databaseName = "consensus.db"
	folderMode   = 0o750
	fileMode     = 0o640
	// lockWait is how long Open waits for a process that is just ending.
	lockWait = 200 * time.Millisecond
	// initialMapBytes avoids remapping while the log is small.
	initialMapBytes = 64 << 20
	// growBytes is how much the file grows at a time. bbolt's own 16 MiB would be
	// counted as memory, as the file is mapped, while most logs hold less than one.
	growBytes = 1 << 20
	// appendFillPercent fills pages well, because keys only grow.
	appendFillPercent = 0.95
	// firstTransaction is the number of the first one in a new bbolt file.
	firstTransaction = 2
)

// Options say which folder to open.
type Options struct {
	// Folder is made when missing.
	Folder string
	// VoterID must be the one that the folder was made with.
	VoterID uint64
	// InitialVoters start a new group in a folder that is empty; every initial
	// voter must be given the same. They are ignored in a folder that is not.
	InitialVoters []consensus.Member
	// OpenFile replaces os.OpenFile for the database, so that tests can take the
	// file away; nil for the default.
	OpenFile func(path string, flag int, mode os.FileMode) (*os.File, error)
}

// Log is the open data folder of a voter. Write and Close are for one goroutine.
type Log struct {
	folder    string
	database  *bbolt.DB
	snapshots snapshotFolder
	// skipped says what was wrong with snapshots newer than the one used.
	skipped error
	failure error
}

// SkippedSnapshots says which snapshots were damaged, when Open went back to an
// older one and the log reached back far enough; nil for none.
func (l *Log) SkippedSnapshots() error { return l.skipped }

// Open locks the folder, verifies all that it holds and returns it. Damage, a
// folder in use and a wrong voter id are errors with exitcode.DataFolder.
func Open(options Options) (*Log, consensus.Restored, error) {
	log, restored, err := open(options)
	if err != nil {
		return nil, consensus.Restored{}, exitcode.With(exitcode.DataFolder, err)
	}
	return log, restored, nil
}

func open(options Options) (*Log, consensus.Restored, error) {
	snapshots := snapshotFolder{path: filepath.Join(options.Folder, snapshotsName)}
	if err := os.MkdirAll(snapshots.path, folderMode); err != nil {
		return nil, consensus.Restored{}, errors.Wrapf(err, "data folder %s", options.Folder)
	}
	database, err := openDatabase(options)
	if err != nil {
		return nil, consensus.Restored{}, err
	}
	log := &Log{folder: options.Folder, database: database, snapshots: snapshots}
	var restored consensus.Restored
	err = withoutFaults(log.databasePath(), func() error {
		var prepareError error
		restored, prepareError = log.prepare(options)
		return prepareError
	})
	if err != nil {
		return nil, consensus.Restored{}, errors.CombineErrors(err, database.Close())
	}
	return log, restored, nil
}

// prepare makes a new folder or reads an old one.
func (l *Log) prepare(options Options) (consensus.Restored, error) {
	if err := l.initialize(options); err != nil {
		return consensus.Restored{}, err
	}
	// The entries of files in a folder last only once the folder is synced.
	for _, folder := range []string{l.snapshots.path, l.folder, filepath.Dir(filepath.Clean(l.folder))} {
		if err := syncFolder(folder); err != nil {
			return consensus.Restored{}, err
		}
	}
	return l.load()
}

// initialize checks whose folder it is, and fills a new one.
func (l *Log) initialize(options Options) error {
	var known *identity
	err := l.database.View(func(transaction *bbolt.Tx) error {
		state := transaction.Bucket(stateBucket)
		if state == nil {
			return nil
		}
		var err error
		known, err = tables{state: state, mapping: l.database.Info().Data}.identity()
		return errors.Wrapf(err, "%s is damaged", l.databasePath())
	})
	if err != nil {
		return err
	}
	if known != nil {
		return known.check(options)
	}
	return l.database.Update(func(transaction *bbolt.Tx) error {
		return l.fill(transaction, options)
	})
}

// fill writes the first transaction of a new folder: the group's initial
// membership is its first entry, the same on every initial voter.
func (l *Log) fill(transaction *bbolt.Tx, options Options) error {
	if err := l.checkNew(transaction); err != nil {
		return err
	}
	tables, err := createTables(transaction)
	if err != nil {
		return err
	}
	if err := tables.putIdentity(identity{Format: formatVersion, VoterID: options.VoterID}); err != nil {
		return err
	}
	if err := tables.putBounds(bounds{}); err != nil {
		return err
	}
	if err := tables.putHardState(consensus.HardState{}); err != nil {
		return err
	}
	if len(options.InitialVoters) == 0 {
		return nil
	}
	return tables.apply(firstPersist(options.InitialVoters))
}

// checkNew makes sure that a folder without an identity is new, and not one
// that lost it.
func (l *Log) checkNew(transaction *bbolt.Tx) error {
	if transaction.ID() > firstTransaction {
		return errors.Newf("%s is damaged: it was in use, but does not say by which voter", l.databasePath())
	}
	snapshots, err := l.snapshots.list()
	if err == nil && len(snapshots) > 0 {
		err = errors.Newf("%s is missing or empty, but there is a snapshot in %s", l.databasePath(), l.snapshots.path)
	}
	return err
}

func firstPersist(voters []consensus.Member) *consensus.Persist {
	const firstTerm = 1
	return &consensus.Persist{
		HardState: &consensus.HardState{Term: firstTerm},
		Entries: []consensus.Entry{{
			Index: 1, Term: firstTerm, Kind: consensus.EntryMembership,
			Data: consensus.EncodeMembership(consensus.NewMembership(voters)),
		}},
	}
}

// Write makes units of writing durable, in order and in one transaction: when
// it returns nil, all are synced. After an error nobody knows what is on the
// disk, so that every later Write fails as well.
func (l *Log) Write(units []*consensus.Persist) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.write(units); err != nil {
		l.failure = errors.Wrapf(err, "writing to %s", l.folder)
	}
	return l.failure
}

func (l *Log) write(units []*consensus.Persist) error {
	kept := false
	for _, unit := range units {
		if unit.Snapshot == nil {
			continue
		}
		// Before the transaction: the entries that it removes are only needed no
		// more once the snapshot that covers them is synced.
		if err := l.snapshots.save(*unit.Snapshot); err != nil {
			return err
		}
		kept = true
	}
	err := l.database.Update(func(transaction *bbolt.Tx) error {
		tables, err := createTables(transaction)
		if err != nil {
			return err
		}
		for _, unit := range units {
			if err := tables.apply(unit); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && kept {
		l.snapshots.prune()
	}
	return err
}

// Close unlocks the folder.
func (l *Log) Close() error {
	return errors.Wrapf(l.database.Close(), "closing %s", l.databasePath())
}

func (l *Log) databasePath() string { return filepath.Join(l.folder, databaseName) }

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrapf(err, "opening folder %s", path)
	}
	syncError := folder.Sync()
	return errors.Wrapf(errors.CombineErrors(syncError, folder.Close()), "syncing folder %s", path)
}
