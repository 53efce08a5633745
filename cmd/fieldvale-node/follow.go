package main

import (
	"context"
	"math/rand/v2"
	"time"

	"fieldvale/mirror"
	"fieldvale/peer"
	"fieldvale/platform"
	"fieldvale/relay"
	"fieldvale/store"
)

const (
	// firstStartDelay is the minimum delay of an instance's first read of the store when
	// the whole fleet starts: the platform starts all instances within 0.3 s. A random
	// delay of up to firstStartJitter is added, so that each instance reads what earlier
	// ones have announced: with 295 instances, 200 start to read in a second, and an
	// announcement takes two calls of the store.
	firstStartDelay  = 400 * time.Millisecond
	firstStartJitter = 1500 * time.Millisecond
	// firstReadMbit is an amount of data in Mbit. The time in which the instance's link
	// transfers it is added to that delay, so that instances with fast links start first:
	// they read the store on behalf of all others.
	firstReadMbit = 4.0
	// listTimeout bounds a read of the member list.
	listTimeout = time.Second
)

// followStore applies the content of the store and its changes to the instance's state
// until ctx ends.
func (n *node) followStore(ctx context.Context) error {
	if n.settings.FirstStart {
		sleepContext(ctx, n.randomStartDelay())
	}
	return n.newMirror().Run(ctx)
}

// randomStartDelay returns how long this instance waits before its first read of the store
// when the whole fleet starts, as firstStartDelay and firstReadMbit describe.
func (n *node) randomStartDelay() time.Duration {
	d := firstStartDelay + rand.N(firstStartJitter)
	if n.settings.LinkMbps > 0 {
		d += time.Duration(firstReadMbit / n.settings.LinkMbps * float64(time.Second))
	}
	return d
}

// listMembers reads the registered members from the store; stale allows an outdated answer,
// which costs less. It also passes to announce whether this instance is registered by an
// earlier run. An empty outdated answer does not show that, and is not passed on.
func (n *node) listMembers(ctx context.Context, stale bool) ([]peer.Member, error) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	l, err := n.store.Members(callCtx, stale)
	if err != nil {
		return nil, err
	}
	var earlierAnnouncement store.LeasedKey
	m := make([]peer.Member, len(l))
	for i, x := range l {
		m[i] = x.Member
		if x.Member == n.self() {
			earlierAnnouncement = x.LeasedKey
		}
	}
	if len(l) > 0 || !stale {
		n.offerEarlierAnnouncement(earlierAnnouncement)
	}
	return m, nil
}

// newMirror returns the mirror that follows the store. It passes changes to the instance's
// state, and keeps them for the followers of this instance.
func (n *node) newMirror() *mirror.Mirror {
	var d platform.DutyListener
	if n.dutyWorker != nil {
		d = n.dutyWorker
	}
	on := relay.Tee{ChangeLog: n.changeLog, Listener: platform.NewListener(n.state, n.quarantine, d, n.clock, n.logEvent), Event: n.logEvent}
	return mirror.New(n.relay, platform.WatchPrefix, relay.TimingFor(n.settings.MaxApplyDelay).StoreWait, n.clock, on)
}
