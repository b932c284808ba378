package gateway

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// pathSlice is the path of the call that requests another router to gather some shards.
const pathSlice = "/router/slice"

// due returns when the parts received so far are sent, for a request that arrived at a time;
// zero if each is sent as it arrives.
func (r *sliceRequest) due(arrived time.Time) time.Time {
	if r.Target <= 0 {
		return time.Time{}
	}
	return arrived.Add(r.CutLeft)
}

// sliceFrame is one message of the response, which is a stream of frames.
type sliceFrame struct {
	// Shards are the positions, in the request, of the parts in this frame, and Stamps their
	// signatures.
	Shards []int
	Stamps []string
	// Lost are the positions of shards whose parts will not arrive.
	Lost []int
	// Records are the greatest records of the parts in this frame.
	Records []byte
	// Last is set in the last frame.
	Last bool
}

// Bounds of a frame.
const (
	maxFrameBytes = 16 << 20
	frameHeader   = 4
)

var errFrame = errors.New("malformed slice frame")

// encode returns the frame with its length as prefix.
func (f sliceFrame) encode() []byte {
	body := make([]byte, frameHeader, frameHeader+len(f.Records)+64*(len(f.Stamps)+1))
	last := byte(0)
	if f.Last {
		last = 1
	}
	body = append(body, last)
	body = binary.AppendUvarint(body, uint64(len(f.Shards)))
	for index, shard := range f.Shards {
		body = binary.AppendUvarint(body, uint64(shard))
		body = binary.AppendUvarint(body, uint64(len(f.Stamps[index])))
		body = append(body, f.Stamps[index]...)
	}
	body = binary.AppendUvarint(body, uint64(len(f.Lost)))
	for _, shard := range f.Lost {
		body = binary.AppendUvarint(body, uint64(shard))
	}
	body = append(body, f.Records...)
	binary.BigEndian.PutUint32(body, uint32(len(body)-frameHeader))
	return body
}

// readFrame reads one frame of a response for the given number of shards.
func readFrame(reader io.Reader, shards int) (sliceFrame, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return sliceFrame{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > maxFrameBytes {
		return sliceFrame{}, errFrame
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		return sliceFrame{}, err
	}
	return decodeFrame(body, shards)
}

func decodeFrame(body []byte, shards int) (sliceFrame, error) {
	decoder := frameDecoder{rest: body[1:], shards: uint64(shards)}
	frame := sliceFrame{Last: body[0] == 1}
	if count := decoder.count(); count > 0 {
		frame.Shards, frame.Stamps = make([]int, count), make([]string, count)
		for index := range count {
			frame.Shards[index], frame.Stamps[index] = decoder.shard(), decoder.text()
		}
	}
	for range decoder.count() {
		frame.Lost = append(frame.Lost, decoder.shard())
	}
	frame.Records = decoder.rest
	if decoder.failed || len(frame.Records)%recordBytes != 0 {
		return sliceFrame{}, errFrame
	}
	return frame, nil
}

// frameDecoder decodes the fields of a frame; after a failure it returns zeros.
type frameDecoder struct {
	rest   []byte
	shards uint64
	failed bool
}

func (d *frameDecoder) number(limit uint64) uint64 {
	value, read := binary.Uvarint(d.rest)
	if d.failed || read <= 0 || value > limit {
		d.failed = true
		return 0
	}
	d.rest = d.rest[read:]
	return value
}

func (d *frameDecoder) count() int { return int(d.number(d.shards)) }

func (d *frameDecoder) shard() int {
	position := d.number(d.shards)
	d.failed = d.failed || position == d.shards
	return int(position)
}

func (d *frameDecoder) text() string {
	length := d.number(uint64(len(d.rest)))
	if length > uint64(len(d.rest)) {
		d.failed = true
	}
	if d.failed {
		return ""
	}
	text := string(d.rest[:length])
	d.rest = d.rest[length:]
	return text
}
