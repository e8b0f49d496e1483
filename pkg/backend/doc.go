// Package backend owns the sockets towards the members of a database group: the
// control connections that probe, fence, promote and confirm, and the pooled
// connections that carry the transactions of client sessions.
//
// A Group is driven by two sides. The control goroutine sets its View and
// receives the results of probes; client sessions call Acquire, Confirm and
// SampleFloor. Errors are *verdict.Error with the verdict NotRun unless a method
// states otherwise.
package backend
