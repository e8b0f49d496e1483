// Package consistency decides which member of a database group may serve a
// read so that every session reads its own writes (docs/design.md, section 5).
// It also signs and verifies the session tokens that carry a session's floor
// from one instance to another. It performs no I/O and reads no clock.
package consistency
