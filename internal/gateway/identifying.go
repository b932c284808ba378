package gateway

import (
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Times of what a router believes of its document.
const (
	// keyShare of the time within which a key that was taken away has to be refused is for
	// how long a router goes by a document that no directory node confirms; the rest is for
	// clocks that run at different rates.
	keyShare = 0.95
	// certainFor is how long a router may say that something is unknown to every document,
	// a route or a key. Later it refuses for now: a newer document may have it. Nodes
	// confirm each 0.2 s and hold calls for 0.7 s.
	certainFor = 1500 * time.Millisecond
)

// Credentials say what a request carries to show who sends it.
type Credentials uint8

// The credentials.
const (
	CredentialsNone Credentials = iota
	CredentialsKey
	// CredentialsUnclear: there is more than one, or they have another form.
	CredentialsUnclear
)

// confirmation is since when the document in force is known to be the newest; the zero value
// is of a router that was told nothing yet.
type confirmation struct {
	at   time.Time
	told bool
	// untold says that the directory does not tell, as nodes of an earlier version.
	untold bool
}

// confirm takes in that the document in force was the newest at a time.
func (g *Gateway) confirm(at time.Time) {
	if before := g.confirmed.Load(); before == nil || !before.told || at.After(before.at) {
		g.confirmed.Store(&confirmation{at: at, told: true})
	}
}

// confirmUntold takes in that the directory does not tell how new its document is.
func (g *Gateway) confirmUntold() {
	if held := g.confirmed.Load(); held == nil {
		g.confirmed.Store(&confirmation{untold: true})
	}
}

// confirmation returns what is known of the document that a table read after the call has.
func (g *Gateway) confirmation() confirmation {
	if held := g.confirmed.Load(); held != nil {
		return *held
	}
	return confirmation{}
}

// keysHold reports whether requests may be served by their keys at a time: whatever key was
// taken away longer than the bound ago is not in the document any more.
func (g *Gateway) keysHold(now time.Time, confirmed confirmation) bool {
	within := g.config.RevokeWithin
	return within == 0 || confirmed.told && now.Before(confirmed.at.Add(time.Duration(keyShare*float64(within))))
}

// certain reports whether what the document does not have can be called unknown.
func (c confirmation) certain(now time.Time) bool {
	return c.untold || c.told && now.Sub(c.at) <= certainFor
}

// keysLapsed reports whether the router can serve no requests that need a key.
func (g *Gateway) keysLapsed() bool {
	confirmed, table := g.confirmation(), g.table.Load()
	return table != nil && table.HasTenants() && !g.keysHold(steadyclock.Now(), confirmed)
}

// refuseUnknown answers a request for something that the document does not have, with a
// status of its own if that is certain.
func (s *exchangeState) refuseUnknown(status int, reason verdict.Reason) {
	if !s.confirmed.certain(steadyclock.Now()) {
		s.refuse(http.StatusServiceUnavailable, verdict.ReasonNoLease, s.comeBack())
		return
	}
	s.refuse(status, reason, 0)
}

// identify finds the tenant of a request. It reports whether the request is to be served;
// else it was refused.
func (s *exchangeState) identify(table *routing.Table) bool {
	if !table.HasTenants() {
		return true
	}
	key, given := s.gateway.config.Dialect.Key(s.request.Header)
	if given == CredentialsKey {
		s.tenant = table.TenantOf(key)
	}
	switch {
	case s.tenant == nil && !s.route.Public:
		s.refuseUnknown(http.StatusUnauthorized, verdict.ReasonUnknownKey)
		return false
	case s.tenant != nil && !s.gateway.keysHold(steadyclock.Now(), s.confirmed):
		s.refuseLapsed()
		return false
	}
	if s.tenant != nil && s.tenant.Priority != nil && *s.tenant.Priority != s.route.Priority {
		ranked := *s.route
		ranked.Priority = *s.tenant.Priority
		s.route = &ranked
	}
	return true
}

// identifyAgain looks the key up once more, after the body and the tenant's token: the client may have
// taken its time for the one, a directory node for the other. It reports whether the request is to be
// served; else it was refused.
func (s *exchangeState) identifyAgain(before *routing.Table) bool {
	if s.tenant == nil {
		return true
	}
	s.confirmed = s.gateway.confirmation()
	if current := s.gateway.table.Load(); current != before && current.HasTenants() {
		key, _ := s.gateway.config.Dialect.Key(s.request.Header)
		if current.TenantOf(key) == nil && !s.route.Public {
			s.refuseUnknown(http.StatusUnauthorized, verdict.ReasonUnknownKey)
			return false
		}
	}
	if !s.gateway.keysHold(steadyclock.Now(), s.confirmed) {
		s.refuseLapsed()
		return false
	}
	return true
}

// refuseLapsed refuses a request whose key may have been taken away.
func (s *exchangeState) refuseLapsed() {
	s.writer.Header().Set("Connection", "close")
	s.refuse(http.StatusServiceUnavailable, verdict.ReasonNoLease, s.comeBack())
}

// tenantName returns that of the request's tenant; empty for none.
func (s *exchangeState) tenantName() string {
	if s.tenant == nil {
		return ""
	}
	return s.tenant.Name
}

// passedHeaders returns the headers that servers get. Of a site with tenants they hold no key,
// and the tenant's name is the one that was found here.
func (s *exchangeState) passedHeaders(table *routing.Table) message.Header {
	passed := passedOn(s.request.Header)
	if table.HasTenants() {
		s.gateway.config.Dialect.Identify(passed, s.tenantName())
	}
	return passed
}
