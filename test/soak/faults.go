package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// slowLink is the one-way delay of a slow link, longer than most statements.
	slowLink = 150 * time.Millisecond
	// resetAfter is the life of a connection on a link that is reset.
	resetAfter  = 50 * time.Millisecond
	lostAnswers = 3
	// shutdownBound is the time in which an instance that is told to end must
	// have ended: its grace period and some time to start its shutdown.
	shutdownBound = 6 * time.Second
)

// begin injects the fault and returns the function that ends it.
func (r *run) begin(f Fault) (end func() error, err error) {
	s := r.system
	member := s.group.Members()[f.Target%members]
	link := s.links[f.Target%members]
	in := s.instances[f.Target]
	none := func() error { return nil }
	restore := func(l interface{ Restore() }) func() error {
		return func() error { l.Restore(); return nil }
	}
	switch f.Kind {
	case InstanceKilled:
		r.expectEnd(in, true)
		in.Kill()
		return func() error { return r.restart(in) }, nil
	case InstancePaused:
		r.notePause(in.name, true)
		return func() error { defer r.notePause(in.name, false); return in.Resume() }, in.Pause()
	case InstanceTerminated:
		r.expectEnd(in, true)
		return func() error { r.awaitEnd(in); return r.restart(in) }, in.Terminate()
	case InstanceReloaded:
		return none, in.Signal(syscall.SIGHUP)
	case MemberKilled:
		member.Kill()
		return func() error { err := member.Restart(); s.listMembers(); return err }, nil
	case MemberSilent:
		member.SetUnresponsive(true)
		return func() error { member.SetUnresponsive(false); return nil }, nil
	case MemberDeaf:
		member.SetReplicationStopped(true)
		return func() error { member.SetReplicationStopped(false); return nil }, nil
	case AnswersLost:
		s.group.Primary().LoseAnswers(lostAnswers)
		return none, nil
	case MemberLinkSlow:
		return restore(link), link.Delay(slowLink)
	case MemberLinkFrozen:
		return restore(link), link.Freeze()
	case MemberLinkOneWay:
		return restore(link), link.FreezeOneWay(f.ToUpstream)
	case MemberLinkReset:
		return restore(link), link.Reset(resetAfter)
	case PeerLinkFrozen:
		return restore(in.peers), in.peers.Freeze()
	case PeerLinkOneWay:
		return restore(in.peers), in.peers.FreezeOneWay(f.ToUpstream)
	case StoreLinkFrozen:
		return restore(in.store), in.store.Freeze()
	case StoreDown:
		s.store.SetDown(true)
		return func() error { s.store.SetDown(false); return nil }, nil
	case StoreForgets:
		s.store.CompactHistory()
		return none, nil
	case StoreLosesAnswers:
		s.store.LoseAnswers(lostAnswers)
		return none, nil
	case GarbageRows:
		s.store.PutMalformedRows()
		return none, nil
	case KeyWithdrawn:
		s.putKeys(true)
		r.noteWithdrawn(time.Now())
		return func() error { r.noteWithdrawn(time.Time{}); s.putKeys(false); return nil }, nil
	}
	return none, errors.Newf("unknown fault %q", f.Kind)
}

func (r *run) restart(in *instance) error {
	err := in.Start()
	r.expectEnd(in, false)
	return err
}

// log returns what the instance has written.
func (r *run) log(in *instance) string {
	data, err := os.ReadFile(filepath.Join(r.options.Directory, in.name+".log"))
	if err != nil {
		r.broken("the log of %s cannot be read: %v", in.name, err)
	}
	return string(data)
}

// awaitEnd waits for an instance that was told to end.
func (r *run) awaitEnd(in *instance) {
	select {
	case <-in.Done():
	case <-time.After(shutdownBound):
		r.broken("%s has not ended %s after SIGTERM", in.name, shutdownBound)
		in.Kill()
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	return statm(pid) * int64(os.Getpagesize())
}
