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

// pathClaim is the path of claims: a router that gathers a slice requests permission from the
// router that sent it for attempts beyond the first of some shards.
const pathClaim = "/router/claim"

// claimTimeout bounds a claim; a hedge that is sent later rarely returns in time.
const claimTimeout = 150 * time.Millisecond

// claimToken identifies a slice at the router that sent it. Tokens are random, so that two
// starts of a router share one only by chance.
type claimToken uint64

// claimTarget is where claims for a slice are sent. Claims without an address are refused.
type claimTarget struct {
	Address string     `json:"address,omitempty"`
	Token   claimToken `json:"token,omitempty"`
}

// claimRequest requests attempts beyond the first for shards, given by their positions in the
// slice.
type claimRequest struct {
	Token  claimToken `json:"token"`
	Shards []int      `json:"shards"`
}

// claimTable records the attempts granted to the routers that gather slices for this one, to
// bound how many attempts may have been sent for each shard. It is safe for concurrent use.
type claimTable struct {
	mutex sync.Mutex
	// granted counts, for each open slice and shard position, the attempts allowed beyond the
	// first.
	granted map[claimToken]map[int]int
}

func newClaimTable() *claimTable {
	return &claimTable{granted: make(map[claimToken]map[int]int)}
}

// open registers a new slice and returns its token.
func (t *claimTable) open() claimToken {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for {
		token := claimToken(rand.Uint64())
		if _, taken := t.granted[token]; !taken && token != 0 {
			t.granted[token] = nil
			return token
		}
	}
}

// grant allows one more attempt for each of the shards, unless the slice was closed.
func (t *claimTable) grant(request claimRequest) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	granted, open := t.granted[request.Token]
	if !open {
		return false
	}
	if granted == nil {
		granted = make(map[int]int, len(request.Shards))
		t.granted[request.Token] = granted
	}
	for _, position := range request.Shards {
		granted[position]++
	}
	return true
}

// close ends the claims of a slice and returns the attempts that were granted.
func (t *claimTable) close(token claimToken) map[int]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	granted := t.granted[token]
	delete(t.granted, token)
	return granted
}

// maxClaimBytes bounds the body of a claim.
const maxClaimBytes = 1 << 20

// serveClaim answers the claim of a router that gathers a slice for this one.
func (g *Gateway) serveClaim(writer http.ResponseWriter, request *http.Request) {
	var claim claimRequest
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxClaimBytes)).Decode(&claim); err != nil {
		http.Error(writer, "the claim can't be read", http.StatusBadRequest)
		return
	}
	if !g.claims.grant(claim) {
		http.Error(writer, "the slice is not waited for", http.StatusConflict)
	}
}

// claim requests attempts beyond the first for shards from the router that sent the slice. Nil
// means that they are granted.
func (c *sliceClient) claim(target claimTarget, shards []int) error {
	body, err := json.Marshal(claimRequest{Token: target.Token, Shards: shards})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+pathClaim, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// The claim may be retried when a kept connection has ended: a claim granted twice is
	// counted twice, which only leaves attempts unused.
	request.Header["Idempotency-Key"] = []string{}
	// The token identifies the requesting router, so that its name is not checked.
	expected := addressee.Identity{Group: c.group()}
	addressee.SetHeaders(request.Header, expected)
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := addressee.CheckResponse(response, expected, false); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("unexpected status %d", response.StatusCode)
	}
	return nil
}

// sendClaims sends the claims of the current step, one message for each request.
func (l *loop) sendClaims() {
	for id, shards := range l.pendingClaims {
		submitted, ok := l.pending[id]
		if !ok {
			continue
		}
		target := submitted.claims
		go func() {
			err := l.claim(target, shards)
			if err != nil {
				l.logger.WithField("asker", target.Address).WithField("shards", len(shards)).WithField("reason", err).Info("claim_refused")
			}
			l.events <- scatter.Granted{Request: id, Shards: shards, Refused: err != nil}
		}()
	}
	clear(l.pendingClaims)
}
