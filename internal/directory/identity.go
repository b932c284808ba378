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

// identityFile holds the id of the voter whose log is in the same folder.
const identityFile = "identity.json"

// identity belongs to a data folder, not to an address: a node that lost its disk becomes a new
// voter, because it has lost the record of its votes.
type identity struct {
	ID uint64 `json:"id"`
	// Founder reports that this voter is one of the initial voters.
	Founder bool `json:"founder"`
	// LogCreated reports that the log in this folder has been created completely.
	LogCreated bool `json:"made"`
	// PeerAddresses are the peer addresses known when the file was written; for a founder,
	// those of the initial voters.
	PeerAddresses []string `json:"group,omitempty"`
	// GroupID identifies the group. It is 0 for a founder, whose group follows from the
	// founders' addresses, and until it is known.
	GroupID addressee.Group `json:"group_id,omitempty"`
}

// loadIdentity reads the identity of a folder; ok is false if there is none.
func loadIdentity(folder string) (found identity, ok bool, err error) {
	data, err := os.ReadFile(filepath.Join(folder, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, errors.Wrap(err, "cannot read the identity")
	}
	if err := json.Unmarshal(data, &found); err != nil || found.ID == 0 {
		return identity{}, false, errors.Newf("%s is damaged", filepath.Join(folder, identityFile))
	}
	return found, true, nil
}

// save writes the identity durably: the node must not vote under an id that could be generated
// again after a power loss.
func (i identity) save(folder string) error {
	data, err := json.Marshal(i)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "cannot create the data folder")
	}
	return replaceFile(folder, identityFile, data)
}

// replaceFile replaces a file atomically, so that after a power loss either the former or the
// new content is complete.
func replaceFile(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	if err := writeSynced(path+".new", data); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrapf(err, "cannot replace %s", name)
	}
	return syncFolder(folder)
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return errors.Wrapf(err, "cannot write %s", path)
	}
	if _, err := file.Write(data); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	return errors.CombineErrors(file.Sync(), file.Close())
}

func syncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "cannot sync the data folder")
	}
	return errors.CombineErrors(opened.Sync(), opened.Close())
}

// founderID returns the id of an initial voter. Every founder derives the same ids for all of
// them, so that they start with the same membership without communicating.
func founderID(address string) uint64 { return max(1, xxhash.Sum64String("founder "+address)) }

// randomID returns an id for a voter that joins.
func randomID() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return max(1, binary.BigEndian.Uint64(random[:]))
}
