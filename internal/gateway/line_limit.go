package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/scatter"
)

// maxBrokenTold bounds the lines a second about attempts that broke off: a request that
// ends its servers shows in a few of them, while a lost zone would fill the log.
const maxBrokenTold = 20

// brokenLog tells, within a bound, which requests the attempts that broke off belonged to,
// so that two that are the same show as such. It is safe for concurrent use.
type brokenLog struct {
	mutex  sync.Mutex
	second time.Time
	told   int
	// silent counts the lines left out since the last one.
	silent int
}

// tell logs that the connection of an attempt ended before its answer was whole.
func (b *brokenLog) tell(logger logrus.FieldLogger, request *message.Request, at scatter.Server, failure scatter.Failure, took time.Duration) {
	leftOut, tells := b.take(time.Now())
	if !tells {
		return
	}
	logger.WithFields(logrus.Fields{
		"request": request.ID, "fingerprint": quarantine.FingerprintOf(request).Short(), "server": at.ID, "service": at.Service,
		"failure": failure.String(), "took": took, "left_out": leftOut,
	}).Info("attempt_broke_off")
}

// take reports whether a line may be written, and how many were left out before it.
func (b *brokenLog) take(now time.Time) (leftOut int, tells bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.Sub(b.second) >= time.Second {
		b.second, b.told = now, 0
	}
	if b.told >= maxBrokenTold {
		b.silent++
		return 0, false
	}
	b.told++
	leftOut, b.silent = b.silent, 0
	return leftOut, true
}
