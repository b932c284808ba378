package directory

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/addressee"
)

// identityFile holds the id of the voter whose log lies beside it.
const identityFile = "identity.json"

// identity belongs to a data folder, never to an address: a machine that lost
// its disk is another voter, since it has forgotten its votes.
type identity struct {
	ID uint64 `json:"id"`
	// Founder says that this voter is one of the initial voters.
	Founder bool `json:"founder"`
	// Made says that the log beside it was made whole once.
	Made bool `json:"made"`
	// Group are the peer addresses known when the file was written; of a founder,
	// those of the founders.
	Group []string `json:"group,omitempty"`
	// GroupID identifies the group; 0 for a founder, whose founders tell it, and as long as
	// nobody told.
	GroupID addressee.Group `json:"group_id,omitempty"`
}

// loadIdentity reads the identity of a folder; ok is false for an empty one.
func loadIdentity(folder string) (found identity, ok bool, err error) {
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, errors.Wrap(err, "the identity can't be read")
	}
	if err := json.Unmarshal(data, &found); err != nil || found.ID == 0 {
		return identity{}, false, errors.Newf("%s is damaged", filepath.Join(folder, identityFile))
	}
	return found, true, nil
}

// save writes the identity so that it survives a loss of power: nothing may be
// promised under an id that could be drawn again.
func (i identity) save(folder string) error {
	data, err := json.Marshal(i)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "the data folder can't be made")
	}
	return replaceFile(folder, identityFile, data)
}

// replaceFile puts a file in the place of another so that after a loss of power
// either of them is there whole.
func replaceFile(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	if err := writeSynced(path+".new", data); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrapf(err, "%s can't be put in place", name)
	}
	return syncFolder(folder)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return errors.Wrapf(err, "%s can't be written", path)
	}
	if _, err := file.Write(data); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	return errors.CombineErrors(file.Sync(), file.Close())
}

func syncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "the data folder can't be synced")
	}
	return errors.CombineErrors(opened.Sync(), opened.Close())
}

// founderID is the id of an initial voter. Every founder derives the same ids
// for all, so that they start from one membership without asking each other.
func founderID(address string) uint64 { return max(1, xxhash.Sum64String("founder "+address)) }

// drawID returns an id for a voter that joins.
func drawID() uint64 {
	var drawn [8]byte
	_, _ = rand.Read(drawn[:])
	return max(1, binary.BigEndian.Uint64(drawn[:]))
}
