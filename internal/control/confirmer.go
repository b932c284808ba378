package control

import (
	"context"
	"sync"
	"time"
)

// confirmTimeout bounds one round of asking a quorum. It is longer than an
// election, so that a deposed leader has stepped down by then.
const confirmTimeout = 3 * time.Second

// confirmer shares leadership confirmations among callers. A confirmation
// serves only callers that arrived before its messages were sent: one that
// arrives while a round is out waits for the next round, since the round may
// have been answered before a newer leader took over. So any number of callers
// costs at most one round trip after another.
type confirmer struct {
	confirm func(context.Context) (term uint64, err error)

	mutex   sync.Mutex
	next    *confirmation
	running bool
}

type confirmation struct {
	done chan struct{}
	term uint64
	err  error
}

// Confirm returns the term once a quorum has confirmed, after the call began,
// that this voter leads.
func (c *confirmer) Confirm(ctx context.Context) (uint64, error) {
	round := c.join()
	select {
	case <-round.done:
		return round.term, round.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (c *confirmer) join() *confirmation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	if !c.running {
		c.running = true
		go c.run()
	}
	return c.next
}

// run confirms round after round until nobody waits.
func (c *confirmer) run() {
	for round := c.take(); round != nil; round = c.take() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		round.term, round.err = c.confirm(ctx)
		cancel()
		close(round.done)
	}
}

func (c *confirmer) take() *confirmation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	round := c.next
	c.next = nil
	c.running = round != nil
	return round
}
