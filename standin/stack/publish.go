package stack

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	adminpb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

// Spec returns a copy of the newest bundle that this stack has published.
func (s *Stack) Spec() bundle.Spec {
	c := s.spec
	c.Workspaces = slices.Clone(c.Workspaces)
	for i := range c.Workspaces {
		c.Workspaces[i].Keys = slices.Clone(c.Workspaces[i].Keys)
	}
	c.Routes, c.Zones = slices.Clone(c.Routes), slices.Clone(c.Zones)
	c.BackendServers, c.Groups = slices.Clone(c.BackendServers), slices.Clone(c.Groups)
	return c
}

// Publish publishes the newest bundle with a change, through the first instance
// that answers. It does not wait for the rollout; see AwaitInForce.
func (s *Stack) Publish(ctx context.Context, change func(*bundle.Spec)) (uint64, error) {
	next := s.Spec()
	next.Parent, next.Version = next.Version, next.Version+1
	change(&next)
	answer, err := s.publish(ctx, next)
	switch {
	case err != nil:
		return 0, err
	case answer.Conflict:
		return 0, errors.Newf("version %d lost against version %d", next.Version, answer.WinnerVersion)
	}
	return answer.Version, nil
}

func (s *Stack) publish(ctx context.Context, next bundle.Spec) (*adminpb.PublishResponse, error) {
	request, err := s.PublishRequest(next)
	if err != nil {
		return nil, err
	}
	ctx, err = withToken(ctx)
	if err != nil {
		return nil, err
	}
	err = errors.New("no instance")
	for _, e := range s.Entries {
		var answer *adminpb.PublishResponse
		if answer, err = e.Admin.Publish(ctx, request); err == nil {
			if !answer.Conflict {
				s.spec = next
			}
			return answer, nil
		}
	}
	return nil, err
}

// PublishRequest signs the bundle and returns the request that publishes it.
func (s *Stack) PublishRequest(next bundle.Spec) (*adminpb.PublishRequest, error) {
	data, err := yaml.Marshal(next)
	if err != nil {
		return nil, err
	}
	signed, err := bundle.Sign(data, operator, s.private)
	return &adminpb.PublishRequest{Signed: signed, PublishId: rand.Text()}, err
}

// PublishThrough sends a request to one instance. Spec does not learn of it.
func (s *Stack) PublishThrough(ctx context.Context, e *Entry, request *adminpb.PublishRequest) (*adminpb.PublishResponse, error) {
	ctx, err := withToken(ctx)
	if err != nil {
		return nil, err
	}
	return e.Admin.Publish(ctx, request)
}

// Status returns the state of an instance.
func (s *Stack) Status(ctx context.Context, e *Entry) (*adminpb.InstanceStatus, error) {
	ctx, err := withToken(ctx)
	if err != nil {
		return nil, err
	}
	return e.Admin.Status(ctx, &adminpb.StatusRequest{})
}

// AwaitInForce waits until the version is in force on every running instance,
// or the context ends.
func (s *Stack) AwaitInForce(ctx context.Context, version uint64) error {
	return s.await(ctx, "bundle in force everywhere", func() bool {
		for _, e := range s.Entries {
			if isDone(e.Done()) {
				continue
			}
			status, err := s.Status(ctx, e)
			if err != nil || status.BundleVersion < version || !status.Current {
				return false
			}
		}
		return true
	})
}

// AwaitLeases waits until every running instance holds units.
func (s *Stack) AwaitLeases(ctx context.Context) error {
	return s.await(ctx, "units on every instance", func() bool {
		for _, e := range s.Entries {
			if isDone(e.Done()) {
				continue
			}
			if status, err := s.Status(ctx, e); err != nil || status.Units == 0 {
				return false
			}
		}
		return true
	})
}

func (s *Stack) awaitAdmin(ctx context.Context) error {
	var ended error
	err := s.await(ctx, "instances answering", func() bool {
		for _, e := range s.Entries {
			if isDone(e.Done()) {
				ended = errors.Newf("%s ended with code %d", e.ID, e.ExitCode())
				return true
			}
			if _, err := s.Status(ctx, e); err != nil {
				return false
			}
		}
		return true
	})
	if err == nil {
		err = ended
	}
	return err
}

func (s *Stack) await(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for: %s", what)
		case <-ticker.C:
		}
	}
	return nil
}

func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
