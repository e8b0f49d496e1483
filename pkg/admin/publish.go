package admin

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	pb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

// HeadKey is the row that names the newest bundle.
const HeadKey = "bundle/head"

// Head is the value of the head row.
type Head struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Parent  uint64 `json:"parent"`
	// Publisher is the identity of the operator's key.
	Publisher string `json:"publisher"`
	// PublishID tells a publisher whose answer was lost that the write was its own.
	PublishID string `json:"publishId"`
}

// refusedError says that the bundle itself is at fault; nothing was changed.
type refusedError struct{ cause error }

func (e *refusedError) Error() string { return e.cause.Error() }
func (e *refusedError) Unwrap() error { return e.cause }

// publish makes the bundle the newest one if its parent is the present one.
// After an error other than a refusedError the outcome is not known; the same
// publish with the same identity may be repeated.
func publish(ctx context.Context, cfg Config, r *pb.PublishRequest) (*pb.PublishResponse, error) {
	spec, digest, err := bundle.Open(r.Signed, cfg.Trusted)
	if err == nil {
		_, err = bundle.Compile(spec, digest)
	}
	if err == nil && r.PublishId == "" {
		err = errors.New("publish_id: must not be empty")
	}
	if err != nil {
		return nil, &refusedError{err}
	}
	row, head, err := readHead(ctx, cfg.Store)
	if err != nil {
		return nil, err
	}
	next := Head{Version: spec.Version, Digest: digest, Parent: spec.Parent, PublishID: r.PublishId}
	if next.Publisher, err = bundle.SignerOf(r.Signed); err != nil {
		return nil, &refusedError{err}
	}
	switch {
	case head.PublishID == r.PublishId && head.Digest == digest:
		return &pb.PublishResponse{Version: head.Version, Digest: head.Digest}, nil
	case head.Version != spec.Parent:
		return conflict(ctx, cfg, head, spec)
	}
	if _, err := cfg.Store.PutObject(ctx, r.Signed); err != nil {
		return nil, err
	}
	return moveHead(ctx, cfg, row, next, spec)
}

func readHead(ctx context.Context, store Store) (platform.Row, Head, error) {
	var head Head
	row, err := store.GetRow(ctx, HeadKey)
	if err != nil || row.Version == 0 {
		return row, head, err
	}
	return row, head, errors.Wrap(json.Unmarshal(row.Value, &head), "bundle head row")
}

// moveHead writes the head row. Whatever the answer, the row then tells whether
// this publish or another one won.
func moveHead(ctx context.Context, cfg Config, row platform.Row, next Head, spec bundle.Spec) (*pb.PublishResponse, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode head row")
	}
	_, writeErr := cfg.Store.Transact(ctx, platform.Write{Key: HeadKey, Value: value, Expected: row.Version})
	if writeErr == nil {
		return &pb.PublishResponse{Version: next.Version, Digest: next.Digest}, nil
	}
	_, head, err := readHead(ctx, cfg.Store)
	switch {
	case err != nil:
		return nil, errors.CombineErrors(writeErr, err)
	case head.PublishID == next.PublishID:
		return &pb.PublishResponse{Version: next.Version, Digest: next.Digest}, nil
	case head.Version != spec.Parent:
		return conflict(ctx, cfg, head, spec)
	default:
		return nil, writeErr
	}
}

func conflict(ctx context.Context, cfg Config, head Head, spec bundle.Spec) (*pb.PublishResponse, error) {
	answer := &pb.PublishResponse{
		Version: spec.Version, Conflict: true, Winner: head.Publisher, WinnerVersion: head.Version,
	}
	signed, err := cfg.Store.GetObject(ctx, head.Digest)
	if err != nil {
		return answer, nil // the differences are a help; the refusal stands without them
	}
	if won, _, err := bundle.Open(signed, cfg.Trusted); err == nil {
		answer.Differences = bundle.Diff(won, spec)
	}
	return answer, nil
}
