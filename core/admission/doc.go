// Package admission controls the use of the connections to database members. A
// fair queue shares them among workspaces, a budget shares them among instances,
// and rate limits bound how fast connections are opened and how fast load returns
// to a member (docs/design.md, section 6). The package performs no I/O and reads
// no clock. Its types are not safe for concurrent use.
package admission
