package admin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/pkg/platform"
	pb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

// publishAttempts bounds how often a write without an answer is resolved.
const publishAttempts = 5

// candidate is a verified bundle on its way to the head.
type candidate struct {
	signed []byte
	spec   bundle.Spec
	head   bundle.Head
}

// Publish verifies a signed bundle and moves the head on to it if its parent is
// the present head. A call with a publish_id that has succeeded before
// succeeds again, so a caller may repeat it after a lost answer.
func (s *Server) Publish(ctx context.Context, req *pb.PublishRequest) (*pb.PublishResponse, error) {
	c, err := s.verify(req)
	if err != nil {
		return nil, err
	}
	// Objects are stored under their digest, so storing one twice is harmless.
	if digest, err := s.store.PutObject(ctx, c.signed); err != nil {
		return nil, unavailable(errors.Wrap(err, "store the signed bundle"))
	} else if digest != c.head.Digest {
		return nil, twirp.InternalErrorf("the store has digest %s for bundle %s", digest, c.head.Digest)
	}
	for attempt := 1; ; attempt++ {
		resp, err := s.moveHead(ctx, c)
		if err == nil || attempt == publishAttempts {
			return resp, unavailable(errors.Wrap(err, "outcome unknown, repeat with the same publish id"))
		}
		select {
		case <-ctx.Done():
			return nil, unavailable(errors.Wrap(err, "outcome unknown, repeat with the same publish id"))
		case <-time.After(s.retryAfter):
		}
	}
}

// verify checks everything that does not need the store.
func (s *Server) verify(req *pb.PublishRequest) (*candidate, error) {
	if req.PublishId == "" {
		return nil, twirp.RequiredArgumentError("publish_id")
	}
	spec, digest, err := bundle.Open(req.Signed, s.trusted)
	switch {
	case errors.Is(err, bundle.ErrUntrusted), errors.Is(err, bundle.ErrSignature):
		return nil, twirp.PermissionDenied.Error(err.Error())
	case err != nil:
		return nil, twirp.InvalidArgumentError("signed", err.Error())
	}
	if _, err := bundle.Compile(spec, digest); err != nil {
		return nil, twirp.InvalidArgumentError("signed", err.Error())
	}
	_, keyID, err := bundle.Inspect(req.Signed)
	if err != nil {
		return nil, twirp.InvalidArgumentError("signed", err.Error())
	}
	return &candidate{signed: req.Signed, spec: spec, head: bundle.Head{
		Version: spec.Version, Digest: digest, Parent: spec.Parent, Publisher: keyID, PublishID: req.PublishId,
	}}, nil
}

// moveHead reads the head and, if it is still the parent, replaces it by
// compare-and-set. An error leaves the outcome unknown; the next call resolves
// it, because the head then carries the publish identity or has not moved.
func (s *Server) moveHead(ctx context.Context, c *candidate) (*pb.PublishResponse, error) {
	row, err := s.store.GetRow(ctx, bundle.HeadKey)
	if err != nil {
		return nil, err
	}
	head, err := bundle.ParseHead(row.Value)
	switch {
	case err != nil:
		return nil, err
	case head.PublishID == c.head.PublishID && head.Digest == c.head.Digest:
		return c.published(), nil
	case head.ParentDigest == c.head.Digest:
		// This bundle became the head and has already been built upon.
		return c.published(), nil
	case head.Version != c.spec.Parent:
		return s.conflict(ctx, c, head), nil
	}
	next := c.head
	next.ParentDigest = head.Digest
	value, err := next.Encode()
	if err != nil {
		return nil, err
	}
	_, err = s.store.Transact(ctx, platform.Write{Key: bundle.HeadKey, Value: value, ExpectedVersion: row.Version})
	if err != nil {
		// A conflict too is resolved by reading back: the winner may be this
		// very publish, when an earlier write of it took effect late.
		return nil, err
	}
	return c.published(), nil
}

func (c *candidate) published() *pb.PublishResponse {
	return &pb.PublishResponse{Version: c.head.Version, Digest: c.head.Digest}
}

// conflict says who won and how the winner differs from the candidate.
func (s *Server) conflict(ctx context.Context, c *candidate, winner bundle.Head) *pb.PublishResponse {
	resp := &pb.PublishResponse{
		Conflict: true, Version: c.spec.Version, Digest: c.head.Digest,
		Winner: winner.Publisher, WinnerVersion: winner.Version,
	}
	if winner.Version == 0 {
		return resp
	}
	signed, err := s.store.GetObject(ctx, winner.Digest)
	if err == nil {
		var spec bundle.Spec
		if spec, _, err = bundle.Open(signed, s.trusted); err == nil {
			resp.Differences = bundle.Diff(spec, c.spec)
			return resp
		}
	}
	resp.Differences = []string{"the winner's bundle could not be read: " + err.Error()}
	return resp
}
