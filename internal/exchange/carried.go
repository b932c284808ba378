package exchange

import "slices"

// maxCarriedRequests bounds the requests that a connection remembers; 2 KiB of memory.
const maxCarriedRequests = 256

// carriedRequests remembers the requests that a connection carried last, by a hash of their ids.
//
// A server may send an answer once more, in the place of a later one. The id in it tells it from
// the answer to another request, but not from the answer to another try of the same request. On a
// connection that carries each request once, the first answer with its id is that of its try. Two
// ids of the same hash only cost a connection.
type carriedRequests struct {
	hashes []uint64
	// oldest is the position of the oldest hash once there are maxCarriedRequests.
	oldest int
}

func (c *carriedRequests) add(hash uint64) {
	if len(c.hashes) < maxCarriedRequests {
		c.hashes = append(c.hashes, hash)
		return
	}
	c.hashes[c.oldest] = hash
	c.oldest = (c.oldest + 1) % maxCarriedRequests
}

func (c *carriedRequests) contains(hash uint64) bool { return slices.Contains(c.hashes, hash) }
