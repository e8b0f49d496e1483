package lease

import "time"

// Epoch identifies one lease of an instance and is never reused. The upper 48
// bits are the start time of the process in Unix milliseconds, the lower 16 bits
// count the leases of that process. An epoch therefore also identifies the
// process, which matters for witnesses: a restarted witness has lost its
// promises and counts as a different witness.
type Epoch uint64

const leaseBits = 16

// NewEpoch returns the first epoch of a process that started at the given time.
func NewEpoch(start time.Time) Epoch { return Epoch(uint64(start.UnixMilli()) << leaseBits) }

// Start returns the start time of the process in Unix milliseconds, which
// identifies the process.
func (e Epoch) Start() uint64 { return uint64(e) >> leaseBits }

// Next returns the next epoch of the same process.
func (e Epoch) Next() Epoch { return e + 1 }
