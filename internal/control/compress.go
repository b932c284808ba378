package control

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// maxDecompressedBytes bounds a text or plan read from the log.
const maxDecompressedBytes = 64 << 20

// compress compresses a text or an encoded plan for the log. Configurations are
// repetitive, and the log, the history and snapshots hold many of them.
func compress(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(data) > maxDecompressedBytes {
		return nil, errors.Newf("decompressed to more than %d bytes", maxDecompressedBytes)
	}
	return data, nil
}
