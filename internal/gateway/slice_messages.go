package gateway

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/message"
)

// pathSlice is the path of the call that requests another router to gather some shards.
const pathSlice = "/router/slice"

// sliceRequest requests the parts of some shards.
type sliceRequest struct {
	// Request is the client's request, a message.Request. It is the same in all slices, and
	// encoded once.
	Request json.RawMessage `json:"request,omitempty"`
	Shards  []string        `json:"shards"`
	// The settings of the route that apply to the shards.
	Route       string  `json:"route"`
	MaxAttempts int     `json:"max_attempts"`
	Priority    int     `json:"priority"`
	TopRecords  int     `json:"top_records"`
	LeastShare  float64 `json:"least_share"`
	// Target is the target time of the route, from which the first hedging delays are derived.
	Target time.Duration `json:"target"`
	// CutLeft is when the parts received so far are to be sent, DeadlineLeft when the slice
	// ends. Both count from its arrival.
	CutLeft      time.Duration `json:"cut_left"`
	DeadlineLeft time.Duration `json:"deadline_left"`
	// Earlier is how many other routers may have sent attempts before.
	Earlier int `json:"earlier,omitempty"`
	// Tried is set if a server has just answered a trial of the request, which was suspected
	// of crashing servers.
	Tried bool `json:"tried,omitempty"`
	// Caller is the address of the client.
	Caller string `json:"caller,omitempty"`
	// Claims is where to claim attempts beyond the first of a shard.
	Claims claimTarget `json:"claims"`
}

// encode returns the JSON encoding. It is that of json.Marshal, which checks and copies Request
// again for each slice.
func (r sliceRequest) encode() ([]byte, error) {
	request := r.Request
	r.Request = nil
	rest, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	const start = `{"request":`
	body := make([]byte, 0, len(start)+len(request)+len(rest))
	body = append(append(body, start...), request...)
	// The brace that opens the rest gives way to a comma; the rest is never empty.
	return append(append(body, ','), rest[1:]...), nil
}

// receivedSlice is a sliceRequest whose request is decoded in the same pass as the rest.
type receivedSlice struct {
	sliceRequest
	// Request takes precedence over sliceRequest.Request, which stays empty.
	Request *message.Request `json:"request"`
}

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
