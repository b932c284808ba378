package routing

import (
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds the route of a request in one document. It is safe for
// concurrent use.
type Table struct {
	document *Document
	// byHost holds the routes of a host, longest prefix first.
	byHost     map[string][]*Route
	services   map[string]*Service
	shardLists [][]string
	keys       keyring
}

// NewTable indexes a checked document. It changes the document: equal shard lists become
// shared between routes, and the keys of tenants are removed, as the table stores only
// their seeded digests.
func NewTable(document *Document, seed KeySeed) *Table {
	table := &Table{
		document: document, keys: newKeyring(document.Tenants, seed),
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(document.Services)),
	}
	for index := range document.Routes {
		route := &document.Routes[index]
		if route.Gathers() {
			route.Shards = table.internShards(route.Shards)
		}
		host := canonicalHost(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for index := range document.Services {
		table.services[document.Services[index].Name] = &document.Services[index]
	}
	return table
}

// internShards returns the shared copy of a list of shards, so that a large document
// holds each distinct list only once, and so do results computed from it.
func (t *Table) internShards(shards []string) []string {
	for _, list := range t.shardLists {
		if slices.Equal(list, shards) {
			return list
		}
	}
	t.shardLists = append(t.shardLists, shards)
	return shards
}

// ShardLists returns the distinct shard lists of the document's routes. Routes with equal
// lists share one of them.
func (t *Table) ShardLists() [][]string { return t.shardLists }

// Document returns the document that the table was made from.
func (t *Table) Document() *Document { return t.document }

// NeedsKey reports whether requests of a route need the key of a tenant.
func (t *Table) NeedsKey(route *Route) bool { return t.HasTenants() && !route.Public }

// HasTenants reports whether the document names tenants.
func (t *Table) HasTenants() bool { return len(t.document.Tenants) > 0 }

// TenantOf returns the tenant that holds a key, or nil.
func (t *Table) TenantOf(key string) *Tenant { return t.keys.find(key) }

// Find returns the route of the host with the longest matching path prefix, or nil.
// A port in the host is ignored.
func (t *Table) Find(host, path string) *Route {
	for _, route := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns a service of the document, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ServiceOf returns the service that answers a request of a route without shards.
// Requests are split by a hash of their ID, so that the choice needs no state and is
// the same on every router.
func (r *Route) ServiceOf(requestID string) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total == 0 {
		return ""
	}
	position := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, target := range r.Targets {
		if position < target.Weight {
			return target.Service
		}
		position -= target.Weight
	}
	return ""
}

// canonicalHost returns a host in lower case and without a port.
func canonicalHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
