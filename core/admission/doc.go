// Package admission divides the connections to database members: between
// workspaces by a fair queue, between instances by a budget, and over time by
// bounded rates of opening and ramping up (docs/design.md, section 6). It
// performs no I/O and reads no clock; the owner of each value serializes calls.
package admission
