package gateway

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWorkersRunAllTasksAtOnce guards against tasks that wait for one another: an attempt must not
// be delayed by others that wait for their servers.
func TestWorkersRunAllTasksAtOnce(t *testing.T) {
	pool := newWorkers()
	defer pool.stop()
	for _, count := range []int{1, 3 * maxIdleWorkers, maxIdleWorkers} {
		release, running, ended := make(chan struct{}), make(chan struct{}, count), make(chan struct{}, count)
		for range count {
			pool.start(func() {
				running <- struct{}{}
				<-release
				ended <- struct{}{}
			})
		}
		for range count {
			<-running
		}
		close(release)
		for range count {
			<-ended
		}
		require.Eventually(t, func() bool { return int(pool.idle.Load()) <= maxIdleWorkers }, 5*time.Second, time.Millisecond)
	}
}

// TestStoppedWorkersEnd guards against goroutines that outlive their router.
func TestStoppedWorkersEnd(t *testing.T) {
	before := runtime.NumGoroutine()
	pool := newWorkers()
	release := make(chan struct{})
	for range 10 {
		pool.start(func() { <-release })
	}
	pool.stop()
	close(release)
	// require.Eventually is not used, since it starts goroutines itself.
	for deadline := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(deadline), "workers are left")
	}
}
