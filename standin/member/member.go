// Package member implements a development stand-in for one member of a replicated
// database group. It speaks version 3 of the PostgreSQL wire protocol, runs SQL in
// SQLite, and follows the database group contract of docs/design.md, section 3.
// Production binaries never import it.
//
// The primary pushes its log of committed transactions to every replica, which
// stores the entries and then applies them. Replication is statement-based, so a
// nondeterministic statement (random(), CURRENT_TIMESTAMP) may make the members
// diverge. On a control connection, mulberry_fence makes a member promise a term to
// an owner, after which it accepts nothing of a lower term, and mulberry_promote
// makes it the primary of that term.
package member

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Member is a running member of a database group. Its methods are safe for
// concurrent use.
type Member struct {
	opts       Options
	logger     logrus.FieldLogger
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	closeOnce  sync.Once

	clientListener      net.Listener
	replicationListener net.Listener
	ownsDir             bool
	started             time.Time

	// writeLock has capacity 1 and serves as a mutex that can be awaited with a
	// context. A transaction holds it from its first write to its end; the applier
	// and log truncation hold it too. It keeps commit order equal to log order.
	writeLock chan struct{}
	// slots limits the statements that run concurrently; connectTurn lets one
	// client connection at a time spend its connect cost.
	slots       chan struct{}
	connectTurn chan struct{}
	faults      faults
	// selects counts the SELECT statements of clients, so that tests can tell which
	// member served a read.
	selects atomic.Int64

	// mu guards the fields below.
	mu sync.Mutex
	// stateChanged is closed and replaced whenever a guarded field changes.
	stateChanged chan struct{}
	// state is the durable state besides the log.
	state state
	log   *entryLog
	// applied is the index of the last log entry that the database contains.
	applied uint64
	// lastContact is when the last message of the current term's primary arrived.
	lastContact time.Time
	lag         time.Duration
	peers       map[string]string
	// pushers contains the names of the peers that have a push loop.
	pushers map[string]bool
	// waitingPromotions counts the promotions that wait for the applier. While it is
	// above 0, the applier ignores the lag.
	waitingPromotions int
	// rebuilding is true while the database is being rebuilt from the log.
	rebuilding bool
	sessions   map[uint32]*session
	// writer is the session that holds writeLock, or nil.
	writer *session
	nextID uint32
	// upstreamConn is the connection to the primary whose entries are accepted, or nil.
	upstreamConn net.Conn
	// applierDB is the applier's database connection. It keeps the database open
	// while no session is connected, and must be used with writeLock held.
	applierDB *database
}

// Start starts a member, which runs until Close.
func Start(options Options) (*Member, error) {
	opts, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	m := &Member{
		opts: opts, started: time.Now(), lag: opts.ApplyLag, peers: opts.Peers,
		writeLock: make(chan struct{}, 1), slots: make(chan struct{}, opts.Slots), connectTurn: make(chan struct{}, 1),
		stateChanged: make(chan struct{}), sessions: map[uint32]*session{}, pushers: map[string]bool{},
		logger: opts.Log.WithFields(logrus.Fields{"group": opts.Group, "member": opts.Name}),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.lastContact = m.started
	if err := m.openResources(); err != nil {
		m.Close()
		return nil, err
	}
	m.startLoops(m.acceptClients, m.acceptReplication, m.applyLoop)
	m.startPushers()
	return m, nil
}

func (m *Member) openResources() error {
	var err error
	if m.opts.Directory == "" {
		if m.opts.Directory, err = os.MkdirTemp("", "devmember-"); err != nil {
			return errors.Wrap(err, "create state directory")
		}
		m.ownsDir = true
	} else if err = os.MkdirAll(m.opts.Directory, 0o700); err != nil {
		return errors.Wrap(err, "create state directory")
	}
	if m.log, err = openLog(filepath.Join(m.opts.Directory, "log")); err != nil {
		return err
	}
	if err := m.loadState(); err != nil {
		return err
	}
	if err := m.recoverDatabase(); err != nil {
		return err
	}
	if m.clientListener, err = net.Listen("tcp", m.opts.Listen); err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	m.replicationListener, err = net.Listen("tcp", m.opts.ReplicationListen)
	return errors.Wrap(err, "listen for replication")
}

func (m *Member) startLoops(loops ...func()) {
	for _, loop := range loops {
		m.goroutines.Go(loop)
	}
}

// Addr returns the address for client and control connections.
func (m *Member) Addr() string { return m.clientListener.Addr().String() }

// ReplicationAddr returns the address to which the primary connects for replication.
func (m *Member) ReplicationAddr() string { return m.replicationListener.Addr().String() }

// Name returns the member's name.
func (m *Member) Name() string { return m.opts.Name }

// SetPeers replaces the replication addresses of the other members.
func (m *Member) SetPeers(addresses map[string]string) {
	m.mu.Lock()
	m.peers = addresses
	m.notifyStateChange()
	m.mu.Unlock()
	m.startPushers()
}

// SetLag sets how long this member waits after it received an entry before it
// applies it.
func (m *Member) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
	m.notifyStateChange()
}

// Status returns the member's status, as mulberry_status() reports it.
func (m *Member) Status() group.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.statusLocked()
}

// Close stops the member as abruptly as a killed process: connections are closed
// without a message to the client. State in Options.Directory is kept.
func (m *Member) Close() {
	m.closeOnce.Do(func() {
		m.cancel()
		for _, l := range []net.Listener{m.clientListener, m.replicationListener} {
			if l != nil {
				_ = l.Close()
			}
		}
		m.mu.Lock()
		for _, s := range m.sessions {
			s.terminate()
		}
		if m.upstreamConn != nil {
			_ = m.upstreamConn.Close()
		}
		m.mu.Unlock()
		m.goroutines.Wait()
		if m.applierDB != nil {
			m.applierDB.close()
		}
		if m.log != nil {
			_ = m.log.file.Close()
		}
		if m.ownsDir {
			_ = os.RemoveAll(m.opts.Directory)
		}
	})
}

// notifyStateChange wakes all goroutines in awaitChange. The caller holds mu.
func (m *Member) notifyStateChange() {
	close(m.stateChanged)
	m.stateChanged = make(chan struct{})
}

// acceptsWritesLocked reports whether the member accepts commits: it is primary and has
// not promised a higher term. The caller holds mu.
func (m *Member) acceptsWritesLocked() bool {
	return m.state.Role == group.Primary && m.state.PromisedTerm == m.state.CurrentTerm
}

// StartGroup starts and connects count members named prefix1, prefix2 and so on.
// The first one is the primary. All other settings come from opts.
func StartGroup(prefix string, count int, opts Options) ([]*Member, error) {
	var members []*Member
	for i := range count {
		o := opts
		o.Name = prefix + string(rune('1'+i))
		o.Role = group.Replica
		if i == 0 {
			o.Role = group.Primary
		}
		m, err := Start(o)
		if err != nil {
			CloseAll(members)
			return nil, err
		}
		members = append(members, m)
	}
	Connect(members)
	return members, nil
}

// Connect makes the members peers of one another.
func Connect(members []*Member) {
	for _, m := range members {
		peers := map[string]string{}
		for _, f := range members {
			if f != m {
				peers[f.Name()] = f.ReplicationAddr()
			}
		}
		m.SetPeers(peers)
	}
}

// CloseAll closes all given members.
func CloseAll(members []*Member) {
	for _, m := range members {
		m.Close()
	}
}
