package gateway

import (
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Times for which a router relies on its document.
const (
	// keyValidityShare is the part of Config.RevokeWithin for which a router relies on a
	// document that no directory node confirms; the rest allows for clocks that run at
	// different rates.
	keyValidityShare = 0.95
	// confirmationMaxAge is the greatest age of a confirmation with which a route or key that
	// the document lacks is reported as unknown. After it such requests are refused for now,
	// since a newer document may have the route or key. Nodes confirm every 0.2 s and hold
	// calls for 0.7 s.
	confirmationMaxAge = 1500 * time.Millisecond
)

// Credentials classifies the credentials of a request.
type Credentials uint8

// Kinds of credentials.
const (
	CredentialsNone Credentials = iota
	CredentialsKey
	// CredentialsAmbiguous: there is more than one key, or its format is not known.
	CredentialsAmbiguous
)

// confirmation tells when the active document was last known to be the newest. The zero value
// is that of a router that has received no confirmation.
type confirmation struct {
	at        time.Time
	confirmed bool
	// unsupported is set if the directory sends no confirmations, as nodes of an earlier
	// version.
	unsupported bool
}

// confirm records that the active document was the newest at a time.
func (g *Gateway) confirm(at time.Time) {
	if before := g.confirmed.Load(); before == nil || !before.confirmed || at.After(before.at) {
		g.confirmed.Store(&confirmation{at: at, confirmed: true})
	}
}

// confirmUnsupported records that the directory sends no confirmations.
func (g *Gateway) confirmUnsupported() {
	if held := g.confirmed.Load(); held == nil {
		g.confirmed.Store(&confirmation{unsupported: true})
	}
}

// confirmation returns the confirmation of the document in a table that is loaded after the
// call.
func (g *Gateway) confirmation() confirmation {
	if held := g.confirmed.Load(); held != nil {
		return *held
	}
	return confirmation{}
}

// keysValid reports whether requests may be served by their keys at a time: a key that was
// revoked longer than Config.RevokeWithin ago is no longer in the document.
func (g *Gateway) keysValid(now time.Time, confirmed confirmation) bool {
	within := g.config.RevokeWithin
	return within == 0 || confirmed.confirmed && now.Before(confirmed.at.Add(time.Duration(keyValidityShare*float64(within))))
}

// current reports whether a route or key that the document lacks can be reported as unknown.
func (c confirmation) current(now time.Time) bool {
	return c.unsupported || c.confirmed && now.Sub(c.at) <= confirmationMaxAge
}

// keysExpired reports whether the router can't serve requests that need a key.
func (g *Gateway) keysExpired() bool {
	confirmed, table := g.confirmation(), g.table.Load()
	return table != nil && table.HasTenants() && !g.keysValid(steadyclock.Now(), confirmed)
}

// refuseUnknown refuses a request for a route or key that the document lacks. It uses the
// given status only if the document is confirmed to be current.
func (s *exchangeState) refuseUnknown(status int, reason verdict.Reason) {
	if !s.confirmed.current(steadyclock.Now()) {
		s.refuse(http.StatusServiceUnavailable, verdict.ReasonNoLease, s.retryAfter())
		return
	}
	s.refuse(status, reason, 0)
}

// identify finds the tenant of a request. It returns false if it has refused the request.
func (s *exchangeState) identify(table *routing.Table) bool {
	if !table.HasTenants() {
		return true
	}
	key, credentials := s.gateway.config.Dialect.Key(s.request.Header)
	if credentials == CredentialsKey {
		s.tenant = table.TenantOf(key)
	}
	switch {
	case s.tenant == nil && !s.route.Public:
		s.refuseUnknown(http.StatusUnauthorized, verdict.ReasonUnknownKey)
		return false
	case s.tenant != nil && !s.gateway.keysValid(steadyclock.Now(), s.confirmed):
		s.refuseUnconfirmedKey()
		return false
	}
	if s.tenant != nil && s.tenant.Priority != nil && *s.tenant.Priority != s.route.Priority {
		adjusted := *s.route
		adjusted.Priority = *s.tenant.Priority
		s.route = &adjusted
	}
	return true
}

// recheckKey looks up the key again after the body was read and the tenant's token obtained,
// since either may have taken long. It returns false if it has refused the request.
func (s *exchangeState) recheckKey(before *routing.Table) bool {
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
	if !s.gateway.keysValid(steadyclock.Now(), s.confirmed) {
		s.refuseUnconfirmedKey()
		return false
	}
	return true
}

// refuseUnconfirmedKey refuses a request whose key may have been revoked.
func (s *exchangeState) refuseUnconfirmedKey() {
	s.writer.Header().Set("Connection", "close")
	s.refuse(http.StatusServiceUnavailable, verdict.ReasonNoLease, s.retryAfter())
}

// tenantName returns the name of the request's tenant; empty for none.
func (s *exchangeState) tenantName() string {
	if s.tenant == nil {
		return ""
	}
	return s.tenant.Name
}

// forwardedHeaders returns the headers sent to servers. On a site with tenants they contain no
// key, and name the tenant that this router identified.
func (s *exchangeState) forwardedHeaders(table *routing.Table) message.Header {
	forwarded := endToEndHeaders(s.request.Header)
	if table.HasTenants() {
		s.gateway.config.Dialect.Identify(forwarded, s.tenantName())
	}
	return forwarded
}
