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
	// lockTimeout bounds how long Open waits for the lock of a process that is exiting.
	lockTimeout = 200 * time.Millisecond
	// initialMapBytes avoids remapping while the log is small.
	initialMapBytes = 64 << 20
	// fileGrowthBytes is the step in which the file grows. The file is mapped, so bbolt's
	// default of 16 MiB would count as memory, while most logs hold less than 1 MiB.
	fileGrowthBytes = 1 << 20
	// appendFillPercent is high because keys are appended in ascending order.
	appendFillPercent = 0.95
	// firstTransaction is the id of the first transaction in a new bbolt file.
	firstTransaction = 2
)

// Options configure Open.
type Options struct {
	// Folder is created if missing.
	Folder string
	// VoterID must be the id that the folder was created with.
	VoterID uint64
	// InitialVoters start a new group in an empty folder; they must be the same on
	// every initial voter. They are ignored if the folder is not empty.
	InitialVoters []consensus.Member
	// OpenFile replaces os.OpenFile for the database, so that tests can close the
	// file; nil for the default.
	OpenFile func(path string, flag int, mode os.FileMode) (*os.File, error)
}

// Log is the open data folder of a voter. Write and Close must not be called
// concurrently.
type Log struct {
	folder    string
	database  *bbolt.DB
	snapshots snapshotFolder
	// skippedSnapshots describes the damage of snapshots newer than the loaded one.
	skippedSnapshots error
	writeError       error
}

// SkippedSnapshots returns an error that names the damaged snapshots if Open fell
// back to an older one that the log continues; nil for none.
func (l *Log) SkippedSnapshots() error { return l.skippedSnapshots }

// Open locks the folder, verifies its content and returns the restored state.
// Damage, a folder in use and a wrong voter id are errors with
// exitcode.DataFolder.
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
	err = recoverFaults(log.databasePath(), func() error {
		var prepareError error
		restored, prepareError = log.prepare(options)
		return prepareError
	})
	if err != nil {
		return nil, consensus.Restored{}, errors.CombineErrors(err, database.Close())
	}
	return log, restored, nil
}

// prepare initializes a new folder or loads an existing one.
func (l *Log) prepare(options Options) (consensus.Restored, error) {
	if err := l.initialize(options); err != nil {
		return consensus.Restored{}, err
	}
	// Directory entries are durable only once the directory is synced.
	for _, folder := range []string{l.snapshots.path, l.folder, filepath.Dir(filepath.Clean(l.folder))} {
		if err := syncFolder(folder); err != nil {
			return consensus.Restored{}, err
		}
	}
	return l.load()
}

// initialize checks the voter id of an existing folder, or writes the initial
// state of a new one.
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
		return l.writeInitialState(transaction, options)
	})
}

// writeInitialState writes the first transaction of a new folder. The first log
// entry is the initial membership, the same on every initial voter.
func (l *Log) writeInitialState(transaction *bbolt.Tx, options Options) error {
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
	return tables.apply(initialPersist(options.InitialVoters))
}

// checkNew verifies that a folder without an identity record is new and has not
// lost the record.
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

func initialPersist(voters []consensus.Member) *consensus.Persist {
	const firstTerm = 1
	return &consensus.Persist{
		HardState: &consensus.HardState{Term: firstTerm},
		Entries: []consensus.Entry{{
			Index: 1, Term: firstTerm, Kind: consensus.EntryMembership,
			Data: consensus.EncodeMembership(consensus.NewMembership(voters)),
		}},
	}
}

// Write makes units durable, in order and in one transaction: if it returns nil,
// all are synced. After an error the disk content is unknown, so every later
// Write fails as well.
func (l *Log) Write(units []*consensus.Persist) error {
	if l.writeError != nil {
		return l.writeError
	}
	if err := l.write(units); err != nil {
		l.writeError = errors.Wrapf(err, "writing to %s", l.folder)
	}
	return l.writeError
}

func (l *Log) write(units []*consensus.Persist) error {
	snapshotSaved := false
	for _, unit := range units {
		if unit.Snapshot == nil {
			continue
		}
		// Save the snapshot before the transaction: entries may only be removed
		// once the snapshot that covers them is synced.
		if err := l.snapshots.save(*unit.Snapshot); err != nil {
			return err
		}
		snapshotSaved = true
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
	if err == nil && snapshotSaved {
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
