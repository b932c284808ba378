package exchange

import (
	"time"

	"github.com/martenstage/martenstage/internal/message"
)

// Codec writes and reads the headers of a deployment's protocol with its servers.
type Codec interface {
	// Outgoing adds to the header of an attempt how long the server may work and which
	// instance it is meant for.
	Outgoing(header message.Header, remaining time.Duration, instance string)
	// Reply reads the header of a reply.
	Reply(status int, header message.Header) ReplyInfo
}

// ReplyInfo is the content of a reply's header.
type ReplyInfo struct {
	// RequestID is the ID of the answered request; empty if there is none.
	RequestID string
	Stamp     string
	// NotExecuted says that the server reports not to have run the request.
	NotExecuted bool
	// OtherInstance says that another instance answered than the intended one.
	OtherInstance bool
	Load          message.Load
	// ColdFor is how much longer the server reports to be cold; 0 if it reports nothing.
	ColdFor time.Duration
}
