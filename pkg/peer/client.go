package peer

import (
	"net"
	"net/http"
	"sync"
	"time"

	pb "github.com/mulberrysill/mulberrysill/rpc/peer"
)

const (
	dialTimeout = 300 * time.Millisecond
	idleTimeout = 30 * time.Second
)

// Clients keeps one client per peer address. It is safe for concurrent use.
type Clients struct {
	http *http.Client

	mu        sync.Mutex
	byAddress map[string]pb.Peer // guarded by mu
}

// NewClients returns clients that sign their requests with the secret.
func NewClients(secret []byte) *Clients {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,
	}
	return &Clients{
		http:      &http.Client{Transport: &signingTransport{secret: secret, next: transport}},
		byAddress: map[string]pb.Peer{},
	}
}

// Get returns the client of the peer that listens on the address.
func (c *Clients) Get(address string) pb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byAddress[address]
	if !ok {
		client = pb.NewPeerProtobufClient("http://"+address, c.http)
		c.byAddress[address] = client
	}
	return client
}

// Remove removes the client of an address that is no longer in the instance list.
func (c *Clients) Remove(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byAddress, address)
}
