package directory

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// PackedDocument is the text of a document as it travels to routers: compressed,
// since large documents repeat themselves and each router gets each version.
type PackedDocument []byte

// maxDocumentBytes bounds the text of a document.
const maxDocumentBytes = 64 << 20

// PackDocument compresses a text.
func PackDocument(text []byte) (PackedDocument, error) {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "a document can't be compressed")
	}
	if _, err := writer.Write(text); err != nil {
		return nil, errors.Wrap(err, "a document can't be compressed")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "a document can't be compressed")
	}
	return packed.Bytes(), nil
}

// Text returns what was packed.
func (p PackedDocument) Text() ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, errors.Wrap(err, "a packed document can't be read")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "a packed document can't be read")
	case len(text) > maxDocumentBytes:
		return nil, errors.Newf("a packed document holds more than %d bytes", maxDocumentBytes)
	}
	return text, nil
}

// documentPacker packs the document of the last version that was asked for once,
// for all routers. It is safe for concurrent use.
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
