package consistency

import (
	"slices"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// MaxSessionGroups bounds the groups whose commits a session remembers. A session writes to
// one group, or to a few as its route moves between them.
const MaxSessionGroups = 16

// SessionCommits holds the position of a session's last commit in each group, below which
// none of its reads of that group may fall. It is not safe for concurrent use. The zero value is
// that of a session that has committed nothing.
type SessionCommits struct {
	commits []GroupCommit
	// incomplete is set if the session may have commits in groups that commits lacks.
	incomplete bool
}

// GroupCommit is the position of a commit in a group.
type GroupCommit struct {
	Group    string
	Position group.Position
}

// RestoreSessionCommits returns commits that were passed on by another instance. Set
// incomplete if there may be others.
func RestoreSessionCommits(commits []GroupCommit, incomplete bool) SessionCommits {
	out := SessionCommits{incomplete: incomplete}
	for _, c := range commits {
		out.Record(c.Group, c.Position)
	}
	return out
}

// Record records a commit. Positions may arrive in any order. Beyond MaxSessionGroups
// groups, commits in further ones are not remembered; see Floor.
func (s *SessionCommits) Record(groupName string, at group.Position) {
	if at.IsZero() {
		return
	}
	i := s.index(groupName)
	switch {
	case i >= 0:
		if at.Compare(s.commits[i].Position) > 0 {
			s.commits[i].Position = at
		}
	case len(s.commits) == MaxSessionGroups:
		s.incomplete = true
	default:
		s.commits = append(s.commits, GroupCommit{groupName, at})
	}
}

// Floor returns the position that a read of the group must see, which is zero if the session
// has committed nothing there. It returns false if that is not known. The primary must then
// serve the read.
func (s *SessionCommits) Floor(groupName string) (group.Position, bool) {
	if i := s.index(groupName); i >= 0 {
		return s.commits[i].Position, true
	}
	return group.Position{}, !s.incomplete
}

// All returns the commits that are remembered, and whether there may be others. The caller
// must not change them.
func (s *SessionCommits) All() (commits []GroupCommit, incomplete bool) {
	return s.commits, s.incomplete
}

func (s *SessionCommits) index(groupName string) int {
	return slices.IndexFunc(s.commits, func(c GroupCommit) bool { return c.Group == groupName })
}
