package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// dutyRenewAge is the age at which a holder renews its claim before it
	// acts. dutyRenewTimeout bounds the renewal; if the store does not respond,
	// no other instance can claim the promotion lease either.
	dutyRenewAge     = 500 * time.Millisecond
	dutyRenewTimeout = 300 * time.Millisecond
	// maxConfirmedDutyAge is the age up to which a claim is certain to be held. Another
	// instance claims the lease once minDutyTenure has passed, so that a control call that is
	// sent before this age ends long before.
	maxConfirmedDutyAge = dutyRenewAge + dutyRenewTimeout
	// maxHeardAge is the age of the last messages of all peers up to which none of them can
	// have claimed the lease from this instance unnoticed.
	maxHeardAge = exchangeInterval + peerTimeout
)

// mayAct reports whether this instance holds the promotion lease and may act on it. After
// the store was restored, the claim must have been made again, and another holder may have
// acted just before although its claim is lost. An instance that has heard from all others
// since then knows of that holder.
func (c *controller) mayAct() bool {
	duty, self, _ := c.gw.peers.dutyHolder()
	era, age := c.gw.eras.knownFor()
	return self && duty.Token.Era() == era && (age >= minDutyTenure || c.gw.peers.heardFromAll(age))
}

// awaitDuty renews this instance's claim and returns it once the instance may act on it.
// It returns false if another instance holds the promotion lease.
func (c *controller) awaitDuty(ctx context.Context) (Duty, bool) {
	for ctx.Err() == nil {
		c.renewDuty(ctx)
		switch duty, self, _ := c.gw.peers.dutyHolder(); {
		case !self:
			return Duty{}, false
		case c.mayAct():
			return duty, true
		}
		sleep(ctx, promoteRetryInterval)
	}
	return Duty{}, false
}

// confirmsDuty renews this instance's claim and reports whether it is certain that it holds
// the promotion lease and may act. It is for acts that carry no fencing token. If the store
// does not respond, the claim counts while all peers are heard from: one that claims the lease
// has heard nothing of this instance.
func (c *controller) confirmsDuty(ctx context.Context) bool {
	c.renewDuty(ctx)
	peers := c.gw.peers
	_, self, _ := peers.dutyHolder()
	tenure, _ := peers.dutyTenure()
	return self && c.mayAct() && (tenure < maxConfirmedDutyAge || peers.heardFromAll(maxHeardAge))
}

// renewDuty renews this instance's claim before it acts, so that no other
// instance can claim the promotion lease immediately afterwards. A claim that the
// store has lost is made again.
func (c *controller) renewDuty(ctx context.Context) {
	lost := c.hasLostClaim()
	if tenure, _ := c.gw.peers.dutyTenure(); tenure >= dutyRenewAge || lost {
		c.repeatClaim(ctx, lost)
	}
}

// hasLostClaim reports whether the store may have lost the newest claim in a restoration.
func (c *controller) hasLostClaim() bool {
	duty, _, _ := c.gw.peers.dutyHolder()
	return duty.Token.Era() < c.gw.eras.current()
}

// repeatClaim renews this instance's claim, or makes it again if it is lost.
func (c *controller) repeatClaim(ctx context.Context, lost bool) {
	gw := c.gw
	duty, self, _ := gw.peers.dutyHolder()
	if !self {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyRenewTimeout)
	defer cancel()
	renewed, err := Duty{}, error(ErrConflict)
	if !lost {
		renewed, err = gw.cfg.Store.ClaimDuty(ctx, duty, gw.cfg.ID, gw.started)
	}
	if errors.Is(err, ErrConflict) {
		renewed, err = c.readDuty(ctx)
		if err == nil && (renewed.IsVoid() || renewed.Holder == "") {
			renewed, err = gw.cfg.Store.ClaimDuty(ctx, renewed, gw.cfg.ID, gw.started)
		}
	}
	if err != nil {
		gw.log.WithField("event", "duty").WithError(err).Info("cannot renew the claim of the promotion duty")
		return
	}
	gw.peers.updateDuty(renewed)
	if lost {
		gw.log.WithFields(logrus.Fields{"event": "duty", "token": renewed.Token, "holder": renewed.Holder}).Info("promotion duty after the restoration of the store")
	}
}
