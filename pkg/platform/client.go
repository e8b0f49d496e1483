package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	pb "github.com/mulberrysill/mulberrysill/rpc/platform"
)

// DefaultTimeout limits the time of a call whose context has no earlier deadline.
const DefaultTimeout = 2 * time.Second

// Client implements Store over twirp. It is safe for concurrent use.
type Client struct {
	rpc     pb.Platform
	timeout time.Duration
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at the base URL, for example
// "http://127.0.0.1:7000". The timeout applies to each call; 0 means DefaultTimeout.
func NewClient(baseURL string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return &Client{rpc: pb.NewPlatformProtobufClient(baseURL, &http.Client{}), timeout: timeout}
}

// GetRow implements Store.
func (c *Client) GetRow(ctx context.Context, key string) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.rpc.GetRow(ctx, &pb.GetRowRequest{Key: key})
	if err != nil {
		return Row{}, errors.Wrapf(err, "read row %s", key)
	}
	return fromProto(r), nil
}

// ListRows implements Store.
func (c *Client) ListRows(ctx context.Context, prefix string) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.rpc.ListRows(ctx, &pb.ListRowsRequest{Prefix: prefix})
	if err != nil {
		return nil, errors.Wrapf(err, "list rows %s", prefix)
	}
	return rowsFromProto(r.Rows), nil
}

// Transact implements Store.
func (c *Client) Transact(ctx context.Context, writes ...Write) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req := &pb.TransactRequest{}
	for _, w := range writes {
		req.Writes = append(req.Writes, &pb.PutRowRequest{
			Key: w.Key, Value: w.Value, ExpectedVersion: w.ExpectedVersion, Remove: w.Remove,
		})
	}
	r, err := c.rpc.Transact(ctx, req)
	if isCode(err, twirp.FailedPrecondition) {
		return nil, errors.Mark(err, ErrConflict)
	}
	if err != nil {
		return nil, errors.Wrap(err, "write rows")
	}
	return rowsFromProto(r.Rows), nil
}

// PutObject implements Store.
func (c *Client) PutObject(ctx context.Context, data []byte) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.rpc.PutObject(ctx, &pb.PutObjectRequest{Data: data})
	if err != nil {
		return "", errors.Wrap(err, "store object")
	}
	return r.Digest, nil
}

// GetObject implements Store.
func (c *Client) GetObject(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.rpc.GetObject(ctx, &pb.GetObjectRequest{Digest: digest})
	if isCode(err, twirp.NotFound) {
		return nil, errors.Mark(err, ErrNotFound)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read object %s", digest)
	}
	return r.Data, nil
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.rpc.ListInstances(ctx, &pb.ListInstancesRequest{})
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	list := make([]Instance, 0, len(r.Instances))
	for _, i := range r.Instances {
		list = append(list, Instance{
			ID: i.Id, Zone: i.Zone, PeerAddress: i.PeerAddress, ClientAddress: i.ClientAddress,
			AdminAddress: i.AdminAddress, Leaving: i.Leaving, Epoch: i.Epoch,
		})
	}
	return list, nil
}

// Register implements Store.
func (c *Client) Register(ctx context.Context, self Instance) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.rpc.RegisterInstance(ctx, &pb.Instance{
		Id: self.ID, Zone: self.Zone, PeerAddress: self.PeerAddress, ClientAddress: self.ClientAddress,
		AdminAddress: self.AdminAddress, Leaving: self.Leaving, Epoch: self.Epoch,
	})
	return errors.Wrap(err, "register instance")
}

func isCode(err error, code twirp.ErrorCode) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == code
}

func fromProto(r *pb.Row) Row { return Row{Key: r.Key, Value: r.Value, Version: r.Version, Era: r.Era} }

func rowsFromProto(rows []*pb.Row) []Row {
	list := make([]Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, fromProto(r))
	}
	return list
}
