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

// connectionFlags holds the flags that say which instances to call, and with which
// token.
type connectionFlags struct {
	urls      []string
	tokenFile string
}

func (flags *connectionFlags) addTo(c *cobra.Command) {
	c.Flags().StringSliceVar(&flags.urls, "server", nil, "base URL of an instance's administration API; repeat to name instances to try if earlier ones fail")
	c.Flags().StringVar(&flags.tokenFile, "token-file", "", "file with the bearer token")
}

// callAny calls f with a client of each instance in turn until a call succeeds or
// returns a permanent error.
func (flags *connectionFlags) callAny(ctx context.Context, f func(ctx context.Context, api pb.Admin) error) error {
	if len(flags.urls) == 0 {
		return requireFlag("server", "")
	}
	if err := requireFlag("token-file", flags.tokenFile); err != nil {
		return err
	}
	token, err := os.ReadFile(flags.tokenFile)
	if err != nil {
		return errors.Wrap(err, "read token")
	}
	client := &http.Client{Transport: bearerTransport{strings.TrimSpace(string(token))}}
	var combined error
	for _, url := range flags.urls {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f(callCtx, pb.NewAdminProtobufClient(url, client))
		cancel()
		if err == nil || isPermanent(err) {
			return err
		}
		combined = errors.CombineErrors(combined, errors.Wrapf(err, "instance %s", url))
	}
	return combined
}

// isPermanent reports whether err is due to the request, so that any other instance
// would return it too.
func isPermanent(err error) bool {
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

// bearerTransport adds the bearer token to each request.
type bearerTransport struct{ token string }

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return http.DefaultTransport.RoundTrip(r)
}
