package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/martenstage/martenstage/internal/quarantine"
)

const (
	// answeredSample is of how many answers one is recorded: the digest of a request takes time,
	// and a request that matters here is answered often.
	answeredSample = 16
	// maxAnsweredRequests bounds the requests that are remembered.
	maxAnsweredRequests = 1024
	// answeredLifetime is how long an answer tells something about the request: what it meets at
	// the servers changes with their data and software.
	answeredLifetime = 10 * time.Minute
)

// answeredRequests remembers a sample of the requests that servers answered. It is safe for
// concurrent use.
type answeredRequests struct {
	answers atomic.Uint64
	mutex   sync.Mutex
	at      map[quarantine.Fingerprint]time.Time
}

// record records one of answeredSample answers.
func (a *answeredRequests) record(request *fingerprinted, now time.Time) {
	if a.answers.Add(1)%answeredSample != 0 {
		return
	}
	fingerprint := request.fingerprint()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.at == nil {
		a.at = make(map[quarantine.Fingerprint]time.Time)
	}
	if _, known := a.at[fingerprint]; !known && len(a.at) >= maxAnsweredRequests {
		a.removeOldest()
	}
	a.at[fingerprint] = now
}

// removeOldest forgets the request whose last recorded answer is the oldest. The mutex is held.
func (a *answeredRequests) removeOldest() {
	var oldest quarantine.Fingerprint
	var oldestAt time.Time
	for fingerprint, at := range a.at {
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = fingerprint, at
		}
	}
	delete(a.at, oldest)
}

// contains reports whether an answer to a request was recorded within answeredLifetime.
func (a *answeredRequests) contains(fingerprint quarantine.Fingerprint, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	at, known := a.at[fingerprint]
	return known && now.Sub(at) <= answeredLifetime
}
