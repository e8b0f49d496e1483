package lease

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Keys of the lease rows in the store: one row per epoch of a holder, and one
// row for the pool of free units.
const (
	KeyPrefix = "lease/"
	PoolKey   = KeyPrefix + "pool"
)

// HolderKey returns the key of the row of one epoch. Each epoch has its own row,
// so a new process of an instance never modifies the units of its predecessor.
func HolderKey(id string, e Epoch) string {
	return KeyPrefix + "holder/" + id + "/" + strconv.FormatUint(uint64(e), 10)
}

// Row is a row of the store; Version is 0 if it does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write is one conditional write of a transaction. Expected is the version that
// the row must have; 0 means that it must not exist.
type Write struct {
	Key      string
	Value    []byte
	Expected uint64
	Remove   bool
}

// Witness is one process of another instance.
type Witness struct {
	ID string `json:"id"`
	// Start identifies the process; see Epoch.Start.
	Start uint64 `json:"start"`
}

// Record is the value of a holder's row.
type Record struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Epoch Epoch  `json:"epoch"`
	// Renewals counts the writes of the row.
	Renewals  uint64    `json:"renewals"`
	Units     uint32    `json:"units"`
	Witnesses []Witness `json:"witnesses,omitempty"`
}

// Pool is the value of the pool's row. If the row does not exist, all units are
// free. The row is never removed, so its version only increases.
type Pool struct {
	Units uint32 `json:"units"`
}

type poolRow struct {
	Pool
	version uint64
}

// foreignRow is the row of any other epoch, as last read from the store.
type foreignRow struct {
	Record
	version uint64
	// unchangedSince is when the row was first seen with this version; lastReadAt
	// is when the last read that returned the row was sent.
	unchangedSince, lastReadAt time.Time
}

// Encode returns the JSON value of the row.
func (r Record) Encode() []byte { return encode(r) }

// Encode returns the JSON value of the row.
func (p Pool) Encode() []byte { return encode(p) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Unreachable: Record and Pool have only fields that JSON can represent.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode lease row"))
	}
	return b
}

// DecodeRecord decodes and validates the value of a holder's row.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode lease row")
	}
	if r.ID == "" || r.Units > TotalUnits || len(r.Witnesses) > MaxWitnesses {
		return Record{}, errors.Newf("lease row of %q: id is empty, units (%d) exceed %d, or witnesses (%d) exceed %d",
			r.ID, r.Units, TotalUnits, len(r.Witnesses), MaxWitnesses)
	}
	return r, nil
}

// DecodePool decodes and validates the value of the pool's row.
func DecodePool(value []byte) (Pool, error) {
	var p Pool
	if err := json.Unmarshal(value, &p); err != nil {
		return Pool{}, errors.Wrap(err, "decode lease pool row")
	}
	if p.Units > TotalUnits {
		return Pool{}, errors.Newf("lease pool row: units (%d) exceed %d", p.Units, TotalUnits)
	}
	return p, nil
}
