package member

import (
	"context"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// status returns the status row. The caller holds mu.
func (m *Member) status() group.Status {
	s := group.Status{
		Member: m.opts.Name, Group: m.opts.Group, Role: m.state.Role,
		PromisedTerm: m.state.PromisedTerm, PromisedOwner: m.state.PromisedOwner,
		LogTerm: m.log.lastRun().Term, Received: m.log.length(),
		AppliedTerm: m.log.termAt(m.applied), Applied: m.applied,
		CurrentTerm: m.state.CurrentTerm, TermStart: m.state.TermStart, PreviousTerm: m.state.PreviousTerm,
		Incarnation: m.state.Incarnation,
	}
	if m.state.Role != group.Primary {
		s.PrimaryContact = time.Since(m.lastContact)
	}
	return s
}

// refused is the error of a call whose term is not acceptable. Its detail is
// the promised term.
func (m *Member) refused(format string, args ...any) *pgError {
	err := newError(codeNotInState, format, args...)
	err.detail = strconv.FormatUint(m.state.PromisedTerm, 10)
	return err
}

// fence implements mulberry_fence.
func (m *Member) fence(term uint64, owner string) (group.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.state.PromisedTerm || (term == m.state.PromisedTerm && owner != m.state.PromisedOwner) {
		return group.Status{}, m.refused("term %d is promised to %q", m.state.PromisedTerm, m.state.PromisedOwner)
	}
	if term > m.state.PromisedTerm {
		if err := m.promise(term, owner); err != nil {
			return group.Status{}, err
		}
	}
	return m.status(), nil
}

// promise stores a promise. From then on, nothing of a lower term is accepted.
func (m *Member) promise(term uint64, owner string) error {
	s := m.state
	s.PromisedTerm, s.PromisedOwner = term, owner
	if err := m.store(s); err != nil {
		return err
	}
	m.changed()
	return nil
}

// promote implements mulberry_promote. The member first applies all entries
// that it has received, whatever the lag.
func (m *Member) promote(ctx context.Context, term uint64, owner string) (group.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.urgent++
	defer func() { m.urgent-- }()
	m.changed()
	for {
		if m.state.PromisedTerm != term || m.state.PromisedOwner != owner {
			return group.Status{}, m.refused("term %d is not promised to %q", term, owner)
		}
		if m.state.CurrentTerm == term {
			return m.promotedBefore()
		}
		if m.applied == m.log.length() && !m.rebuilding {
			return m.lead(term, owner)
		}
		if err := m.awaitChange(ctx); err != nil {
			return group.Status{}, err
		}
	}
}

// promotedBefore answers a repeated call, whose first answer may have been lost.
func (m *Member) promotedBefore() (group.Status, error) {
	if m.state.Role != group.Primary {
		return group.Status{}, m.refused("another member is primary of term %d", m.state.CurrentTerm)
	}
	return m.status(), nil
}

// lead makes the member primary of the term that it has promised.
func (m *Member) lead(term uint64, owner string) (group.Status, error) {
	before := m.state
	s := before
	s.Role, s.CurrentTerm, s.CurrentOwner = group.Primary, term, owner
	s.TermStart, s.PreviousTerm = m.log.length()+1, m.log.lastRun().Term
	if err := m.store(s); err != nil {
		return group.Status{}, err
	}
	if err := m.appendTermStart(); err != nil {
		_ = m.store(before)
		return group.Status{}, err
	}
	m.applied = m.log.length()
	m.dropUpstream()
	m.changed()
	m.logger.WithField("term", term).Info("promoted to primary")
	return m.status(), nil
}

// wait implements mulberry_wait.
func (m *Member) wait(ctx context.Context, p group.Position, timeout time.Duration) group.Status {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		s := m.status()
		if s.Confirms(p) || s.PromisedTerm > p.Term {
			return s
		}
		if m.awaitChange(ctx) != nil {
			return m.status()
		}
	}
}

// awaitChange releases mu until guarded state changes or the context ends.
func (m *Member) awaitChange(ctx context.Context) error {
	note := m.note
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-note:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// controlCall matches the calls of core/group.
var controlCall = regexp.MustCompile(
	`(?i)^\s*SELECT\s+\*\s+FROM\s+mulberry_(status|fence|promote|wait)\s*\(([^()]*)\)\s*;?\s*$`)

// call runs a control call. The result is false if the text is none.
func (m *Member) call(ctx context.Context, sql string) (group.Status, bool, error) {
	match := controlCall.FindStringSubmatch(sql)
	if match == nil {
		return group.Status{}, false, nil
	}
	var args []string
	for _, t := range tokenize(match[2]) {
		if t.text != "," {
			args = append(args, unquote(t.text))
		}
	}
	status, err := m.callNamed(ctx, strings.ToLower(match[1]), args)
	return status, true, err
}

// argumentCount is the number of arguments of each control call.
var argumentCount = map[string]int{"status": 0, "fence": 2, "promote": 2, "wait": 3}

func (m *Member) callNamed(ctx context.Context, name string, args []string) (group.Status, error) {
	if len(args) != argumentCount[name] {
		return group.Status{}, newError(codeUndefinedFunction, "mulberry_%s takes %d arguments", name, argumentCount[name])
	}
	if name == "status" {
		return m.Status(), nil
	}
	term, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return group.Status{}, newError(codeInvalidParameter, "term %q is not a number", args[0])
	}
	switch name {
	case "fence":
		return m.fence(term, args[1])
	case "promote":
		return m.promote(ctx, term, args[1])
	}
	index, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return group.Status{}, newError(codeInvalidParameter, "position %q is not a number", args[1])
	}
	timeout, err := strconv.ParseUint(args[2], 10, 31)
	if err != nil {
		return group.Status{}, newError(codeInvalidParameter, "timeout %q is not a number of milliseconds", args[2])
	}
	return m.wait(ctx, group.Position{Term: term, Index: index}, time.Duration(timeout)*time.Millisecond), nil
}
