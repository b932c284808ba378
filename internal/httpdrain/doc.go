// Package httpdrain serves HTTP/1.1 on connections that know whether anything of a request has
// been read from them since the last response.
package httpdrain
