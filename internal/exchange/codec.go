package exchange

import (
	"time"

	"github.com/martenstage/martenstage/internal/message"
)

// Codec writes and reads the headers of a deployment's contract with its
// servers.
type Codec interface {
	// Outgoing adds to the header of an attempt: how long the server may work and
	// which instance is meant.
	Outgoing(header message.Header, remaining time.Duration, instance string)
	// Reply reads what the header of an answer says.
	Reply(status int, header message.Header) ReplyInfo
}

// ReplyInfo is what the header of an answer says beside the answer itself.
type ReplyInfo struct {
	// RequestID names the request that is answered; empty if it says nothing.
	RequestID string
	Stamp     string
	// NotExecuted says that the server did not run the request.
	NotExecuted bool
	// OtherInstance says that another instance than the one meant answered.
	OtherInstance bool
	Load          message.Load
	// ColdFor is for how much longer the server says that it is cold; 0 if it says
	// nothing.
	ColdFor time.Duration
}
