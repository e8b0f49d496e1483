package operator

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/twitchtv/twirp"

	pb "github.com/mulberrysill/mulberrysill/rpc/admin"
)

// callTimeout bounds one call of the administration API.
const callTimeout = 10 * time.Second

// servers are the flags that name the instances to talk to.
type servers struct {
	urls      []string
	tokenFile string
}

func (s *servers) register(c *cobra.Command) {
	c.Flags().StringSliceVar(&s.urls, "server", nil, "base URL of an instance's administration API; further ones are tried when it fails")
	c.Flags().StringVar(&s.tokenFile, "token-file", "", "file with the bearer token")
}

// call runs f against the first instance that answers. Errors that another
// instance would give too end the search.
func (s *servers) call(ctx context.Context, f func(ctx context.Context, api pb.Admin) error) error {
	if len(s.urls) == 0 {
		return required("server", "")
	}
	if err := required("token-file", s.tokenFile); err != nil {
		return err
	}
	token, err := os.ReadFile(s.tokenFile)
	if err != nil {
		return errors.Wrap(err, "read token")
	}
	client := &http.Client{Transport: bearer{strings.TrimSpace(string(token))}}
	var failed error
	for _, url := range s.urls {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f(callCtx, pb.NewAdminProtobufClient(url, client))
		cancel()
		if err == nil || isFinal(err) {
			return err
		}
		failed = errors.CombineErrors(failed, errors.Wrapf(err, "instance %s", url))
	}
	return failed
}

// isFinal reports whether the answer is about the request, not the instance.
func isFinal(err error) bool {
	var t twirp.Error
	if !errors.As(err, &t) {
		return errors.Is(err, ErrConflict)
	}
	switch t.Code() {
	case twirp.InvalidArgument, twirp.PermissionDenied, twirp.Unauthenticated:
		return true
	default:
		return false
	}
}

// bearer adds the token to each request.
type bearer struct{ token string }

// RoundTrip implements http.RoundTripper.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return http.DefaultTransport.RoundTrip(r)
}
