package stack

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Link is a TCP proxy with fault injection between two processes. It is not safe
// for concurrent use.
type Link struct {
	proxy *toxiproxy.Proxy
}

// NewFaultServer returns the toxiproxy server with which NewLink creates links.
func NewFaultServer() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
}

// NewLink starts a link that forwards connections to the address upstream.
func NewLink(server *toxiproxy.ApiServer, name, upstream string) (*Link, error) {
	l := &Link{proxy: toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream)}
	return l, errors.Wrapf(l.proxy.Start(), "link %s", name)
}

// Addr returns the address on which the link listens.
func (l *Link) Addr() string { return l.proxy.Listen }

// Freeze drops all data in both directions and keeps connections open, which
// simulates a network partition.
func (l *Link) Freeze() error {
	return errors.CombineErrors(l.FreezeOneWay(true), l.FreezeOneWay(false))
}

// FreezeOneWay drops all data sent to the upstream address, or all data received
// from it, and keeps connections open.
func (l *Link) FreezeOneWay(toUpstream bool) error {
	stream := "downstream"
	if toUpstream {
		stream = "upstream"
	}
	return l.addToxic(`{"name":"freeze_` + stream + `","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`)
}

// FreezeShare freezes the given share of the connections, which are drawn one by one, as
// between a server and a part of its clients.
func (l *Link) FreezeShare(share float64) error {
	return l.addToxic(`{"name":"freeze_share","type":"timeout","stream":"downstream","toxicity":` +
		strconv.FormatFloat(share, 'f', -1, 64) + `,"attributes":{"timeout":0}}`)
}

// Reset resets each connection at the given time after its first data.
func (l *Link) Reset(after time.Duration) error {
	return l.addToxic(`{"name":"reset","type":"reset_peer","stream":"downstream","attributes":{"timeout":` + itoa(after.Milliseconds()) + `}}`)
}

// Delay adds the latency d in each direction.
func (l *Link) Delay(d time.Duration) error {
	ms := d.Milliseconds()
	for _, stream := range []string{"upstream", "downstream"} {
		text := `{"name":"delay_` + stream + `","type":"latency","stream":"` + stream + `","attributes":{"latency":` + itoa(ms) + `}}`
		if err := l.addToxic(text); err != nil {
			return err
		}
	}
	return nil
}

// Restore ends Freeze, Delay and Reset. Connections that were frozen are closed.
func (l *Link) Restore() {
	l.proxy.Toxics.ResetToxics(context.Background())
}

// Disconnect closes all connections and refuses new ones until Reconnect is
// called.
func (l *Link) Disconnect() { l.proxy.Stop() }

// Reconnect accepts connections again after Disconnect.
func (l *Link) Reconnect() error { return errors.Wrap(l.proxy.Start(), "restart link") }

func (l *Link) addToxic(toxic string) error {
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "add fault to link")
}
