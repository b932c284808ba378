package load

import (
	"context"
	"sync"
	"time"
)

const (
	lagInterval = 5 * time.Millisecond
	// lagKept is how long observed lags are remembered: longer than a request.
	lagKept = 2 * DefaultPatience
)

// lagMeter observes how late this process runs: on a busy machine, an answer
// lies in the socket until the process gets its turn. A timer that fires late
// shows by how much.
type lagMeter struct {
	mutex sync.Mutex
	// lags are those that were observed, oldest first.
	lags []observedLag
}

// observedLag says that what was due at a moment came to its turn late.
type observedLag struct {
	due time.Time
	lag time.Duration
}

// run observes until the context ends.
func (m *lagMeter) run(ctx context.Context) {
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	due := time.Now().Add(lagInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		m.observe(due, now)
		due = now.Add(lagInterval)
		timer.Reset(lagInterval)
	}
}

func (m *lagMeter) observe(due, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for len(m.lags) > 0 && now.Sub(m.lags[0].due) > lagKept {
		m.lags = m.lags[1:]
	}
	if lag := now.Sub(due); lag > lagInterval {
		m.lags = append(m.lags, observedLag{due: due, lag: lag})
	}
}

// between returns how much of a span of time passed while this process waited
// for its turn.
func (m *lagMeter) between(from, to time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var total time.Duration
	for index := len(m.lags) - 1; index >= 0; index-- {
		begin, end := m.lags[index].due, m.lags[index].due.Add(m.lags[index].lag)
		if end.Before(from) {
			break
		}
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		total += max(0, end.Sub(begin))
	}
	return total
}
