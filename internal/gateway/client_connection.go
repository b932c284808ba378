package gateway

import (
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// clientCloses counts and logs the connections of clients that the router closes. It is safe for
// concurrent use.
type clientCloses struct {
	logger logrus.FieldLogger
	// limited counts the connections closed for exceeding a limit, by limit; lost those closed
	// with something read and not answered, by cause and phase.
	limited *prometheus.CounterVec
	lost    *prometheus.CounterVec
	// lines and refusedLines bound the log lines about the two.
	lines        logging.LineLimit
	refusedLines logging.LineLimit
}

func newClientCloses(registerer prometheus.Registerer, logger logrus.FieldLogger) *clientCloses {
	factory := promauto.With(registerer)
	return &clientCloses{
		logger: logger,
		limited: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_gateway_client_connections_closed_total", Help: "Connections of clients that were closed for a limit of the document or of the process.",
		}, []string{"limit"}),
		lost: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_gateway_client_connections_lost_total", Help: "Connections of clients that were closed with a part of a request read and not answered.",
		}, []string{"cause", "phase"}),
	}
}

// record counts a closed connection, and logs it if something read from it was not answered.
func (c *clientCloses) record(closed httpdrain.Closed) {
	switch closed.Cause {
	case httpdrain.CauseIdleTime, httpdrain.CauseHeaderTime, httpdrain.CauseHeaderSize, httpdrain.CauseMemory, httpdrain.CauseConnections:
		c.limited.WithLabelValues(string(closed.Cause)).Inc()
	}
	if !closed.Lost() {
		c.logRefused(closed)
		return
	}
	c.lost.WithLabelValues(string(closed.Cause), closed.Phase.String()).Inc()
	if dropped, allowed := c.lines.Allow(steadyclock.Now()); allowed {
		c.logger.WithFields(logrus.Fields{
			"cause": closed.Cause, "phase": closed.Phase, "unanswered_bytes": closed.Unanswered, "client": closed.Remote, "suppressed": dropped,
		}).Info("connection_closed_unanswered")
	}
}

// logRefused logs a connection that was closed because of the memory or the connections that clients
// take.
func (c *clientCloses) logRefused(closed httpdrain.Closed) {
	if closed.Cause != httpdrain.CauseMemory && closed.Cause != httpdrain.CauseConnections {
		return
	}
	if dropped, allowed := c.refusedLines.Allow(steadyclock.Now()); allowed {
		c.logger.WithFields(logrus.Fields{"cause": closed.Cause, "phase": closed.Phase, "client": closed.Remote, "suppressed": dropped}).Info("connection_closed_for_others")
	}
}

// phaseCounts returns the number of a server's connections by phase, for the log.
func phaseCounts(server *httpdrain.Server) map[string]int {
	return lo.MapKeys(server.Phases(), func(_ int, phase httpdrain.Phase) string { return phase.String() })
}

// unknownRoundTrip is assumed where the operating system does not report the round-trip time.
const unknownRoundTrip = 6 * time.Millisecond

// networkDelayOf returns the part of the client's waiting time that is spent on the network:
// half a round trip for the request and half for the response, and one more for the first
// request of a connection, since the client had to open it.
func networkDelayOf(conn *httpdrain.Conn) time.Duration {
	roundTrip := roundTripOf(conn)
	if conn.Served() == 1 {
		return 2 * roundTrip
	}
	return roundTrip
}

// roundTripOf returns the kernel's estimate of a connection's round-trip time.
func roundTripOf(conn syscall.Conn) time.Duration {
	control, err := conn.SyscallConn()
	if err != nil {
		return unknownRoundTrip
	}
	roundTrip := unknownRoundTrip
	_ = control.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Rtt > 0 {
			roundTrip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return roundTrip
}
