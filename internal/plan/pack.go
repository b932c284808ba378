package plan

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// maxUnpackedBytes bounds the decompressed size of an encoded plan. A plan with
// 57,000 replicas takes 2 MB.
const maxUnpackedBytes = 64 << 20

// Pack encodes and compresses a plan, so that a server does this once instead of
// for each of its followers.
func Pack(p *Plan) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(ToProto(p))
	if err != nil {
		return nil, errors.Wrap(err, "encode a plan")
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress a plan")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a plan")
	}
	return packed.Bytes(), nil
}

// Unpack reverses Pack. Like FromProto it only rejects malformed values; Validate
// checks the rest.
func Unpack(packed []byte) (*Plan, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a plan")
	}
	encoded, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a plan")
	}
	if len(encoded) > maxUnpackedBytes {
		return nil, errors.Newf("a plan of more than %d bytes", maxUnpackedBytes)
	}
	wire := &v1.Plan{}
	if err := proto.Unmarshal(encoded, wire); err != nil {
		return nil, errors.Wrap(err, "decode a plan")
	}
	return FromProto(wire)
}
