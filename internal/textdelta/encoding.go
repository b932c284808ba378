package textdelta

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxTextBytes is the maximum size of a text.
const MaxTextBytes = 64 << 20

// Formats of an encoded delta, stored in its first byte. Deltas are persistent, so the
// meaning of a format never changes.
const (
	formatPlain    = 1
	formatDeflated = 2
)

// minDeflateBytes is the minimum size of a delta to try compression.
const minDeflateBytes = 256

// maxEncodedBytes is the maximum size of a decompressed delta.
const maxEncodedBytes = 2 * MaxTextBytes

// header identifies the base and the result of a delta.
type header struct {
	baseLength   int
	baseHash     uint64
	resultLength int
	resultHash   uint64
}

// instruction produces one part of the result. It copies from the base if inserted is
// nil.
type instruction struct {
	baseOffset int
	length     int
	inserted   []byte
}

// encode encodes a delta: the header, then for each instruction its length times two,
// plus one for an insertion, followed by the inserted bytes or by the distance of the
// copy from the end of the previous copy.
func encode(head header, instructions []instruction) ([]byte, error) {
	body := binary.AppendUvarint(nil, uint64(head.baseLength))
	body = binary.BigEndian.AppendUint64(body, head.baseHash)
	body = binary.AppendUvarint(body, uint64(head.resultLength))
	body = binary.BigEndian.AppendUint64(body, head.resultHash)
	copyEnd := 0
	for _, part := range instructions {
		if part.inserted != nil {
			body = binary.AppendUvarint(body, uint64(part.length)<<1|1)
			body = append(body, part.inserted...)
			continue
		}
		body = binary.AppendUvarint(body, uint64(part.length)<<1)
		body = binary.AppendVarint(body, int64(part.baseOffset-copyEnd))
		copyEnd = part.baseOffset + part.length
	}
	if len(body) >= minDeflateBytes {
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

// decompress returns the content of an encoded delta without the format byte.
func decompress(delta []byte) ([]byte, error) {
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
		return nil, errors.Newf("delta has unknown format %d: it is damaged or was written by a newer version of the program", delta[0])
	}
}

// decoder reads an encoded delta and keeps the first error.
type decoder struct {
	rest []byte
	err  error
}

func newDecoder(delta []byte) *decoder {
	rest, err := decompress(delta)
	return &decoder{rest: rest, err: err}
}

func (d *decoder) fail(reason string) {
	if d.err == nil {
		d.err = errors.Newf("damaged delta: %s", reason)
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

// length reads a length in bytes.
func (d *decoder) length() int {
	value := d.uvarint()
	if value > MaxTextBytes {
		d.fail("a length is out of bounds")
		return 0
	}
	return int(value)
}

// nextInstruction reads an instruction; copyEnd is the end of the previous copy in the
// base. It returns false at the end of the delta or on an error.
func (d *decoder) nextInstruction(copyEnd int) (instruction, bool) {
	if d.err != nil || len(d.rest) == 0 {
		return instruction{}, false
	}
	value := d.uvarint()
	if value>>1 > MaxTextBytes {
		d.fail("a step is too long")
		return instruction{}, false
	}
	length := int(value >> 1)
	if value&1 == 0 {
		distance, size := binary.Varint(d.rest)
		if size <= 0 || distance > MaxTextBytes || distance < -MaxTextBytes {
			d.fail("the offset of a copy is invalid")
			return instruction{}, false
		}
		d.rest = d.rest[size:]
		return instruction{baseOffset: copyEnd + int(distance), length: length}, d.err == nil
	}
	if length > len(d.rest) {
		d.fail("inserted bytes are cut off")
		return instruction{}, false
	}
	inserted := d.rest[:length:length]
	d.rest = d.rest[length:]
	return instruction{inserted: inserted, length: length}, true
}
