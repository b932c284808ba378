package state

import (
	"crypto/sha256"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Encode stamps a command with the leader's time and encodes it for the log.
func Encode(now time.Time, command *v1.StateCommand) ([]byte, error) {
	command.TimeUnixMs = now.UnixMilli()
	data, err := proto.Marshal(command)
	return data, errors.Wrap(err, "encode state command")
}

// ApplyHash is the request hash of a submitted configuration. Only what the
// operator asks for counts, not what it was written against: a program that
// resends a change may meanwhile know a newer revision.
func ApplyHash(text string, rollbackTo uint64) []byte {
	hash := sha256.New()
	if rollbackTo != 0 {
		hash.Write([]byte("rollback " + strconv.FormatUint(rollbackTo, 10)))
		return hash.Sum(nil)
	}
	hash.Write([]byte("text "))
	// A text is copied block by block: a copy of the whole would be as large as
	// a site's configuration.
	const blockBytes = 32 << 10
	block := make([]byte, blockBytes)
	for text != "" {
		size := copy(block, text)
		hash.Write(block[:size])
		text = text[size:]
	}
	return hash.Sum(nil)
}
