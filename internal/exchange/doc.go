// Package exchange sends attempts to servers over HTTP/1.1 connections that it
// keeps, and reads their answers whole. It decides nothing: the engine (package
// scatter) bounds how many attempts, and so connections, a server gets.
//
// An answer counts only as a whole one to this request: it has to carry the
// request's id, and anything cut short, encoded, or with bytes behind it is
// either refused or costs the connection. Nothing is ever sent a second time by
// this package.
//
// How ids, deadlines, stamps and loads are written is the business of a Codec.
package exchange
