package textdelta

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxPieces is from how many pieces on a text is joined again, so that the work
// of a long chain of deltas stays in proportion to its length.
const maxPieces = 4096

// Apply returns the text that a delta leads to from base. The base must be the
// one that the delta was made for.
func Apply(base, delta []byte) ([]byte, error) {
	return Rebuild(base, [][]byte{delta})
}

// Rebuild applies deltas one after the other, each to the result of the one
// before. It joins the text only at the end, so that a chain of small deltas
// costs little more than one.
func Rebuild(base []byte, deltas [][]byte) ([]byte, error) {
	current := pieces{parts: [][]byte{base}, ends: []int{len(base)}}
	hash := xxhash.Sum64(base)
	for index, delta := range deltas {
		decode := newDecoder(delta)
		about := decode.header()
		if decode.err == nil && (about.baseHash != hash || about.baseLength != current.length()) {
			return nil, errors.Newf("delta %d of %d was made for another text", index+1, len(deltas))
		}
		next, err := current.apply(decode, about.resultLength)
		if err != nil {
			return nil, errors.Wrapf(err, "delta %d of %d", index+1, len(deltas))
		}
		current, hash = next, about.resultHash
	}
	text := current.join()
	// The hashes in between are compared as numbers only: a wrong text in between
	// leads to a wrong one at the end, which this finds.
	if xxhash.Sum64(text) != hash {
		return nil, errors.New("damaged delta: the text is not the one that it was made from")
	}
	return text, nil
}

// pieces is a text in parts. ends holds where each part ends.
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

// apply returns the pieces that the steps of a delta lead to.
func (p *pieces) apply(decode *decoder, resultLength int) (pieces, error) {
	var next pieces
	copied := 0
	for {
		part, ok := decode.step(copied)
		if !ok {
			break
		}
		if next.length()+part.length > resultLength {
			return next, errors.New("damaged delta: the text is longer than it says")
		}
		if part.inserted != nil {
			next.add(part.inserted)
			continue
		}
		if part.from < 0 || part.from+part.length > p.length() {
			return next, errors.New("damaged delta: it copies from outside its base")
		}
		p.slice(&next, part)
		copied = part.from + part.length
	}
	if decode.err != nil {
		return next, decode.err
	}
	if next.length() != resultLength {
		return next, errors.New("damaged delta: the text is shorter than it says")
	}
	if len(next.parts) > maxPieces {
		joined := next.join()
		return pieces{parts: [][]byte{joined}, ends: []int{len(joined)}}, nil
	}
	return next, nil
}

// slice adds a range of the text to other pieces.
func (p *pieces) slice(to *pieces, wanted step) {
	if wanted.length == 0 {
		return
	}
	// The first part that ends after the start of the range.
	index, _ := slices.BinarySearch(p.ends, wanted.from+1)
	from, end := wanted.from, wanted.from+wanted.length
	for from < end {
		start := p.ends[index] - len(p.parts[index])
		until := min(end, p.ends[index])
		to.add(p.parts[index][from-start : until-start])
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
