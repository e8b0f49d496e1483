// Package member is a development stand-in for one member of a database group.
// It speaks the PostgreSQL wire protocol v3, runs SQL in SQLite, and follows the
// database group contract of docs/design.md, section 3. Product binaries never
// import it.
//
// Replication is by statement, so a statement whose result depends on the moment
// or on chance (random(), CURRENT_TIMESTAMP) may leave members different.
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

// Member is a running member.
type Member struct {
	opts      Options
	logger    logrus.FieldLogger
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup
	closeOnce sync.Once

	clients     net.Listener
	replication net.Listener
	ownsDir     bool
	started     time.Time

	// writeLock is held from a transaction's first write to its end, and by the
	// applier. It orders commits, so log order and commit order agree.
	writeLock chan struct{}
	// slots limits running statements, opening the connections being opened.
	slots   chan struct{}
	opening chan struct{}
	faults  faults
	// selects counts the SELECTs that clients have run, to tell which member
	// served a read.
	selects atomic.Int64

	mu sync.Mutex
	// note is closed and replaced whenever guarded state changes.
	note chan struct{}
	// state is what the member stores durably besides the log.
	state   state
	log     *entryLog
	applied uint64
	// lastContact is when a message of the current term's primary arrived.
	lastContact time.Time
	lag         time.Duration
	fellows     map[string]string
	// pushers names the fellows that have a push loop.
	pushers map[string]bool
	// urgent makes the applier ignore the lag while a promotion waits for it.
	urgent int
	// rebuilding is true while the database is being rebuilt from the log.
	rebuilding bool
	sessions   map[uint32]*session
	// writer is the session that holds writeLock, if one does.
	writer *session
	nextID uint32
	// upstream is the replication connection whose entries are accepted.
	upstream net.Conn
	// anchor is the applier's connection. It keeps the database open while no
	// session is connected, and is used under writeLock.
	anchor *database
}

// Start starts a member. It serves until Close.
func Start(options Options) (*Member, error) {
	opts, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	m := &Member{
		opts: opts, started: time.Now(), lag: opts.ApplyLag, fellows: opts.Fellows,
		writeLock: make(chan struct{}, 1), slots: make(chan struct{}, opts.Slots), opening: make(chan struct{}, 1),
		note: make(chan struct{}), sessions: map[uint32]*session{}, pushers: map[string]bool{},
		logger: opts.Log.WithFields(logrus.Fields{"group": opts.Group, "member": opts.Name}),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.lastContact = m.started
	if err := m.open(); err != nil {
		m.Close()
		return nil, err
	}
	m.run(m.acceptClients, m.acceptReplication, m.applyLoop)
	m.startPushers()
	return m, nil
}

func (m *Member) open() error {
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
	if err := m.openApplied(); err != nil {
		return err
	}
	if m.clients, err = net.Listen("tcp", m.opts.Listen); err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	m.replication, err = net.Listen("tcp", m.opts.ReplicationListen)
	return errors.Wrap(err, "listen for replication")
}

func (m *Member) run(loops ...func()) {
	for _, loop := range loops {
		m.work.Go(loop)
	}
}

// Addr returns the address for clients and control connections.
func (m *Member) Addr() string { return m.clients.Addr().String() }

// ReplicationAddr returns the address that fellow members push to.
func (m *Member) ReplicationAddr() string { return m.replication.Addr().String() }

// Name returns the member's name.
func (m *Member) Name() string { return m.opts.Name }

// SetFellows replaces the replication addresses of the other members.
func (m *Member) SetFellows(addresses map[string]string) {
	m.mu.Lock()
	m.fellows = addresses
	m.changed()
	m.mu.Unlock()
	m.startPushers()
}

// SetLag sets the age that an entry reaches before this member applies it.
func (m *Member) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
	m.changed()
}

// Status returns the row that mulberry_status() returns.
func (m *Member) Status() group.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status()
}

// Close stops the member as a killed process would: connections break without
// a message. State in a directory given by the options stays.
func (m *Member) Close() {
	m.closeOnce.Do(func() {
		m.cancel()
		for _, l := range []net.Listener{m.clients, m.replication} {
			if l != nil {
				_ = l.Close()
			}
		}
		m.mu.Lock()
		for _, s := range m.sessions {
			s.terminate()
		}
		if m.upstream != nil {
			_ = m.upstream.Close()
		}
		m.mu.Unlock()
		m.work.Wait()
		if m.anchor != nil {
			m.anchor.close()
		}
		if m.log != nil {
			_ = m.log.file.Close()
		}
		if m.ownsDir {
			_ = os.RemoveAll(m.opts.Directory)
		}
	})
}

// changed wakes everything that waits for a change of guarded state.
func (m *Member) changed() {
	close(m.note)
	m.note = make(chan struct{})
}

// leads reports whether commits are accepted: the member is primary and has
// promised no higher term.
func (m *Member) leads() bool {
	return m.state.Role == group.Primary && m.state.PromisedTerm == m.state.CurrentTerm
}

// StartGroup starts a group of members named prefix1, prefix2 and so on; the
// first is the primary. The options give everything else.
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

// Connect makes the members fellows of one another.
func Connect(members []*Member) {
	for _, m := range members {
		fellows := map[string]string{}
		for _, f := range members {
			if f != m {
				fellows[f.Name()] = f.ReplicationAddr()
			}
		}
		m.SetFellows(fellows)
	}
}

// CloseAll closes the members.
func CloseAll(members []*Member) {
	for _, m := range members {
		m.Close()
	}
}
