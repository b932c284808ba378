package state

import (
	"crypto/sha256"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Encode sets the command's timestamp to the leader's time and encodes the command
// for the log.
func Encode(now time.Time, command *v1.StateCommand) ([]byte, error) {
	command.TimeUnixMs = now.UnixMilli()
	data, err := proto.Marshal(command)
	return data, errors.Wrap(err, "encode state command")
}

// ApplyHash returns the request hash of a submitted configuration or rollback. The
// expected revision is not part of it, because a client that resends a change may
// have read a newer revision in the meantime.
func ApplyHash(text string, rollbackTo uint64) []byte {
	hash := sha256.New()
	if rollbackTo != 0 {
		hash.Write([]byte("rollback " + strconv.FormatUint(rollbackTo, 10)))
		return hash.Sum(nil)
	}
	hash.Write([]byte("text "))
	// The text is hashed in blocks, because converting it at once would copy the
	// entire configuration of a site.
	const blockBytes = 32 << 10
	block := make([]byte, blockBytes)
	for text != "" {
		size := copy(block, text)
		hash.Write(block[:size])
		text = text[size:]
	}
	return hash.Sum(nil)
}
