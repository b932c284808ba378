package follower

import (
	"sync"

	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/rpc"
)

// NewDial returns a Dial that creates one network client per address and
// reuses it.
func NewDial(client *rpc.Client) Dial {
	var mutex sync.Mutex
	clients := make(map[string]martenstagev1connect.FollowServiceClient)
	return func(address string) martenstagev1connect.FollowServiceClient {
		mutex.Lock()
		defer mutex.Unlock()
		existing, found := clients[address]
		if !found {
			existing = martenstagev1connect.NewFollowServiceClient(client.HTTP(), client.URL(address), rpc.ClientOptions())
			clients[address] = existing
		}
		return existing
	}
}
