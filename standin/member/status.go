package member

import (
	"context"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// statusLocked returns the status row. The caller holds mu.
func (m *Member) statusLocked() group.Status {
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

// termRefusedError returns the error for a control call whose term is not acceptable.
// Its detail is the promised term. The caller holds mu.
func (m *Member) termRefusedError(format string, args ...any) *pgError {
	err := newError(codeNotInState, format, args...)
	err.detail = strconv.FormatUint(m.state.PromisedTerm, 10)
	return err
}

// fence implements mulberry_fence: it promises the term to the owner. Repeated calls of
// the same owner succeed.
func (m *Member) fence(term uint64, owner string) (group.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.state.PromisedTerm || (term == m.state.PromisedTerm && owner != m.state.PromisedOwner) {
		return group.Status{}, m.termRefusedError("term %d is promised to %q", m.state.PromisedTerm, m.state.PromisedOwner)
	}
	if term > m.state.PromisedTerm {
		if err := m.storePromise(term, owner); err != nil {
			return group.Status{}, err
		}
	}
	return m.statusLocked(), nil
}

// storePromise stores a promise, after which nothing of a lower term is accepted. The
// caller holds mu.
func (m *Member) storePromise(term uint64, owner string) error {
	s := m.state
	s.PromisedTerm, s.PromisedOwner = term, owner
	if err := m.storeState(s); err != nil {
		return err
	}
	m.notifyStateChange()
	return nil
}

// promote implements mulberry_promote. Before the member becomes primary, it applies
// all received entries regardless of the lag.
func (m *Member) promote(ctx context.Context, term uint64, owner string) (group.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waitingPromotions++
	defer func() { m.waitingPromotions-- }()
	m.notifyStateChange()
	for {
		if m.state.PromisedTerm != term || m.state.PromisedOwner != owner {
			return group.Status{}, m.termRefusedError("term %d is not promised to %q", term, owner)
		}
		if m.state.CurrentTerm == term {
			return m.repeatedPromotionStatus()
		}
		if m.applied == m.log.length() && !m.rebuilding {
			return m.becomePrimary(term, owner)
		}
		if err := m.awaitChange(ctx); err != nil {
			return group.Status{}, err
		}
	}
}

// repeatedPromotionStatus handles a repeated promotion: the caller may not have received
// the first response. The caller holds mu.
func (m *Member) repeatedPromotionStatus() (group.Status, error) {
	if m.state.Role != group.Primary {
		return group.Status{}, m.termRefusedError("another member is primary of term %d", m.state.CurrentTerm)
	}
	return m.statusLocked(), nil
}

// becomePrimary makes the member primary of the promised term. The caller holds mu.
func (m *Member) becomePrimary(term uint64, owner string) (group.Status, error) {
	before := m.state
	s := before
	s.Role, s.CurrentTerm, s.CurrentOwner = group.Primary, term, owner
	s.TermStart, s.PreviousTerm = m.log.length()+1, m.log.lastRun().Term
	if err := m.storeState(s); err != nil {
		return group.Status{}, err
	}
	if err := m.appendTermStart(); err != nil {
		_ = m.storeState(before)
		return group.Status{}, err
	}
	m.applied = m.log.length()
	m.closeUpstream()
	m.notifyStateChange()
	m.logger.WithField("term", term).Info("promoted to primary")
	return m.statusLocked(), nil
}

// waitForPosition implements mulberry_wait: it waits until the member confirms the
// position, a higher term is promised or the timeout expires.
func (m *Member) waitForPosition(ctx context.Context, p group.Position, timeout time.Duration) group.Status {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		s := m.statusLocked()
		if s.Confirms(p) || s.PromisedTerm > p.Term {
			return s
		}
		if m.awaitChange(ctx) != nil {
			return m.statusLocked()
		}
	}
}

// awaitChange waits for the next notifyStateChange or the end of the context. The caller
// holds mu, which is released during the wait.
func (m *Member) awaitChange(ctx context.Context) error {
	stateChanged := m.stateChanged
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-stateChanged:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// controlCallPattern matches the control calls that core/group builds.
var controlCallPattern = regexp.MustCompile(
	`(?i)^\s*SELECT\s+\*\s+FROM\s+mulberry_(status|fence|promote|wait)\s*\(([^()]*)\)\s*;?\s*$`)

// executeControlCall runs a control call. It returns false if sql is not a control
// call.
func (m *Member) executeControlCall(ctx context.Context, sql string) (group.Status, bool, error) {
	match := controlCallPattern.FindStringSubmatch(sql)
	if match == nil {
		return group.Status{}, false, nil
	}
	var args []string
	for _, t := range tokenize(match[2]) {
		if t.text != "," {
			args = append(args, unquote(t.text))
		}
	}
	status, err := m.dispatchControlCall(ctx, strings.ToLower(match[1]), args)
	return status, true, err
}

// controlCallArguments maps each control call to its number of arguments.
var controlCallArguments = map[string]int{"status": 0, "fence": 2, "promote": 2, "wait": 3}

func (m *Member) dispatchControlCall(ctx context.Context, name string, args []string) (group.Status, error) {
	if len(args) != controlCallArguments[name] {
		return group.Status{}, newError(codeUndefinedFunction, "mulberry_%s takes %d arguments", name, controlCallArguments[name])
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
	return m.waitForPosition(ctx, group.Position{Term: term, Index: index}, time.Duration(timeout)*time.Millisecond), nil
}
