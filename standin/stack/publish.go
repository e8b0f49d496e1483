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

// Spec returns a copy of the last bundle that Start or Publish has published.
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

// Publish applies the change to the newest bundle and publishes the result through
// the first instance that responds. It returns the published version and does not
// wait for the rollout; see AwaitActive.
func (s *Stack) Publish(ctx context.Context, change func(*bundle.Spec)) (uint64, error) {
	next := s.Spec()
	next.Parent, next.Version = next.Version, next.Version+1
	change(&next)
	response, err := s.publish(ctx, next)
	switch {
	case err != nil:
		return 0, err
	case response.Conflict:
		return 0, errors.Newf("version %d conflicts with published version %d", next.Version, response.WinnerVersion)
	}
	return response.Version, nil
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
	for _, e := range s.Instances {
		var response *adminpb.PublishResponse
		if response, err = e.Admin.Publish(ctx, request); err == nil {
			if !response.Conflict {
				s.spec = next
			}
			return response, nil
		}
	}
	return nil, err
}

// PublishRequest signs the bundle and returns the request to publish it.
func (s *Stack) PublishRequest(next bundle.Spec) (*adminpb.PublishRequest, error) {
	data, err := yaml.Marshal(next)
	if err != nil {
		return nil, err
	}
	signed, err := bundle.Sign(data, operatorKeyID, s.signingKey)
	return &adminpb.PublishRequest{Signed: signed, PublishId: rand.Text()}, err
}

// PublishThrough sends a publish request to one instance. It does not update the
// bundle that Spec returns.
func (s *Stack) PublishThrough(ctx context.Context, e *Instance, request *adminpb.PublishRequest) (*adminpb.PublishResponse, error) {
	ctx, err := withToken(ctx)
	if err != nil {
		return nil, err
	}
	return e.Admin.Publish(ctx, request)
}

// Status reads the status of an instance through its admin API.
func (s *Stack) Status(ctx context.Context, e *Instance) (*adminpb.InstanceStatus, error) {
	ctx, err := withToken(ctx)
	if err != nil {
		return nil, err
	}
	return e.Admin.Status(ctx, &adminpb.StatusRequest{})
}

// AwaitActive waits until every running instance accepts client keys and has
// activated the given bundle version or a newer one. It returns an error if the
// context ends first.
func (s *Stack) AwaitActive(ctx context.Context, version uint64) error {
	return s.await(ctx, "bundle active on all running instances", func() bool {
		for _, e := range s.Instances {
			if isClosed(e.Done()) {
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

// AwaitLeases waits until every running instance holds units of a lease. It returns
// an error if the context ends first.
func (s *Stack) AwaitLeases(ctx context.Context) error {
	return s.await(ctx, "lease units on all running instances", func() bool {
		for _, e := range s.Instances {
			if isClosed(e.Done()) {
				continue
			}
			if status, err := s.Status(ctx, e); err != nil || status.Units == 0 {
				return false
			}
		}
		return true
	})
}

// awaitAdminAPIs waits until the admin API of every instance responds. It fails if
// an instance exits.
func (s *Stack) awaitAdminAPIs(ctx context.Context) error {
	var exited error
	err := s.await(ctx, "admin APIs of all instances", func() bool {
		for _, e := range s.Instances {
			if isClosed(e.Done()) {
				exited = errors.Newf("instance %s exited with code %d", e.ID, e.ExitCode())
				return true
			}
			if _, err := s.Status(ctx, e); err != nil {
				return false
			}
		}
		return true
	})
	if err == nil {
		err = exited
	}
	return err
}

// await polls the condition until it is true or the context ends.
func (s *Stack) await(ctx context.Context, description string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting for %s", description)
		case <-ticker.C:
		}
	}
	return nil
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
