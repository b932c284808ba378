package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/message"
)

// Fingerprint identifies a request by what a server receives. To a server, two requests with
// the same fingerprint differ only in the attempt ID and the remaining time.
type Fingerprint [sha256.Size]byte

// headerCredentials is the header that carries the caller's credentials (RFC 9110,
// section 11.6.2).
const headerCredentials = "Authorization"

// FingerprintOf returns the SHA-256 digest (FIPS 180-4) of the method, host, target, the
// caller's credentials or tenant, and the body. Each part is prefixed with its length, so
// that different requests never give the same hash input.
func FingerprintOf(request *message.Request) Fingerprint {
	digest := sha256.New()
	var length [binary.MaxVarintLen64]byte
	writePart := func(part []byte) {
		// Writing to a hash never fails.
		_, _ = digest.Write(length[:binary.PutUvarint(length[:], uint64(len(part)))])
		_, _ = digest.Write(part)
	}
	for _, part := range []string{request.Method, request.Host, request.Target} {
		writePart([]byte(part))
	}
	for _, credentials := range request.Header[headerCredentials] {
		writePart([]byte(credentials))
	}
	if request.Tenant != "" {
		writePart([]byte(request.Tenant))
	}
	writePart(request.Body)
	return Fingerprint(digest.Sum(nil))
}

// shortLength is the number of bytes of a fingerprint that Short keeps.
const shortLength = 8

// Short returns a prefix of the fingerprint in hexadecimal digits, for logs.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:shortLength]) }

// String returns the whole fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(f) {
		return errors.Newf("%.80q is no fingerprint: 64 hexadecimal digits", text)
	}
	copy(f[:], decoded)
	return nil
}
