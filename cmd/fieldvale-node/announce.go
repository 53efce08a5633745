package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/peer"
	"fieldvale/platform"
	"fieldvale/roster"
	"fieldvale/store"
)

const (
	// announcementTTL is the TTL of an announcement, and so how long an instance that has
	// stopped is still listed; an owner that does not answer is skipped long before. The
	// announcement is renewed after a third of it. An instance whose renewals the store
	// rejects for 12 s stays registered; otherwise each such instance would cost two calls
	// of the store and a change that is sent to all instances.
	announcementTTL = 20 * time.Second
	// renewInterval is the time between two renewals, and between two checks whether too
	// few instances are registered. Instances check at different moments, because they
	// start at different moments.
	renewInterval = announcementTTL / 3
	// registrationDelay is how long an instance that may register waits after its first
	// read of the member list, and registrationJitter is the upper bound of a random
	// addition. By then the instances that were started with it follow others, so that
	// each can compute the size of the fleet.
	registrationDelay  = 1500 * time.Millisecond
	registrationJitter = 2 * time.Second
)

// self returns this instance as a member of the fleet, as it is announced to others.
func (n *node) self() peer.Member {
	return peer.Member{ID: n.settings.ID, Addr: n.settings.PeersListen, DataCentre: n.settings.DataCentre, LinkMbps: n.settings.LinkMbps}
}

// offerEarlierAnnouncement passes the announcement of an earlier run of this instance to
// announce; the zero value if there is none. All calls after the first have no effect.
func (n *node) offerEarlierAnnouncement(a store.LeasedKey) {
	select {
	case n.earlierAnnouncement <- a:
	default:
	}
}

// announce keeps the instance registered if the fleet needs more registered members. An
// instance that was restarted renews its earlier announcement: that costs a tenth of a
// store call, while a new announcement costs two and is sent to all followers of the store.
// An instance that finds no other one registers at once, so that others can find it.
func (n *node) announce(ctx context.Context) error {
	v, err := platform.EncodeMember(n.self())
	if err != nil {
		return errors.Wrap(err, "node.announce")
	}
	var a store.LeasedKey
	select {
	case a = <-n.earlierAnnouncement:
	case <-ctx.Done():
		return nil
	}
	register := false
	if a.Lease == 0 {
		register = n.awaitRegistration(ctx, registrationDelay+rand.N(registrationJitter), func() bool { return n.drawRegistration(roster.JoinProbability) })
	}
	for ctx.Err() == nil {
		if a.Lease != 0 || register {
			if a, err = n.renewAnnouncement(ctx, a, v); err != nil {
				n.logEvent("announce_failed", "error", err)
			}
		}
		register = n.awaitRegistration(ctx, renewInterval, func() bool {
			return register && n.drawRegistration(roster.JoinProbability) || n.drawRegistration(roster.LateJoinProbability)
		})
	}
	return nil
}

// awaitRegistration waits for d and reports whether the instance is to register, as drawn
// by the function draw. It returns true at once if no registered member answers, and false
// if ctx ends.
func (n *node) awaitRegistration(ctx context.Context, d time.Duration, draw func() bool) bool {
	select {
	case <-time.After(d):
		return draw()
	case <-n.registerNow:
		return true
	case <-ctx.Done():
		return false
	}
}

// requestRegistration has the goroutine of announce register this instance at once.
func (n *node) requestRegistration() {
	select {
	case n.registerNow <- struct{}{}:
	default:
	}
}

// drawRegistration decides at random whether this unregistered instance is to register.
// chance returns the probability for the number of registered members and the size of the
// fleet.
func (n *node) drawRegistration(chance func(registered, fleet int) float64) bool {
	return rand.Float64() < chance(n.state.RegisteredCount(), n.relay.EstimateFleetSize())
}

// renewAnnouncement renews the announcement, or makes a new one if there is none or it has
// expired.
func (n *node) renewAnnouncement(ctx context.Context, a store.LeasedKey, value []byte) (store.LeasedKey, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	if a.Lease != 0 {
		b, err := n.store.Renew(callCtx, a, announcementTTL)
		if !errors.Is(err, store.ErrLapsed) {
			return b, err
		}
	}
	b, err := n.store.Announce(callCtx, platform.MemberKey(n.settings.ID), value, announcementTTL)
	if err != nil {
		return store.LeasedKey{}, err
	}
	n.logEvent("listed", "listed_others", n.state.RegisteredCount())
	return b, nil
}

// sleepContext sleeps for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
