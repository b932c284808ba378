package ring

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTryPushRefusesWhenFull(t *testing.T) {
	queue := New[int](2)
	require.True(t, queue.TryPush(1))
	require.True(t, queue.TryPush(2))
	require.False(t, queue.TryPush(3))
	require.Equal(t, 2, queue.Depth())
	require.Equal(t, 1, <-queue.Items())
}

func TestPushDropOldestKeepsTheNewest(t *testing.T) {
	queue := New[int](2)
	dropped := 0
	for item := 1; item <= 5; item++ {
		dropped += queue.PushDropOldest(item)
	}
	require.Equal(t, 3, dropped)
	require.Equal(t, 4, <-queue.Items())
	require.Equal(t, 5, <-queue.Items())
}

// TestManyProducersLoseNothing checks that the consumer receives every item
// that TryPush accepted.
func TestManyProducersLoseNothing(t *testing.T) {
	const producers, each = 8, 1000
	queue := New[int](16)
	var accepted sync.Map
	var group sync.WaitGroup
	for producer := range producers {
		group.Go(func() {
			for item := range each {
				if queue.TryPush(producer*each + item) {
					accepted.Store(producer*each+item, true)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	received := map[int]bool{}
	for running := true; running; {
		select {
		case item := <-queue.Items():
			received[item] = true
		case <-done:
			running = false
		}
	}
	for queue.Depth() > 0 {
		received[<-queue.Items()] = true
	}
	accepted.Range(func(item, _ any) bool {
		require.Contains(t, received, item)
		return true
	})
}
