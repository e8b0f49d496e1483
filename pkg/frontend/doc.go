// Package frontend serves PostgreSQL clients: it performs startup, TLS and
// authentication and relays requests to pooled server connections, one
// transaction at a time.
//
// Each session has one client goroutine, which reads from the client and writes
// to the server. While a server connection is attached, a second goroutine, the
// relay, reads from the server and writes to the client. Only the relay decides
// when the connection is released, and which outcome the client gets when the
// connection is lost.
//
// The floor of a session is the log position that a member's visible state must
// have reached before the session may read from it. Each confirmed write raises
// it, so that a session reads its own writes.
package frontend
