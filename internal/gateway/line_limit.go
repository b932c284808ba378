package gateway

import (
	"sync"
	"time"
)

// maxLinesASecond bounds the lines about attempts that broke off, those about servers that
// ended and those about requests refused for it: a request that ends its servers shows in a few of them, while a lost zone
// would fill the log.
const maxLinesASecond = 20

// lineLimit bounds lines of one kind. It is safe for concurrent use.
type lineLimit struct {
	mutex  sync.Mutex
	second time.Time
	told   int
	// silent counts the lines left out since the last one.
	silent int
}

// take reports whether a line may be written, and how many were left out before it.
func (l *lineLimit) take(now time.Time) (leftOut int, tells bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.told = now, 0
	}
	if l.told >= maxLinesASecond {
		l.silent++
		return 0, false
	}
	l.told++
	leftOut, l.silent = l.silent, 0
	return leftOut, true
}
