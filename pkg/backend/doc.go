// Package backend manages the connections of one instance to the members of a
// database group: control connections, which probe, fence and promote members and
// confirm commits, and pools of connections for the transactions of client
// sessions.
//
// A Group has two kinds of callers. The control goroutine (package control) sets
// its View and receives the results of probes. Client sessions call Acquire,
// Confirm and SampleFloor. Errors are *verdict.Error with the verdict NotRun unless
// a method states otherwise.
//
// A floor is a log position that the visible state of a member must have reached
// before the member may serve a read. A request is held while no member can be
// chosen for it, for example while there is no primary.
package backend
