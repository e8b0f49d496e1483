package shutdown_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/shutdown"
)

var started = time.Unix(1000, 0)

// Guards against statements that are sent to a member and left without an answer, because
// the process ends before the member's response or the statement's timeout.
func TestEveryStatementThatIsSentGetsAnAnswerBeforeTheEnd(t *testing.T) {
	g := NewWithT(t)
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 6 * time.Second, time.Minute} {
		s := shutdown.NewSchedule(started, grace, 2300*time.Millisecond)
		g.Expect(s.End).To(BeTemporally("<", s.Exit))
		g.Expect(s.Exit).To(BeTemporally("<", started.Add(grace)))
		for at := time.Duration(0); at < grace; at += 50 * time.Millisecond {
			now := started.Add(at)
			deadline := s.AnswerBefore(now.Add(2 * time.Second))
			g.Expect(deadline).To(BeTemporally("<", s.End))
			if s.AcceptsStatements(now) {
				g.Expect(deadline.Sub(now)).To(BeNumerically(">=", 500*time.Millisecond), "a statement sent %s after the request to stop", at)
			}
			if s.AcceptsTransactions(now) {
				g.Expect(s.AcceptsStatements(now)).To(BeTrue(), "a transaction begun %s after the request to stop", at)
			}
		}
	}
}

// Guards against cutting short transactions that are open when the stop is requested: they
// have half of the grace period.
func TestOpenTransactionsHaveHalfOfTheGracePeriod(t *testing.T) {
	g := NewWithT(t)
	s := shutdown.NewSchedule(started, 6*time.Second, 2300*time.Millisecond)
	g.Expect(s.AcceptsStatements(started.Add(3 * time.Second))).To(BeTrue())
	g.Expect(s.AcceptsTransactions(started.Add(3 * time.Second))).To(BeFalse())
}

func TestAnInstanceThatIsNotStoppingAcceptsEverything(t *testing.T) {
	g := NewWithT(t)
	var s shutdown.Schedule
	g.Expect(s.AcceptsTransactions(started)).To(BeTrue())
	g.Expect(s.AcceptsStatements(started)).To(BeTrue())
	g.Expect(s.AnswerBefore(started.Add(time.Hour))).To(Equal(started.Add(time.Hour)))
}
