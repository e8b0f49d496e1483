// Package platform is the product's client of the platform's table service,
// object store and instance list.
package platform

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrConflict reports that a row did not have the expected version, so nothing
// was written. Any other error of a write leaves its outcome unknown: read the
// row back before trying again.
var ErrConflict = errors.New("row version conflict")

// ErrNotFound reports that no object has the digest.
var ErrNotFound = errors.New("object not found")

// Row is one row of the table service. Version is 0 if the row does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write is one write of a transaction, conditional on the row's version.
type Write struct {
	Key      string
	Value    []byte
	Expected uint64
	Remove   bool
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

// Store is all that the product asks of the platform. Every method honours the
// context's deadline.
type Store interface {
	GetRow(ctx context.Context, key string) (Row, error)
	ListRows(ctx context.Context, prefix string) ([]Row, error)
	// Transact applies all writes or none and returns the rows written.
	Transact(ctx context.Context, writes ...Write) ([]Row, error)
	// PutObject stores immutable bytes and returns their hex SHA-256 digest.
	PutObject(ctx context.Context, data []byte) (string, error)
	GetObject(ctx context.Context, digest string) ([]byte, error)
	// Instances returns the list of live and leaving instances, which may lag.
	Instances(ctx context.Context) ([]Instance, error)
	// Register adds or updates this instance in the list.
	Register(ctx context.Context, self Instance) error
}
