package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// relaySilenceTimeout is how long a peer may leave a relayed statement without a
	// response, and give none to any other call, before it is asked whether it still
	// responds.
	relaySilenceTimeout = 150 * time.Millisecond
	// pingTimeout bounds that question. A peer that runs answers it at once, unless it has
	// just started and its processor is busy.
	pingTimeout = 250 * time.Millisecond
)

// pendingPing is a question to a peer that is in progress. responds may be read once done
// is closed.
type pendingPing struct {
	done     chan struct{}
	responds bool
}

// relayWatch watches one relayed statement for a peer that has stopped responding.
type relayWatch struct {
	mu     sync.Mutex
	timer  *time.Timer // guarded by mu
	ended  bool        // guarded by mu
	peers  *peers
	peer   *peer
	cancel func()
}

// watchRelay calls cancel once the peer does not respond. The caller calls stop when the
// statement has ended.
func (ps *peers) watchRelay(to *peer, cancel func()) *relayWatch {
	w := &relayWatch{peers: ps, peer: to, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(relaySilenceTimeout, w.check)
	return w
}

func (w *relayWatch) check() {
	responds := w.peers.responds(w.peer)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended:
	case responds:
		w.timer.Reset(relaySilenceTimeout)
	default:
		w.cancel()
	}
}

func (w *relayWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// responds reports whether the peer has responded to any call recently, or does so to a
// ping. A peer that does not is suspect from then on.
func (ps *peers) responds(to *peer) bool {
	if bootTime()-time.Duration(to.respondedAt.Load()) < relaySilenceTimeout {
		return true
	}
	ps.mu.Lock()
	ping, asks := to.ping, to.ping == nil
	if asks {
		ping = &pendingPing{done: make(chan struct{})}
		to.ping = ping
	}
	ps.mu.Unlock()
	if !asks {
		<-ping.done
		return ping.responds
	}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	_, err := to.client.Ping(ctx, &pb.PingRequest{})
	if ping.responds = err == nil; ping.responds {
		to.noteResponse()
	} else {
		ps.markSuspect(to)
		ps.gw.log.WithFields(logrus.Fields{"event": "peer-silent", "peer": to.ID}).WithError(err).Info("an instance does not respond; sending its statements elsewhere")
	}
	ps.mu.Lock()
	to.ping = nil
	ps.mu.Unlock()
	close(ping.done)
	return ping.responds
}

// isSuspect reports whether the peer has left a call without a response recently.
func (ps *peers) isSuspect(p *peer) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return p != nil && time.Now().Before(p.suspectUntil)
}

func (p *peer) noteResponse() { p.respondedAt.Store(int64(bootTime())) }

// Ping returns at once.
func (ps *peers) Ping(context.Context, *pb.PingRequest) (*pb.Ack, error) { return &pb.Ack{}, nil }
