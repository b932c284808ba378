// Package httpdrain serves HTTP/1.1 on connections that know whether anything of a request has
// been read from them since the last response.
//
// net/http takes a connection for idle until it has parsed the header of the next request, and
// http.Server.Shutdown closes idle connections. A request whose bytes the process has read, but
// not parsed, is then dropped. A Server in this package ends a connection by ending its pending
// read: what that read returned is served, and only a connection on which it returned nothing is
// closed.
package httpdrain
