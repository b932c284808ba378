package textdelta

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxTextBytes bounds the texts that deltas lead to.
const MaxTextBytes = 64 << 20

// Formats of an encoded delta, its first byte. Deltas are stored, so a format
// never changes its meaning.
const (
	formatPlain    = 1
	formatDeflated = 2
)

// deflateFrom is the size in bytes from which compressing a delta is tried.
const deflateFrom = 256

// maxEncodedBytes bounds an encoded delta without compression.
const maxEncodedBytes = 2 * MaxTextBytes

// header names the two texts of a delta.
type header struct {
	baseLength   int
	baseHash     uint64
	resultLength int
	resultHash   uint64
}

// step makes one part of the result: a copy of the base when inserted is nil.
type step struct {
	from     int
	length   int
	inserted []byte
}

// encode writes a delta: the header, then for each step its length times two,
// plus one for an insertion; then either the bytes, or the distance of the copy
// from the end of the one before.
func encode(about header, steps []step) ([]byte, error) {
	body := binary.AppendUvarint(nil, uint64(about.baseLength))
	body = binary.BigEndian.AppendUint64(body, about.baseHash)
	body = binary.AppendUvarint(body, uint64(about.resultLength))
	body = binary.BigEndian.AppendUint64(body, about.resultHash)
	copied := 0
	for _, part := range steps {
		if part.inserted != nil {
			body = binary.AppendUvarint(body, uint64(part.length)<<1|1)
			body = append(body, part.inserted...)
			continue
		}
		body = binary.AppendUvarint(body, uint64(part.length)<<1)
		body = binary.AppendVarint(body, int64(part.from-copied))
		copied = part.from + part.length
	}
	if len(body) >= deflateFrom {
		deflated, err := deflate(body)
		if err != nil || len(deflated) < len(body) {
			return deflated, err
		}
	}
	return append([]byte{formatPlain}, body...), nil
}

func deflate(body []byte) ([]byte, error) {
	packed := bytes.NewBuffer([]byte{formatDeflated})
	writer, err := flate.NewWriter(packed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress a delta")
	}
	if _, err := writer.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress a delta")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a delta")
	}
	return packed.Bytes(), nil
}

// body returns an encoded delta without its format, decompressed.
func body(delta []byte) ([]byte, error) {
	if len(delta) == 0 {
		return nil, errors.New("damaged delta: it is empty")
	}
	switch delta[0] {
	case formatPlain:
		return delta[1:], nil
	case formatDeflated:
		inflated, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(delta[1:])), maxEncodedBytes+1))
		if err != nil {
			return nil, errors.Wrap(err, "damaged delta")
		}
		if len(inflated) > maxEncodedBytes {
			return nil, errors.Newf("damaged delta: it has more than %d bytes", maxEncodedBytes)
		}
		return inflated, nil
	default:
		return nil, errors.Newf("delta of the unknown format %d, damaged or written by a newer version of the program", delta[0])
	}
}

// decoder reads an encoded delta; the first error stays.
type decoder struct {
	rest []byte
	err  error
}

func newDecoder(delta []byte) *decoder {
	rest, err := body(delta)
	return &decoder{rest: rest, err: err}
}

func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = errors.Newf("damaged delta: %s", what)
	}
	d.rest = nil
}

func (d *decoder) header() header {
	return header{
		baseLength: d.length(), baseHash: d.hash(),
		resultLength: d.length(), resultHash: d.hash(),
	}
}

func (d *decoder) hash() uint64 {
	const size = 8
	if len(d.rest) < size {
		d.fail("a hash is cut off")
		return 0
	}
	value := binary.BigEndian.Uint64(d.rest)
	d.rest = d.rest[size:]
	return value
}

func (d *decoder) uvarint() uint64 {
	value, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.fail("a number is cut off")
		return 0
	}
	d.rest = d.rest[size:]
	return value
}

// length reads a number of bytes.
func (d *decoder) length() int {
	value := d.uvarint()
	if value > MaxTextBytes {
		d.fail("a length is out of bounds")
		return 0
	}
	return int(value)
}

// step reads the next step; copied is where the copy before it ended. It
// returns false at the end of the delta or at an error.
func (d *decoder) step(copied int) (step, bool) {
	if d.err != nil || len(d.rest) == 0 {
		return step{}, false
	}
	value := d.uvarint()
	if value>>1 > MaxTextBytes {
		d.fail("a step is too long")
		return step{}, false
	}
	length := int(value >> 1)
	if value&1 == 0 {
		distance, size := binary.Varint(d.rest)
		if size <= 0 || distance > MaxTextBytes || distance < -MaxTextBytes {
			d.fail("a copy has no place")
			return step{}, false
		}
		d.rest = d.rest[size:]
		return step{from: copied + int(distance), length: length}, d.err == nil
	}
	if length > len(d.rest) {
		d.fail("inserted bytes are cut off")
		return step{}, false
	}
	inserted := d.rest[:length:length]
	d.rest = d.rest[length:]
	return step{inserted: inserted, length: length}, true
}
