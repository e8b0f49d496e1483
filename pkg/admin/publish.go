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

// maxPublishAttempts bounds the attempts to advance the head within one call.
const maxPublishAttempts = 5

// candidate is a verified bundle together with the head that would publish it.
type candidate struct {
	signed []byte
	spec   bundle.Spec
	head   bundle.Head
}

// Publish verifies a signed bundle and advances the head to it if the bundle's
// parent is the current head. A repeated call with the same bundle and publish_id
// succeeds again while the bundle is the head or the head's parent, so a caller may
// retry after a lost response.
func (s *Server) Publish(ctx context.Context, req *pb.PublishRequest) (*pb.PublishResponse, error) {
	c, err := s.verify(req)
	if err != nil {
		return nil, err
	}
	// Objects are stored under their digest, so storing the same one twice is
	// harmless.
	if digest, err := s.store.PutObject(ctx, c.signed); err != nil {
		return nil, unavailable(errors.Wrap(err, "store the signed bundle"))
	} else if digest != c.head.Digest {
		return nil, twirp.InternalErrorf("the store computed digest %s for the bundle with digest %s", digest, c.head.Digest)
	}
	for attempt := 1; ; attempt++ {
		resp, err := s.advanceHead(ctx, c)
		if err == nil || attempt == maxPublishAttempts {
			return resp, unavailable(errors.Wrap(err, "outcome unknown; retry with the same publish id"))
		}
		select {
		case <-ctx.Done():
			return nil, unavailable(errors.Wrap(err, "outcome unknown; retry with the same publish id"))
		case <-time.After(s.retryDelay):
		}
	}
}

// verify checks the signature and the contents of the bundle, without using the
// store.
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

// advanceHead reads the head and, if it is still the candidate's parent, replaces it
// with a compare-and-set. After an error the outcome is unknown. The next call
// resolves it: either the head carries the candidate's publish ID, or it has not
// changed and the write can be retried.
func (s *Server) advanceHead(ctx context.Context, c *candidate) (*pb.PublishResponse, error) {
	row, err := s.store.GetRow(ctx, bundle.HeadKey)
	if err != nil {
		return nil, err
	}
	head, err := bundle.ParseHead(row.Value)
	switch {
	case err != nil:
		return nil, err
	case head.PublishID == c.head.PublishID && head.Digest == c.head.Digest:
		return c.successResponse(), nil
	case head.ParentDigest == c.head.Digest:
		// The candidate was published, and its direct successor has replaced it.
		return c.successResponse(), nil
	case head.Version != c.spec.Parent:
		return s.conflictResponse(ctx, c, head), nil
	}
	next := c.head
	next.ParentDigest = head.Digest
	value, err := next.Encode()
	if err != nil {
		return nil, err
	}
	_, err = s.store.Transact(ctx, platform.Write{Key: bundle.HeadKey, Value: value, ExpectedVersion: row.Version})
	if err != nil {
		// A version conflict is also resolved by reading the head again: the
		// conflicting write may be an earlier attempt of this publish that took
		// effect late.
		return nil, err
	}
	return c.successResponse(), nil
}

func (c *candidate) successResponse() *pb.PublishResponse {
	return &pb.PublishResponse{Version: c.head.Version, Digest: c.head.Digest}
}

// conflictResponse names the publisher and version of the current head, the winner,
// and lists how the candidate differs from it.
func (s *Server) conflictResponse(ctx context.Context, c *candidate, winner bundle.Head) *pb.PublishResponse {
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
