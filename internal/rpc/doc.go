// Package rpc carries connect-go services between the system's own processes:
// HTTP/2 over TLS 1.3 where both sides prove who they are, or over plaintext
// when the settings say so explicitly.
//
// Keys come from a keys.Reloader and are looked up at every handshake, so new
// ones are used without dropping connections. Which role may call a service is
// stated where the service is mounted (RequireRole); which role a server must
// have is stated where it is dialed (ClientConfig.ServerRoles).
package rpc
