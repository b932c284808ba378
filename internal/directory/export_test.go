package directory

import "github.com/martenstage/martenstage/internal/consensus"

// Follows reports whether the node follows a leader that it hears.
func (n *Node) Follows() bool {
	status := n.status()
	return status.Leader != 0 && status.Role == consensus.Follower
}
