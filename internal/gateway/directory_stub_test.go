package gateway_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// directoryStub is a directory node whose replies a test sets.
type directoryStub struct {
	mutex sync.Mutex
	reply directory.FollowReply
	// quarantineTable holds the requests that crash servers. refusesOrders makes all orders
	// about them fail, refusesReports only reports.
	quarantineTable quarantine.Ledger
	refusesOrders   bool
	refusesReports  bool
	// clearDelay is how long orders that end a suspicion take.
	clearDelay time.Duration
	orders     []quarantine.Command
	// ledger is the spending of tenants; nil while no leader is reachable. metered are the
	// tenants that need a token for each request.
	ledger *quota.Ledger
	// recalled is the latest message in which a router recalled what it admitted.
	recalled quota.Message
	metered  []string
	// down makes follow requests fail.
	down bool
	// load is the view of load, valid as of loadAt; nil for a node that knows of none. loadHold is
	// how long replies that carry it are held back.
	load     *loadview.View
	loadAt   time.Time
	loadHold time.Duration
	// loadHeld counts the replies that are or were held back.
	loadHeld atomic.Int64
	// hold is how long further calls without updates are held, at most as long as the router allows.
	hold time.Duration
	// followed is the last follow request.
	followed directory.FollowRequest
	// calls counts follow requests and probes.
	calls atomic.Int64
	// observed is the last rollout report of the router.
	observed directory.RolloutReport
}

func (d *directoryStub) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == directory.PathQuarantine {
		d.serveOrders(writer, request)
		return
	}
	if request.URL.Path == directory.PathRollouts {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.observed = directory.RolloutReport{}
		_ = json.NewDecoder(request.Body).Decode(&d.observed)
		return
	}
	if request.URL.Path == directory.PathQuota {
		d.serveQuota(writer, request)
		return
	}
	var follow directory.FollowRequest
	_ = json.NewDecoder(request.Body).Decode(&follow)
	d.calls.Add(1)
	d.mutex.Lock()
	if d.down {
		d.mutex.Unlock()
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	d.followed = follow
	reply, hold, longest := d.reply, time.Duration(0), d.hold
	if d.load != nil && (d.load.Term != follow.LoadTerm || d.load.Revision != follow.LoadRevision) {
		validAt := steadyclock.Until(d.loadAt)
		reply.Load, reply.LoadAt, hold = d.load, &validAt, d.loadHold
	}
	reply.QuarantineRevision, reply.QuarantineEntries = d.quarantineTable.Revision, d.quarantineTable.Entries()
	if len(d.metered) > 0 {
		reply.Metered, reply.MeteredDigest = d.metered, 1
	}
	d.mutex.Unlock()
	if hold > 0 {
		d.loadHeld.Add(1)
		time.Sleep(hold)
	}
	reply.RouterCount = max(1, reply.RouterCount)
	if reply.Version <= follow.Version {
		reply.Version, reply.Document = 0, nil
		time.Sleep(max(20*time.Millisecond, min(longest, follow.Wait)))
	}
	_ = json.NewEncoder(writer).Encode(reply)
}

// serveQuota handles a router's report of spending and its requests for tokens.
func (d *directoryStub) serveQuota(writer http.ResponseWriter, request *http.Request) {
	var message quota.Message
	_ = json.NewDecoder(request.Body).Decode(&message)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ledger == nil {
		http.Error(writer, "no leader", http.StatusServiceUnavailable)
		return
	}
	if message.Recall != nil {
		d.recalled = message
	}
	_ = json.NewEncoder(writer).Encode(d.ledger.Process(time.Now(), message))
}

// serveOrders handles orders about requests that crash servers.
func (d *directoryStub) serveOrders(writer http.ResponseWriter, request *http.Request) {
	var batch directory.QuarantineOrders
	_ = json.NewDecoder(request.Body).Decode(&batch)
	d.delayClears(batch.Orders)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reports := slices.ContainsFunc(batch.Orders, func(o quarantine.Command) bool { return o.Kind == quarantine.Report })
	if d.refusesOrders || d.refusesReports && reports {
		http.Error(writer, "no leader", http.StatusServiceUnavailable)
		return
	}
	var reply directory.QuarantineReply
	for _, order := range batch.Orders {
		reply.Outcomes = append(reply.Outcomes, d.quarantineTable.Apply(order))
	}
	d.orders = append(d.orders, batch.Orders...)
	reply.Revision = d.quarantineTable.Revision
	_ = json.NewEncoder(writer).Encode(reply)
}

// delayClears waits for clearDelay if orders end a suspicion.
func (d *directoryStub) delayClears(orders []quarantine.Command) {
	d.mutex.Lock()
	delay := d.clearDelay
	d.mutex.Unlock()
	if slices.ContainsFunc(orders, func(o quarantine.Command) bool { return o.Kind == quarantine.Clear }) {
		time.Sleep(delay)
	}
}

// applyOrders applies orders of the test itself.
func (d *directoryStub) applyOrders(orders ...quarantine.Command) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, order := range orders {
		d.quarantineTable.Apply(order)
	}
}

// records returns the requests that crash servers.
func (d *directoryStub) records() []quarantine.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.quarantineTable.Records)
}

// addServer adds a server to the stub's replies.
func (d *directoryStub) addServer(id, service, zone, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reply.Instances = append(d.reply.Instances, registry.Instance{
		ID: id, Service: service, Address: address, Zone: zone, Slots: 2, State: registry.Ready,
	})
}
