package directory

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// PackedDocument is a gzip-compressed document as sent to routers. Large documents are
// repetitive, and every router fetches every version.
type PackedDocument []byte

// maxDocumentBytes bounds the uncompressed size of a document.
const maxDocumentBytes = 64 << 20

// PackDocument compresses a document.
func PackDocument(text []byte) (PackedDocument, error) {
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "cannot compress the document")
	}
	if _, err := writer.Write(text); err != nil {
		return nil, errors.Wrap(err, "cannot compress the document")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "cannot compress the document")
	}
	return compressed.Bytes(), nil
}

// Text returns the uncompressed document.
func (p PackedDocument) Text() ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, errors.Wrap(err, "cannot decompress the document")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "cannot decompress the document")
	case len(text) > maxDocumentBytes:
		return nil, errors.Newf("decompressed document exceeds %d bytes", maxDocumentBytes)
	}
	return text, nil
}

// documentPacker caches the compressed form of the last requested version, so that it is
// compressed once for all routers. It is safe for concurrent use.
type documentPacker struct {
	mutex   sync.Mutex
	version uint64
	packed  PackedDocument
}

func (p *documentPacker) pack(version uint64, text []byte) (PackedDocument, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if version == p.version {
		return p.packed, nil
	}
	packed, err := PackDocument(text)
	if err != nil {
		return nil, err
	}
	p.version, p.packed = version, packed
	return packed, nil
}
