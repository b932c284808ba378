// Package exchange sends attempts to servers over kept HTTP/1.1 connections and
// reads their complete replies. It makes no routing decisions: the engine (package
// scatter) bounds how many attempts, and so connections, a server gets.
//
// Only a complete reply to this request counts: it has to carry the request's ID, and the
// connection must not have carried the request before, since a server may repeat a reply later.
// One that is truncated or has a content encoding is an error, and unexpected bytes
// after it cost the connection. This package never sends a request twice.
//
// How IDs, deadlines, stamps and loads are encoded is up to a Codec.
package exchange
