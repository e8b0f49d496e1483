package lease

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// The rows of the table service: one per epoch of a holder, one for the pool.
const (
	KeyPrefix = "lease/"
	PoolKey   = KeyPrefix + "pool"
)

// HolderKey returns the key of the row of one epoch. Each epoch has its own row,
// so that a new process of an instance never touches its predecessor's units.
func HolderKey(id string, e Epoch) string {
	return KeyPrefix + "holder/" + id + "/" + strconv.FormatUint(uint64(e), 10)
}

// Row is a row of the table service; Version is 0 if it does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write is one conditional write of a transaction. Expected is 0 for a row that
// must not exist.
type Write struct {
	Key      string
	Value    []byte
	Expected uint64
	Remove   bool
}

// Witness is one process of a fellow instance.
type Witness struct {
	ID string `json:"id"`
	// Start identifies the process, see Epoch.Start.
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

// Pool is the value of the pool's row. A missing row means that all units are
// free; the row is never removed, so its version only grows.
type Pool struct {
	Units uint32 `json:"units"`
}

type poolRow struct {
	Pool
	version uint64
}

type foreignRow struct {
	Record
	version uint64
	// since is when the row was first seen with this version, read when the last
	// read that showed it was sent.
	since, read time.Time
}

// Encode returns the value of the row.
func (r Record) Encode() []byte { return encode(r) }

// Encode returns the value of the row.
func (p Pool) Encode() []byte { return encode(p) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Neither type has a field that JSON cannot represent.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode lease row"))
	}
	return b
}

// DecodeRecord reads the value of a holder's row. The error names the field.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "lease row")
	}
	if r.ID == "" || r.Units > TotalUnits || len(r.Witnesses) > MaxWitnesses {
		return Record{}, errors.Newf("lease row of %q: id is empty, units (%d) exceed %d, or witnesses (%d) exceed %d",
			r.ID, r.Units, TotalUnits, len(r.Witnesses), MaxWitnesses)
	}
	return r, nil
}

// DecodePool reads the value of the pool's row.
func DecodePool(value []byte) (Pool, error) {
	var p Pool
	if err := json.Unmarshal(value, &p); err != nil {
		return Pool{}, errors.Wrap(err, "pool row")
	}
	if p.Units > TotalUnits {
		return Pool{}, errors.Newf("pool row: units (%d) exceed %d", p.Units, TotalUnits)
	}
	return p, nil
}
