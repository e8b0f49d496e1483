// Package admission controls the use of the connections to database members. A
// queue orders the waiting requests, fairly between workspaces and, as an option, by
// priority (docs/design/admission.md). From its order follow the expected wait of a new
// request, its refusal and the time after which it is to be retried. A budget shares the
// connections among instances, and rate limits bound how fast connections are opened and
// how fast load returns to a member (docs/design.md, section 6). The package performs no
// I/O and reads no clock. Its types are not safe for concurrent use.
package admission
