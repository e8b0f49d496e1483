// Package frontend serves PostgreSQL clients: startup, TLS, authentication and
// the relay with transaction pooling.
//
// A session has one goroutine that reads the client and writes to the server.
// While a server connection is attached, a second goroutine, the relay, reads
// the server and writes to the client. The relay alone decides when the
// connection is released and what a lost connection means for the request.
package frontend
