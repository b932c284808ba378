package control

import (
	"context"
	"sync"
	"time"
)

// confirmTimeout bounds one quorum round. It is longer than an election, so that a
// deposed leader has stepped down by then.
const confirmTimeout = 3 * time.Second

// confirmer shares leadership confirmations among callers. A confirmation is valid
// only for callers that arrived before its messages were sent. A caller that
// arrives while a round is in flight waits for the next one, because voters may
// have answered the round before a newer leader was elected. Any number of callers
// thus costs at most one round trip at a time.
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

// Confirm returns the term after a quorum has confirmed, since the call began,
// that this voter leads.
func (c *confirmer) Confirm(ctx context.Context) (uint64, error) {
	round := c.joinRound()
	select {
	case <-round.done:
		return round.term, round.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (c *confirmer) joinRound() *confirmation {
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

// run confirms round after round until no caller waits.
func (c *confirmer) run() {
	for round := c.takeRound(); round != nil; round = c.takeRound() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		round.term, round.err = c.confirm(ctx)
		cancel()
		close(round.done)
	}
}

func (c *confirmer) takeRound() *confirmation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	round := c.next
	c.next = nil
	c.running = round != nil
	return round
}
