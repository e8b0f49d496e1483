// Package consistency decides which member of a database group may serve a
// read so that every session reads its own writes (docs/design.md, section 5).
// It also signs and verifies the session tokens with which a client takes this
// guarantee from one instance to another. It performs no I/O and reads no clock.
//
// A floor is a log position that the visible state of a member must have reached
// before the member may serve a read.
package consistency
