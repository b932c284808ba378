package gateway

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventsAreTakenInTheOrderOfEachSender guards against events that are lost or exchanged: the
// end of a slice must not overtake its parts.
func TestEventsAreTakenInTheOrderOfEachSender(t *testing.T) {
	const senders, each = 8, 500
	queue := newEventQueue()
	var sending sync.WaitGroup
	for sender := range senders {
		sending.Go(func() {
			for number := range each {
				queue.add(&gatherEvent{slice: sender, lost: []int{number}})
			}
		})
	}
	taken := make([]int, senders)
	for total := 0; total < senders*each; {
		event := queue.next()
		if event == nil {
			<-queue.ready
			continue
		}
		require.Equal(t, taken[event.slice], event.lost[0])
		taken[event.slice]++
		total++
	}
	sending.Wait()
	require.Nil(t, queue.next())
}
