package lease

import "time"

// Epoch identifies one lease of an instance and is never used again. The upper
// 48 bits are the start of the process in Unix milliseconds, the lower 16 bits
// count the leases of that process, so that an epoch also identifies the
// process: a witness that restarts has forgotten its promises and is another
// witness.
type Epoch uint64

const leaseBits = 16

// NewEpoch returns the first epoch of a process that started at the time.
func NewEpoch(start time.Time) Epoch { return Epoch(uint64(start.UnixMilli()) << leaseBits) }

// Start identifies the process.
func (e Epoch) Start() uint64 { return uint64(e) >> leaseBits }

// Next returns the process's next epoch.
func (e Epoch) Next() Epoch { return e + 1 }
