// Package rpc carries connect-go services between the system's own processes:
// HTTP/2 over TLS 1.3 with mutual authentication, or over plaintext if the
// settings enable it explicitly.
//
// Keys come from a keys.Reloader and are read at every handshake, so they can be
// replaced without dropping connections. The roles that may call a service are
// set where it is mounted (RequireRole), the roles that a server may have where
// it is dialed (ClientConfig.ServerRoles).
package rpc
