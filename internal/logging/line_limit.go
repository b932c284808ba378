package logging

import (
	"sync"
	"time"
)

// maxLinesASecond bounds the lines of one kind: what they tell of shows in a few of them, while a
// lost zone would fill the log.
const maxLinesASecond = 20

// LineLimit bounds lines of one kind. It is safe for concurrent use.
type LineLimit struct {
	mutex  sync.Mutex
	second time.Time
	told   int
	// silent counts the lines left out since the last one.
	silent int
}

// Take reports whether a line may be written, and how many were left out before it.
func (l *LineLimit) Take(now time.Time) (leftOut int, tells bool) {
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
