package machinelist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/logging"
)

// Defaults of ClientConfig.
const (
	DefaultInterval = 2 * time.Second
	DefaultTimeout  = time.Second
)

// ClientConfig configures where and how often the list is read.
type ClientConfig struct {
	Address netip.AddrPort
	// Interval is the pause between two reads, Timeout bounds one read. Zero means the
	// default.
	Interval time.Duration
	Timeout  time.Duration
}

// Client reads the platform's list periodically.
type Client struct {
	config     ClientConfig
	httpClient *http.Client
	logger     logrus.FieldLogger
	reads      *prometheus.CounterVec
	machines   prometheus.Gauge

	mutex sync.Mutex
	// latest is the last valid list, machinesText the JSON text of its machines.
	latest       List
	machinesText []byte
}

// NewClient returns a client; it reads nothing before Run or Read. The registerer may be nil.
func NewClient(config ClientConfig, logger logrus.FieldLogger, registerer prometheus.Registerer) (*Client, error) {
	if !config.Address.IsValid() || !config.Address.Addr().Is4() {
		return nil, errors.Newf("platform address %q is not an IPv4 address with a port", config.Address)
	}
	if config.Interval <= 0 {
		config.Interval = DefaultInterval
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	client := &Client{
		config:     config,
		httpClient: &http.Client{Timeout: config.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		logger:     logger.WithField(logging.FieldAddress, config.Address.String()),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_platform_reads_total", Help: "Reads of the platform's list by outcome."}, []string{"outcome"}),
		machines: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "martenstage_platform_machines", Help: "Machines in the last list read."}),
	}
	if registerer == nil {
		return client, nil
	}
	if err := errors.CombineErrors(registerer.Register(client.reads), registerer.Register(client.machines)); err != nil {
		return nil, errors.Wrap(err, "platform metrics")
	}
	return client, nil
}

// Read fetches and validates the list once. If the machines have not changed since the last
// read, the returned slice is shared with that read: the caller must not modify it.
func (c *Client) Read(ctx context.Context) (List, error) {
	url := "http://" + c.config.Address.String() + PathMachines
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, errors.Wrap(err, "platform list")
	}
	reply, err := c.httpClient.Do(request)
	if err != nil {
		return List{}, errors.Wrap(err, "platform list")
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return List{}, errors.Newf("platform list: status %d", reply.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(reply.Body, MaxListBytes+1))
	if err != nil {
		return List{}, errors.Wrap(err, "platform list")
	}
	if len(text) > MaxListBytes {
		return List{}, errors.Newf("platform list: larger than %d bytes", MaxListBytes)
	}
	return c.parse(text)
}

// parse validates a list. The list of a large site seldom changes between two reads, so
// machines with the same text are not validated again.
func (c *Client) parse(text []byte) (List, error) {
	var document struct {
		AsOf     time.Time       `json:"as_of"`
		Machines json.RawMessage `json:"machines"`
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := json.Unmarshal(text, &document); err == nil && len(c.machinesText) > 0 && bytes.Equal(document.Machines, c.machinesText) {
		c.latest.AsOf = document.AsOf
		return c.latest, nil
	}
	list, err := ParseList(text)
	if err == nil {
		c.latest, c.machinesText = list, document.Machines
	}
	return list, err
}

// Run reads the list until the context ends and passes each valid one to handle. After a
// failed read the last list stays in effect. Run logs when reads begin to fail and when they
// succeed again.
func (c *Client) Run(ctx context.Context, handle func(List)) {
	defer c.httpClient.CloseIdleConnections()
	ticker := time.NewTicker(c.config.Interval)
	defer ticker.Stop()
	wasFailing := false
	for {
		list, err := c.Read(ctx)
		if ctx.Err() != nil {
			return
		}
		c.recordRead(list, err, wasFailing)
		wasFailing = err != nil
		if err == nil {
			handle(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Client) recordRead(list List, err error, wasFailing bool) {
	if err != nil {
		c.reads.WithLabelValues("failed").Inc()
		if !wasFailing {
			c.logger.WithError(err).Warning("platform list not readable")
		}
		return
	}
	c.reads.WithLabelValues("read").Inc()
	c.machines.Set(float64(len(list.Machines)))
	if wasFailing {
		c.logger.Info("platform list readable again")
	}
}
