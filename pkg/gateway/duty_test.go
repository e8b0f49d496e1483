package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/revision"
)

// dutyStore is a store that holds only the promotion lease, in the era of its token.
type dutyStore struct {
	Store
	duty   Duty
	claims int
}

// restore puts back an earlier claim.
func (s *dutyStore) restore(d Duty) {
	s.duty = Duty{Holder: d.Holder, Started: d.Started, Token: revision.New(s.duty.Token.Era()+1, d.Token.Version()), ClaimedIn: d.ClaimedIn}
}

func (s *dutyStore) ReadDuty(context.Context) (Duty, error) { return s.duty, nil }

func (s *dutyStore) ClaimDuty(_ context.Context, from Duty, holder string, started int64) (Duty, error) {
	if from.Token != s.duty.Token {
		return Duty{}, ErrConflict
	}
	s.claims++
	s.duty = Duty{Holder: holder, Started: started, Token: s.duty.Token + 1, ClaimedIn: from.Token.Era()}
	return s.duty, nil
}

func newTestInstance(id string, store Store) *Gateway {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return New(Config{ID: id, FirstStart: true, Store: store, Log: logrus.NewEntry(log)})
}

// dutyOf returns an instance that has received nothing from the holder of
// the promotion lease for a while, the store, and the holder's server.
func dutyOf(t *testing.T) (asker *Gateway, store *dutyStore, holder *httptest.Server) {
	store = &dutyStore{}
	b := newTestInstance("b", store)
	holder = httptest.NewServer(b.peers.handler())
	t.Cleanup(holder.Close)
	store.duty = Duty{Holder: "b", Started: b.started, Token: 5}
	asker = newTestInstance("a", store)
	asker.peers.mu.Lock()
	asker.peers.upsert(Instance{ID: "b", PeerAddress: strings.TrimPrefix(holder.URL, "http://"), Started: b.started})
	asker.peers.byID["b"].addedAt = time.Now().Add(-2 * peerAliveTimeout)
	asker.peers.mu.Unlock()
	return asker, store, holder
}

// Claims must not follow each other quickly. In a partitioned network, 80
// instances that had contact only through collectors claimed the promotion
// lease from each other 20 times within 4 s, and two of them ordered promotions
// within the 3 s that the platform requires between holders.
func TestDutyIsNotClaimedInQuickSuccession(t *testing.T) {
	g := NewWithT(t)
	asker, store, holder := dutyOf(t)
	holder.Close()
	asker.controller.claimDuty(context.Background())
	g.Expect(store.claims).To(BeZero(), "the claim is recent")
	asker.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	asker.controller.claimDuty(context.Background())
	g.Expect(store.claims).To(Equal(1), "the holder has stopped")
}

func TestDutyStaysWithAHolderThatAnswers(t *testing.T) {
	g := NewWithT(t)
	asker, store, _ := dutyOf(t)
	asker.peers.updateDuty(store.duty)
	asker.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	asker.controller.claimDuty(context.Background())
	g.Expect(store.claims).To(BeZero())
	_, _, alive := asker.peers.dutyHolder()
	g.Expect(alive).To(BeTrue(), "its response marks it as alive")
}

// A holder must renew an old claim before it orders a promotion. Otherwise
// another instance can claim the promotion lease and act immediately afterwards.
func TestHolderRenewsItsClaimBeforeItActs(t *testing.T) {
	g := NewWithT(t)
	store := &dutyStore{}
	a := newTestInstance("a", store)
	store.duty = Duty{Holder: "a", Started: a.started, Token: 5}
	a.peers.updateDuty(store.duty)
	a.controller.renewDuty(context.Background())
	g.Expect(store.claims).To(BeZero(), "the claim is recent")
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	a.controller.renewDuty(context.Background())
	g.Expect(store.claims).To(Equal(1))
	duty, self, _ := a.peers.dutyHolder()
	g.Expect(self).To(BeTrue())
	g.Expect(duty.Token).To(Equal(revision.New(0, 6)))

	store.duty = Duty{Holder: "c", Started: 1, Token: 9}
	a.peers.dutyKnownSince = time.Now().Add(-minDutyTenure)
	a.controller.renewDuty(context.Background())
	_, self, _ = a.peers.dutyHolder()
	g.Expect(self).To(BeFalse(), "another instance has claimed the promotion lease")
}
