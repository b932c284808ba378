package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/exchange"
	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
)

// Dialect reads and writes the headers that a deployment has agreed with its clients.
type Dialect interface {
	// RequestID returns the client's id of the request; empty if it sent none.
	RequestID(header http.Header) string
	// Remaining returns how long the client still waits.
	Remaining(header http.Header) (time.Duration, bool)
	// SetGathered marks a response that was assembled from parts.
	SetGathered(header http.Header, stamps []string, missing int)
	// Key returns the API key of a request.
	Key(header http.Header) (string, Credentials)
	// Identify removes the client's credentials and any tenant header it sent from the headers
	// for servers, and adds the tenant unless it is empty.
	Identify(header message.Header, tenant string)
	// SetRetryAfter tells a client when to retry a request that has not run.
	SetRetryAfter(header http.Header, after time.Duration)
}

// Config configures a router.
type Config struct {
	Name string
	Zone string
	// PeerAddress is where other routers reach this one; empty if they don't.
	PeerAddress string
	// Seeds are peer addresses of directory nodes.
	Seeds []string
	// Grace bounds the duration of a planned stop.
	Grace time.Duration
	// Budget bounds the hedges and retries at each service, over all routers.
	Budget scatter.BudgetLimits
	// Cold bounds the requests to cold servers, over all routers.
	Cold scatter.ColdLimits
	// EvacuateWithin is how long after the acknowledgement of an evacuation requests may still
	// be sent to the zone; 0 for not at all.
	EvacuateWithin time.Duration
	// RevokeWithin is how long after the acknowledgement of a document that revokes a key
	// requests with the key may still be served; 0 for no bound.
	RevokeWithin time.Duration
	// Parts are the enabled parts of load sharing and admission.
	Parts Parts
	// ParseDocument parses a routing document.
	// Intake bounds the memory of requests; nil for no bound.
	Intake *httpdrain.Intake
	// ReplyMemory bounds the memory of servers' replies that are being received, in bytes; 0 for
	// no bound.
	ReplyMemory int64
	// MaxClientConnections and MaxPeerConnections bound the open connections of clients and
	// other routers; 0 for no bound.
	MaxClientConnections int
	MaxPeerConnections   int
	ParseDocument        func(text []byte) (*routing.Document, error)
	Dialect              Dialect
	Codec                exchange.Codec
}

// Parts are the parts of load sharing and admission that are enabled.
type Parts struct {
	// LoadReports reports demand and the observed load of servers to the directory.
	LoadReports bool
	// Admission refuses requests of routes that are short of capacity.
	Admission bool
	// Reservations gives and keeps reservations of client retries.
	Reservations bool
	// TenantShares applies the shares of tenants.
	TenantShares bool
	// ClassOrder, SharedConditions and ResendRefused are those of scatter.Config.
	ClassOrder       bool
	SharedConditions bool
	ResendRefused    bool
}

// Environment holds the dependencies of a router.
type Environment struct {
	Logger     *logrus.Logger
	Registerer prometheus.Registerer
}

// Bounds of a router.
const (
	// maxInFlight bounds the requests in flight.
	maxInFlight  = 2000
	eventBacklog = 8192
	// withdrawnBacklog bounds the quarantine changes that are queued for the engine.
	withdrawnBacklog = 64
	// defaultDeadline applies to clients that send none.
	defaultDeadline = 30 * time.Second
	// answerMargin is subtracted from the client's deadline for the transfer of the response.
	answerMargin = 10 * time.Millisecond
	// defaultBodyBytes bounds request bodies if the document sets no limit.
	defaultBodyBytes  = 8 << 20
	readHeaderTimeout = 10 * time.Second
	// maxPeerHeadBytes bounds the head of an answer of another process of the system.
	maxPeerHeadBytes = 64 << 10
	pruneInterval    = 2 * time.Second
	// limitInterval is how often the time limits of client connections are checked.
	limitInterval = 500 * time.Millisecond
	// unreadyDelay is how long a stopping router still accepts connections: it is taken out of
	// service after two failed readiness checks, one second apart.
	unreadyDelay = 2300 * time.Millisecond
	// stopMargin is reserved from Config.Grace for the exit of the process.
	stopMargin = 500 * time.Millisecond
	// lastAnswersTime is how long before the end of a planned stop requests in flight are
	// answered at the latest.
	lastAnswersTime = 200 * time.Millisecond
	// firstDocumentTimeout bounds how long a request waits for the first document. A start of
	// all processes takes longer, and requests that had waited for it would reach the servers
	// in one burst, ahead of those that can still be answered in time (docs/results/0013).
	firstDocumentTimeout = 15 * time.Millisecond
	// retryDelay is after how long a client may retry at a router that can't serve yet: a
	// document arrives 150 to 350 ms after all processes start. Up to retrySpread is added,
	// depending on the request id, so that not all clients retry at once.
	retryDelay  = 250 * time.Millisecond
	retrySpread = 100 * time.Millisecond
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns the headers without those that apply to a single connection only.
func endToEndHeaders(header http.Header) message.Header {
	dropped := hopByHopHeaders
	if named := header["Connection"]; len(named) > 0 {
		dropped = append(connectionTokens(named), hopByHopHeaders...)
	}
	kept := make(message.Header, len(header))
	for name, values := range header {
		kept[name] = values
	}
	for _, name := range dropped {
		delete(kept, name)
	}
	return kept
}
