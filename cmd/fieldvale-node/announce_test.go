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

func TestNodeAnnouncesItselfAnew(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	s.start()
	there := func() bool { return strings.Contains(s.store.Announcement("n1"), s.node.s.Peers) }
	s.eventually("it is announced", there)
	s.store.ExpireLeases()
	s.eventually("it is announced again", there)
}

// At the first start of a fleet an instance joins a list that is short, and
// finds itself on it.
func TestNodeJoinsAShortList(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	s.startWith(func(n *settings.Node) { n.FirstStart = true })
	s.eventually("it is on its list", func() bool {
		m := s.node.view.Get().Members
		return len(m) == 1 && m[0].ID == "n1"
	})
}

// An instance does not join a list that serves the fleet already, neither when
// it starts nor when some of it lapse, and makes no writing call then.
func TestNodeLeavesALongListAlone(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	o := &site{t: s.t, store: s.store, logs: s.logs, done: make(chan error, 1)}
	o.startWith(func(n *settings.Node) { n.ID = "x0" })
	for i := range roster.Enough {
		s.store.PutInstance(fmt.Sprint("x", i), o.node.s.Peers)
	}
	leases := s.store.CallCount(sitetest.PathLease)
	s.startWith(func(n *settings.Node) { n.FirstStart = true })
	for i := range roster.Enough / 3 {
		s.store.RemoveInstance(fmt.Sprint("x", i))
	}
	s.eventually("it hears of those that left", func() bool { return s.node.state.RegisteredCount() == roster.Enough-roster.Enough/3 })
	if s.node.joins(roster.JoinsLater) || s.store.CallCount(sitetest.PathLease) > leases {
		t.Errorf("it joins a list of %d, after %d calls for leases", s.node.state.RegisteredCount(), s.store.CallCount(sitetest.PathLease)-leases)
	}
	for i := range roster.Enough {
		s.store.RemoveInstance(fmt.Sprint("x", i))
	}
	s.eventually("it joins in the end", func() bool { return s.store.Announcement("n1") != "" })
}

// An instance that is started again while its announcement stands renews it.
func TestNodeTakesItsEarlierAnnouncementOver(t *testing.T) {
	s := newSite(t)
	s.replica("i-1", "v1")
	s.start()
	s.eventually("announced", func() bool { return s.store.Announcement(s.node.s.ID) != "" })
	s.stop()
	if err := <-s.done; err != nil {
		t.Fatal(err)
	}
	s.done <- nil
	leases, kept := s.store.CallCount(sitetest.PathLease), s.store.CallCount(sitetest.PathRenew+"1")
	again := newNode(s.node.s, "", s.node.log)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- again.run(ctx, nil) }()
	s.eventually("renewed", func() bool { return s.store.CallCount(sitetest.PathRenew+"1") > kept })
	if n := s.store.CallCount(sitetest.PathLease) - leases; n != 0 {
		t.Errorf("%d leases were made, want none", n)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
