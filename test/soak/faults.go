package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// slowLinkDelay is the one-way delay of a slow link. It exceeds the duration of
	// most statements.
	slowLinkDelay = 150 * time.Millisecond
	// resetConnectionLifetime is the time after which a link that resets its
	// connections closes a new one.
	resetConnectionLifetime = 50 * time.Millisecond
	droppedResponses        = 3
	// memberEntryTTL is the outage of the store after which the members' entries have
	// expired, and are written again before the store answers.
	memberEntryTTL = 3 * time.Second
	// shutdownMargin is the time beyond the grace period within which an instance must
	// exit after SIGTERM, because it may begin the shutdown late.
	shutdownMargin = 2 * time.Second
)

// startFault injects the fault and returns the function that ends it.
func (r *run) startFault(f Fault) (end func() error, err error) {
	s := r.cluster
	member := s.group.Members()[f.Target%memberCount]
	link := s.links[f.Target%memberCount]
	in := s.instances[f.Target]
	none := func() error { return nil }
	restore := func(l interface{ Restore() }) func() error {
		return func() error { l.Restore(); return nil }
	}
	switch f.Kind {
	case InstanceKilled:
		r.setExitExpected(in, true)
		in.Kill()
		return func() error { return r.restart(in) }, nil
	case InstancePaused:
		r.recordPause(in.name, true)
		return func() error { defer r.recordPause(in.name, false); return in.Resume() }, in.Pause()
	case InstanceTerminated:
		r.setExitExpected(in, true)
		r.recordTermination(in)
		return func() error { r.awaitExit(in); return r.restart(in) }, in.Terminate()
	case InstanceReloaded:
		return none, in.Signal(syscall.SIGHUP)
	case MemberKilled:
		member.Kill()
		return func() error { err := member.Restart(); s.registerMembers(); return err }, nil
	case MemberUnresponsive:
		member.SetUnresponsive(true)
		return func() error { member.SetUnresponsive(false); return nil }, nil
	case MemberReplicationStopped:
		member.SetReplicationStopped(true)
		return func() error { member.SetReplicationStopped(false); return nil }, nil
	case PrimaryResponsesDropped:
		s.group.Primary().DropResponses(droppedResponses)
		return none, nil
	case MemberLinkSlow:
		return restore(link), link.Delay(slowLinkDelay)
	case MemberLinkFrozen:
		return restore(link), link.Freeze()
	case MemberLinkOneWay:
		return restore(link), link.FreezeOneWay(f.ToUpstream)
	case MemberLinkReset:
		return restore(link), link.Reset(resetConnectionLifetime)
	case PeerLinkFrozen:
		return restore(in.peers), in.peers.Freeze()
	case PeerLinkOneWay:
		return restore(in.peers), in.peers.FreezeOneWay(f.ToUpstream)
	case StoreLinkFrozen:
		return restore(in.store), in.store.Freeze()
	case StoreDown:
		s.store.SetDown(true)
		return func() error {
			if f.Until-f.From > memberEntryTTL {
				s.expireMembers()
			}
			s.store.SetDown(false)
			return nil
		}, nil
	case StoreRestored:
		older := s.copies.before(time.Now().Add(-f.CopyAge))
		s.store.SetDown(true)
		return func() error {
			s.store.Restore(older)
			s.store.SetDown(false)
			time.Sleep(f.RewriteDelay)
			s.rewrite()
			return nil
		}, nil
	case StoreCompacted:
		s.store.CompactHistory()
		return none, nil
	case StoreResponsesDropped:
		s.store.DropResponses(droppedResponses)
		return none, nil
	case MalformedRows:
		s.store.PutMalformedRows()
		return none, nil
	case KeyRevoked:
		s.publishKeys(true)
		r.setRevokedAt(time.Now())
		return func() error { r.setRevokedAt(time.Time{}); s.publishKeys(false); return nil }, nil
	case ConfigurationChanged:
		s.changeUnusedConfiguration(f.Target)
		return none, nil
	case MemberReplaced:
		return s.replaceMember(member)
	case PrimaryReplaced:
		return s.replaceMember(s.group.Primary())
	case ReplicaJoins, OrdersLate, ConnectionsFull, MemberLinkPartlyFrozen, PrimaryLeaving, ReplicaRestartsEmpty, ReplicaBehind:
		return r.startReplicaFault(f, member)
	}
	return none, errors.Newf("unknown kind of fault %q", f.Kind)
}

func (r *run) restart(in *instance) error {
	err := in.Start()
	r.setExitExpected(in, false)
	return err
}

// readLog returns the log of the instance.
func (r *run) readLog(in *instance) string {
	data, err := os.ReadFile(filepath.Join(r.options.Directory, in.name+".log"))
	if err != nil {
		r.reportViolation("cannot read the log of %s: %v", in.name, err)
	}
	return string(data)
}

// awaitExit waits until an instance that received SIGTERM has exited.
func (r *run) awaitExit(in *instance) {
	select {
	case <-in.Done():
	case <-time.After(r.cluster.settings.gracePeriod + shutdownMargin):
		r.reportViolation("%s has not exited %s after the end of its grace period", in.name, shutdownMargin)
		in.Kill()
	}
}

// residentBytes returns the resident memory of a process, or 0 if it has exited.
func residentBytes(pid int) int64 {
	return residentPages(pid) * int64(os.Getpagesize())
}
