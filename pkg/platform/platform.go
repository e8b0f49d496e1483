// Package platform is the product's client of the platform's table service,
// object store and instance list.
package platform

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrConflict reports that a row did not have the expected version and that nothing
// was written. After any other error of a write its outcome is unknown; read the row
// before retrying.
var ErrConflict = errors.New("row version conflict")

// ErrNotFound reports that the object store has no object with the digest.
var ErrNotFound = errors.New("object not found")

// Row is one row of the table service. Version is 0 if the row does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	// Era is the number of times that the store was restored from a copy; only GetRow
	// sets it.
	Era uint64
}

// Write is one write of a transaction. It is conditional on the row's version; an
// expected version of 0 means that the row must not exist.
type Write struct {
	Key             string
	Value           []byte
	ExpectedVersion uint64
	Remove          bool
}

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID            string
	Zone          string
	PeerAddress   string
	ClientAddress string
	AdminAddress  string
	Leaving       bool
	Epoch         uint64
}

// Store is the set of platform calls that the product uses. All methods observe the
// context's deadline.
type Store interface {
	GetRow(ctx context.Context, key string) (Row, error)
	ListRows(ctx context.Context, prefix string) ([]Row, error)
	// Transact applies all writes or none and returns the rows written.
	Transact(ctx context.Context, writes ...Write) ([]Row, error)
	// PutObject stores the data as an immutable object and returns its SHA-256 digest
	// in hexadecimal.
	PutObject(ctx context.Context, data []byte) (string, error)
	GetObject(ctx context.Context, digest string) ([]byte, error)
	// Instances returns the live and the leaving instances. The list may be out of date.
	Instances(ctx context.Context) ([]Instance, error)
	// Register adds or updates this instance in the list.
	Register(ctx context.Context, self Instance) error
}
