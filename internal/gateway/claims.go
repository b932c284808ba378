package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/scatter"
)

// pathClaim is the call by which a router that gathers a slice asks the one that sent it
// for attempts beyond the first of some shards.
const pathClaim = "/router/claim"

// claimTimeout bounds such a call; a hedge that is sent later is seldom in time.
const claimTimeout = 150 * time.Millisecond

// claimToken names a slice at the router that sent it. No two starts of a router use the
// same ones, but by chance.
type claimToken uint64

// claimTarget is where claims for a slice go. Those for a router without an address are
// refused.
type claimTarget struct {
	Address string     `json:"address,omitempty"`
	Token   claimToken `json:"token,omitempty"`
}

// claimRequest asks for attempts beyond the first of shards, by their positions in the
// slice.
type claimRequest struct {
	Token  claimToken `json:"token"`
	Shards []int      `json:"shards"`
}

// claimBook holds what was granted to the routers that gather slices for this one, so
// that it knows of each shard how many attempts may have been sent. It is safe for
// concurrent use.
type claimBook struct {
	mutex sync.Mutex
	// granted counts the attempts beyond the first that may be sent for each shard, by its
	// position, of each open slice.
	granted map[claimToken]map[int]int
}

func newClaimBook() *claimBook {
	return &claimBook{granted: make(map[claimToken]map[int]int)}
}

// open returns the token of a new slice.
func (b *claimBook) open() claimToken {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for {
		token := claimToken(rand.Uint64())
		if _, taken := b.granted[token]; !taken && token != 0 {
			b.granted[token] = nil
			return token
		}
	}
}

// grant allows one more attempt for shards, unless the slice was closed.
func (b *claimBook) grant(asked claimRequest) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	granted, open := b.granted[asked.Token]
	if !open {
		return false
	}
	if granted == nil {
		granted = make(map[int]int, len(asked.Shards))
		b.granted[asked.Token] = granted
	}
	for _, position := range asked.Shards {
		granted[position]++
	}
	return true
}

// close ends the claims of a slice and returns what was granted.
func (b *claimBook) close(token claimToken) map[int]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	granted := b.granted[token]
	delete(b.granted, token)
	return granted
}

// maxClaimBytes bounds a claim.
const maxClaimBytes = 1 << 20

// serveClaim answers a router that gathers a slice for this one.
func (g *Gateway) serveClaim(writer http.ResponseWriter, request *http.Request) {
	var asked claimRequest
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxClaimBytes)).Decode(&asked); err != nil {
		http.Error(writer, "the claim can't be read", http.StatusBadRequest)
		return
	}
	if !g.claims.grant(asked) {
		http.Error(writer, "the slice is not waited for", http.StatusConflict)
	}
}

// claim asks the router that sent a slice for attempts beyond the first of shards. Nil
// means that they are granted.
func (c *sliceClient) claim(at claimTarget, shards []int) error {
	body, err := json.Marshal(claimRequest{Token: at.Token, Shards: shards})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.Address+pathClaim, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// One that is granted twice is counted twice, which only leaves attempts unused, so that
	// a kept connection that ended may be replaced.
	request.Header["Idempotency-Key"] = []string{}
	// The token names the asker; it is not asked by its name.
	expected := addressee.Identity{Group: c.group()}
	addressee.Mark(request.Header, expected)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := addressee.Check(response, expected, false); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d", response.StatusCode)
	}
	return nil
}

// sendClaims asks for what the step wants to repeat, in one message for each request.
func (l *loop) sendClaims() {
	for id, shards := range l.claiming {
		waiting, ok := l.waiting[id]
		if !ok {
			continue
		}
		target := waiting.claims
		go func() {
			err := l.claim(target, shards)
			if err != nil {
				l.logger.WithField("asker", target.Address).WithField("shards", len(shards)).WithField("reason", err).Info("claim_refused")
			}
			l.events <- scatter.Granted{Request: id, Shards: shards, Refused: err != nil}
		}()
	}
	clear(l.claiming)
}
