// Package lag observes how late a process runs: on a busy machine, what is due
// waits for its turn, and measured times hold that wait, too.
package lag

import (
	"context"
	"sync"
	"time"
)

const (
	interval = 5 * time.Millisecond
	// kept is how long observed lags are remembered.
	kept = 15 * time.Minute
)

// Meter observes by how much a timer fires late. The zero value is ready.
type Meter struct {
	mutex sync.Mutex
	// lags is oldest first.
	lags []observed
}

// observed says that what was due at a moment came to its turn late.
type observed struct {
	due time.Time
	lag time.Duration
}

// Run observes until the context ends.
func (m *Meter) Run(ctx context.Context) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	due := time.Now().Add(interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		m.observe(due, now)
		due = now.Add(interval)
		timer.Reset(interval)
	}
}

func (m *Meter) observe(due, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for len(m.lags) > 0 && now.Sub(m.lags[0].due) > kept {
		m.lags = m.lags[1:]
	}
	if lag := now.Sub(due); lag > interval {
		m.lags = append(m.lags, observed{due: due, lag: lag})
	}
}

// Between returns how much of a span of time passed while this process waited
// for its turn.
func (m *Meter) Between(from, to time.Time) time.Duration {
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

// Worst returns the longest single lag that touches a span of time.
func (m *Meter) Worst(from, to time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var worst time.Duration
	for index := len(m.lags) - 1; index >= 0; index-- {
		begin, end := m.lags[index].due, m.lags[index].due.Add(m.lags[index].lag)
		if end.Before(from) {
			break
		}
		if !begin.After(to) {
			worst = max(worst, m.lags[index].lag)
		}
	}
	return worst
}
