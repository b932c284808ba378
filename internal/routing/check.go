package routing

import "fmt"

// InvalidError reports why a document is invalid and may not become active.
type InvalidError struct{ Detail string }

// Error returns the reason.
func (e *InvalidError) Error() string { return "the document is not valid: " + e.Detail }

// Check returns nil for a valid document, or an *InvalidError for the first fault.
func (d *Document) Check() error {
	if d.Version == 0 {
		return invalid("it has no version")
	}
	services := make(map[string]bool, len(d.Services))
	for _, service := range d.Services {
		if service.Name == "" || services[service.Name] {
			return invalid("service name %q is empty or duplicate", service.Name)
		}
		services[service.Name] = true
	}
	places := make(map[hostPrefix]string, len(d.Routes))
	for index := range d.Routes {
		route := &d.Routes[index]
		if err := route.check(services); err != nil {
			return err
		}
		at := hostPrefix{canonicalHost(route.Host), route.Prefix}
		if other, taken := places[at]; taken {
			return invalid("routes %q and %q share host %s and prefix %s", other, route.Name, route.Host, route.Prefix)
		}
		places[at] = route.Name
	}
	return checkTenants(d.Tenants)
}

// checkTenants rejects tenants that can't be distinguished. Its errors contain tenant
// names, but never a key.
func checkTenants(tenants []Tenant) error {
	names := make(map[string]bool, len(tenants))
	tenantByKey := make(map[string]string)
	for _, tenant := range tenants {
		if tenant.Name == "" || names[tenant.Name] {
			return invalid("tenant name %q is empty or duplicate", tenant.Name)
		}
		names[tenant.Name] = true
		if tenant.Rate < 0 || tenant.Burst < 0 {
			return invalid("tenant %q has a negative rate or burst", tenant.Name)
		}
		for _, key := range tenant.Keys {
			if other, found := tenantByKey[key]; found && other != tenant.Name {
				return invalid("tenants %q and %q share a key", other, tenant.Name)
			}
			tenantByKey[key] = tenant.Name
		}
	}
	return nil
}

// hostPrefix is the host and path prefix of a route, unique in a document.
type hostPrefix struct{ host, prefix string }

func (r *Route) check(services map[string]bool) error {
	if r.Timeout <= 0 {
		return invalid("route %q has no timeout", r.Name)
	}
	if (len(r.Targets) == 0) == (len(r.Shards) == 0) {
		return invalid("route %q names no service, or both shards and services", r.Name)
	}
	weights := 0
	for _, target := range r.Targets {
		if !services[target.Service] {
			return invalid("route %q names the unknown service %q", r.Name, target.Service)
		}
		if target.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		weights += target.Weight
	}
	if len(r.Targets) > 0 && weights == 0 {
		return invalid("the weights of route %q sum to 0", r.Name)
	}
	return r.checkShards(services)
}

func (r *Route) checkShards(services map[string]bool) error {
	seen := make(map[string]bool, len(r.Shards))
	for _, shard := range r.Shards {
		if !services[shard] {
			return invalid("route %q names the unknown service %q", r.Name, shard)
		}
		if seen[shard] {
			return invalid("route %q names the shard %q twice", r.Name, shard)
		}
		seen[shard] = true
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return &InvalidError{Detail: fmt.Sprintf(format, arguments...)}
}
