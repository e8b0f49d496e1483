// Package pace decides how many statements an instance may have in progress at a
// database member, and divides the request rate of a cold member among instances
// (docs/design/pace.md). The package performs no I/O and reads no clock. Its types
// are not safe for concurrent use.
package pace
