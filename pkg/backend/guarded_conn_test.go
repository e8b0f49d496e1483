package backend_test

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/pkg/backend"
)

// cutLink is a connection that passes only part of one write, and records what is written
// afterwards.
type cutLink struct {
	net.Conn
	mu    sync.Mutex
	cut   bool
	after []byte
}

func (c *cutLink) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cut {
		return c.Conn.Write(b)
	}
	if c.after == nil {
		c.after = []byte{}
		n, _ := c.Conn.Write(b[:len(b)-5])
		return n, os.ErrDeadlineExceeded
	}
	c.after = append(c.after, b...)
	return c.Conn.Write(b)
}

// Guards against a query that lacks its last 5 bytes, which a Terminate message completes.
var _ = Describe("a message of which a part was sent", func() {
	It("is not completed by Terminate", func() {
		var mu sync.Mutex
		var links []*cutLink
		tg := newTestGroup(noConnectCost, func(cfg *backend.Config) {
			cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				link := &cutLink{Conn: conn}
				mu.Lock()
				links = append(links, link)
				mu.Unlock()
				return link, err
			}
		})
		limitToOneConn(tg)
		c := tg.acquire(writeRequest("loja"))
		mu.Lock()
		at := slices.IndexFunc(links, func(l *cutLink) bool {
			return l.LocalAddr().String() == c.NetConn().LocalAddr().String()
		})
		link := links[at]
		mu.Unlock()
		link.mu.Lock()
		link.cut = true
		link.mu.Unlock()
		b, err := (&pgproto3.Query{String: "CREATE TABLE stock (n INTEGER)"}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.NetConn().Write(b)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		c.Release(false)
		link.mu.Lock()
		defer link.mu.Unlock()
		Expect(link.after).To(BeEmpty(), "written after the cut")
	})
})
