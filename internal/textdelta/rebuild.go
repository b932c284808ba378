package textdelta

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxPieces is the number of pieces above which a text is joined again, so that the
// cost of a long chain of deltas stays proportional to its length.
const maxPieces = 4096

// Apply applies a delta to base, which must be the text that it was made for.
func Apply(base, delta []byte) ([]byte, error) {
	return Rebuild(base, [][]byte{delta})
}

// Rebuild applies a chain of deltas, each to the result of the previous one. It joins
// the text only at the end, so a chain of small deltas costs little more than a single
// one.
func Rebuild(base []byte, deltas [][]byte) ([]byte, error) {
	current := pieces{parts: [][]byte{base}, ends: []int{len(base)}}
	hash := xxhash.Sum64(base)
	for index, delta := range deltas {
		decode := newDecoder(delta)
		head := decode.header()
		if decode.err == nil && (head.baseHash != hash || head.baseLength != current.length()) {
			return nil, errors.Newf("delta %d of %d was made for another text", index+1, len(deltas))
		}
		next, err := current.apply(decode, head.resultLength)
		if err != nil {
			return nil, errors.Wrapf(err, "delta %d of %d", index+1, len(deltas))
		}
		current, hash = next, head.resultHash
	}
	text := current.join()
	// Intermediate texts are not hashed, only the hashes stored in the deltas are
	// compared. A wrong intermediate text leads to a wrong result, which is detected here.
	if xxhash.Sum64(text) != hash {
		return nil, errors.New("damaged delta: the hash of the result does not match")
	}
	return text, nil
}

// pieces is a text split into parts; ends holds the end offset of each part.
type pieces struct {
	parts [][]byte
	ends  []int
}

func (p *pieces) length() int {
	if len(p.ends) == 0 {
		return 0
	}
	return p.ends[len(p.ends)-1]
}

func (p *pieces) add(part []byte) {
	if len(part) > 0 {
		p.ends = append(p.ends, p.length()+len(part))
		p.parts = append(p.parts, part)
	}
}

// apply returns the result of the instructions of a delta as pieces.
func (p *pieces) apply(decode *decoder, resultLength int) (pieces, error) {
	var next pieces
	copyEnd := 0
	for {
		part, ok := decode.nextInstruction(copyEnd)
		if !ok {
			break
		}
		if next.length()+part.length > resultLength {
			return next, errors.New("damaged delta: the result is longer than its header states")
		}
		if part.inserted != nil {
			next.add(part.inserted)
			continue
		}
		if part.baseOffset < 0 || part.baseOffset+part.length > p.length() {
			return next, errors.New("damaged delta: a copy is outside the base")
		}
		p.appendRange(&next, part)
		copyEnd = part.baseOffset + part.length
	}
	if decode.err != nil {
		return next, decode.err
	}
	if next.length() != resultLength {
		return next, errors.New("damaged delta: the result is shorter than its header states")
	}
	if len(next.parts) > maxPieces {
		joined := next.join()
		return pieces{parts: [][]byte{joined}, ends: []int{len(joined)}}, nil
	}
	return next, nil
}

// appendRange appends a range of the text to target.
func (p *pieces) appendRange(target *pieces, span instruction) {
	if span.length == 0 {
		return
	}
	// index is the first part that ends after the start of the range.
	index, _ := slices.BinarySearch(p.ends, span.baseOffset+1)
	from, end := span.baseOffset, span.baseOffset+span.length
	for from < end {
		start := p.ends[index] - len(p.parts[index])
		until := min(end, p.ends[index])
		target.add(p.parts[index][from-start : until-start])
		from = until
		index++
	}
}

func (p *pieces) join() []byte {
	text := make([]byte, 0, p.length())
	for _, part := range p.parts {
		text = append(text, part...)
	}
	return text
}
