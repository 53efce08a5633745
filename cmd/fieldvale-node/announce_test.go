package main

import (
	"context"
	"strings"
	"testing"

	"fieldvale/adapter/settings"
	"fieldvale/platform/sitetest"
)

func TestNodeAnnouncesItselfAnew(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	s.start()
	there := func() bool { return strings.Contains(s.store.Announcement("n1"), s.node.s.Peers) }
	s.eventually("it is announced", there)
	s.store.LapseAll()
	s.eventually("it is announced again", there)
}

// At the first start of a fleet an instance finds itself on the list when it
// first reads the store, so that it knows whom to follow.
func TestNodeAnnouncesItselfFirst(t *testing.T) {
	s := newSite(t)
	s.replica("a", "v1")
	s.startWith(func(n *settings.Node) { n.FirstStart = true })
	if m := s.node.view.Get().Members; len(m) != 1 || m[0].ID != "n1" {
		t.Errorf("members %v after the first read, want n1", m)
	}
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
	leases, kept := s.store.Calls(sitetest.PathLease), s.store.Calls(sitetest.PathKeep+"1")
	again := newNode(s.node.s, "", s.node.log)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- again.run(ctx, nil) }()
	s.eventually("renewed", func() bool { return s.store.Calls(sitetest.PathKeep+"1") > kept })
	if n := s.store.Calls(sitetest.PathLease) - leases; n != 0 {
		t.Errorf("%d leases were made, want none", n)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
