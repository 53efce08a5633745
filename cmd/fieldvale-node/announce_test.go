package main

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"fieldvale/adapter/settings"
	"fieldvale/platform/sitetest"
	"fieldvale/roster"
)

// Guards against an instance that stays unregistered after its lease has expired in the
// store: it must make a new announcement.
func TestNodeAnnouncesItselfAnew(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("a", "v1")
	s.start()
	announced := func() bool { return strings.Contains(s.store.Announcement("n1"), s.node.settings.PeersListen) }
	s.eventually("the node is announced", announced)
	s.store.ExpireLeases()
	s.eventually("the node is announced again", announced)
}

// Guards against a fleet without registered members at its first start: an instance must
// register where too few are, and find itself in the member list.
func TestNodeRegistersWhenFewAreRegistered(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("a", "v1")
	s.startWith(func(n *settings.Node) { n.FirstStart = true })
	s.eventually("the node is in its own member list", func() bool {
		m := s.node.view.Get().Members
		return len(m) == 1 && m[0].ID == "n1"
	})
}

// Guards against needless writes to the store: an instance must not register while enough
// members are, neither when it starts nor when a third of the others expire. It registers
// once all of them are gone.
func TestNodeDoesNotRegisterWhenEnoughAre(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("a", "v1")
	o := &testEnv{t: s.t, store: s.store, logs: s.logs, done: make(chan error, 1)}
	o.startWith(func(n *settings.Node) { n.ID = "x0" })
	for i := range roster.TargetSize {
		s.store.PutInstance(fmt.Sprint("x", i), o.node.settings.PeersListen)
	}
	leases := s.store.CallCount(sitetest.PathLease)
	s.startWith(func(n *settings.Node) { n.FirstStart = true })
	for i := range roster.TargetSize / 3 {
		s.store.RemoveInstance(fmt.Sprint("x", i))
	}
	s.eventually("the node has observed that a third of the members is gone", func() bool { return s.node.state.RegisteredCount() == roster.TargetSize-roster.TargetSize/3 })
	if s.node.drawRegistration(roster.LateJoinProbability) || s.store.CallCount(sitetest.PathLease) > leases {
		t.Errorf("the node registers beside %d members, or made %d lease calls, want neither", s.node.state.RegisteredCount(), s.store.CallCount(sitetest.PathLease)-leases)
	}
	for i := range roster.TargetSize {
		s.store.RemoveInstance(fmt.Sprint("x", i))
	}
	s.eventually("the node registers after all members are gone", func() bool { return s.store.Announcement("n1") != "" })
}

// Guards against a new lease and announcement for each restart: an instance that restarts
// before its announcement expires must renew it instead.
func TestRestartedNodeRenewsItsAnnouncement(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("i-1", "v1")
	s.start()
	s.eventually("the node is announced", func() bool { return s.store.Announcement(s.node.settings.ID) != "" })
	s.stop()
	if err := <-s.done; err != nil {
		t.Fatal(err)
	}
	s.done <- nil
	leases, renewals := s.store.CallCount(sitetest.PathLease), s.store.CallCount(sitetest.PathRenew+"1")
	again := newNode(s.node.settings, "", s.node.log)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- again.run(ctx, nil) }()
	s.eventually("the announcement is renewed", func() bool { return s.store.CallCount(sitetest.PathRenew+"1") > renewals })
	if n := s.store.CallCount(sitetest.PathLease) - leases; n != 0 {
		t.Errorf("the restarted node made %d leases, want 0", n)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
