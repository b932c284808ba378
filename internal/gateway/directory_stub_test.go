package gateway_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/registry"
)

// directoryStub answers routers with what a test set.
type directoryStub struct {
	mutex sync.Mutex
	reply directory.FollowReply
	// book holds the requests that end servers; refuses makes orders about them fail,
	// refusesReports just reports.
	book           quarantine.Book
	refuses        bool
	refusesReports bool
	orders         []quarantine.Order
	// ledger is what tenants spend; nil while no leader is reached. metered are those whose
	// requests each need a token.
	ledger  *quota.Ledger
	metered []string
	// down has the directory answer routers' calls for news with a failure.
	down bool
	// calls counts the calls for news and probes.
	calls atomic.Int64
	// observed is what the router told last of roll-outs.
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
	var asked directory.FollowRequest
	_ = json.NewDecoder(request.Body).Decode(&asked)
	d.calls.Add(1)
	d.mutex.Lock()
	if d.down {
		d.mutex.Unlock()
		http.Error(writer, "down", http.StatusServiceUnavailable)
		return
	}
	reply := d.reply
	reply.Quarantine, reply.QuarantineEntries = d.book.Revision, d.book.Entries()
	if len(d.metered) > 0 {
		reply.Metered, reply.MeteredDigest = d.metered, 1
	}
	d.mutex.Unlock()
	reply.RouterCount = max(1, reply.RouterCount)
	if reply.Version <= asked.Version {
		reply.Version, reply.Document = 0, nil
		time.Sleep(20 * time.Millisecond)
	}
	_ = json.NewEncoder(writer).Encode(reply)
}

// serveQuota takes in what a router spent and wants.
func (d *directoryStub) serveQuota(writer http.ResponseWriter, request *http.Request) {
	var told quota.Message
	_ = json.NewDecoder(request.Body).Decode(&told)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ledger == nil {
		http.Error(writer, "no leader", http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(writer).Encode(d.ledger.Take(time.Now(), told))
}

// serveOrders carries out orders about requests that end servers.
func (d *directoryStub) serveOrders(writer http.ResponseWriter, request *http.Request) {
	var asked directory.QuarantineOrders
	_ = json.NewDecoder(request.Body).Decode(&asked)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reports := slices.ContainsFunc(asked.Orders, func(o quarantine.Order) bool { return o.Kind == quarantine.Report })
	if d.refuses || d.refusesReports && reports {
		http.Error(writer, "no leader", http.StatusServiceUnavailable)
		return
	}
	var reply directory.QuarantineReply
	for _, order := range asked.Orders {
		reply.Outcomes = append(reply.Outcomes, d.book.Apply(order))
	}
	d.orders = append(d.orders, asked.Orders...)
	reply.Revision = d.book.Revision
	_ = json.NewEncoder(writer).Encode(reply)
}

// give carries out orders of a test's own.
func (d *directoryStub) give(orders ...quarantine.Order) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, order := range orders {
		d.book.Apply(order)
	}
}

// records returns the requests that end servers.
func (d *directoryStub) records() []quarantine.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.book.Records)
}

// addServer makes the stub tell of a server.
func (d *directoryStub) addServer(id, service, zone, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reply.Instances = append(d.reply.Instances, registry.Instance{
		ID: id, Service: service, Address: address, Zone: zone, Slots: 2, State: registry.Ready,
	})
}
