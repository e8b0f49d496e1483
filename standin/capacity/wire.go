package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/pkg/peer"
	pb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// countingConn adds the bytes that it reads and writes to a shared counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.bytes}, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// echoPeer is a peer that implements only Heartbeat.
type echoPeer struct{ pb.Peer }

// Heartbeat returns the state of the request, so that both messages have the same
// size.
func (echoPeer) Heartbeat(_ context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return &pb.HeartbeatResponse{State: r.State, PromisedMs: 3000}, nil
}

// heartbeatSeries measures the bytes of one heartbeat request and its response,
// with HTTP headers and authentication, by number of groups in the message. Each
// group reports the service of 8 workspaces.
func heartbeatSeries(ctx context.Context) ([]Series, error) {
	size := Series{Name: "one heartbeat and its answer, HTTP/1.1", Size: "group reported", Unit: "bytes"}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &countingListener{Listener: inner}
	secret := []byte("a secret that all instances share...")
	server := &http.Server{Handler: peer.Authenticate(secret, pb.NewPeerServer(echoPeer{}))}
	defer server.Close()
	go func() { _ = server.Serve(l) }()
	client := peer.NewClients(secret).Get(inner.Addr().String())
	for _, n := range []int{1, 3, 10, 30} {
		const exchanges = 10
		request := &pb.HeartbeatRequest{State: heartbeatState(n), AskPromise: true}
		before := l.bytes.Load()
		for range exchanges {
			if _, err := client.Heartbeat(ctx, request); err != nil {
				return nil, errors.Wrap(err, "heartbeat")
			}
		}
		size.Points = append(size.Points, Point{float64(n), float64(l.bytes.Load()-before) / exchanges})
	}
	return []Series{size}, nil
}

// heartbeatState returns a state with the primary and 8 service reports of each
// group.
func heartbeatState(groups int) *pb.State {
	s := &pb.State{
		Sender:        &pb.Sender{Id: "entry-0001", Epoch: 1 << 50, Zone: "zone-a"},
		BundleVersion: 61000, BundleDigest: fmt.Sprintf("%064d", 1), StoreAgeMs: 900,
	}
	for i := range groups {
		name := fmt.Sprintf("group-%05d", i)
		s.Groups = append(s.Groups, &pb.GroupView{Group: name, Primary: name + "m0", Term: 9, TermStart: 1 << 30, SeenAgeMs: 90})
		for w := range 8 {
			s.Service = append(s.Service, &pb.ServiceReport{Group: name, Workspace: fmt.Sprintf("workspace-%d", w), ServiceUs: 1 << 30})
		}
	}
	return s
}
