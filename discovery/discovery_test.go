package discovery_test

import (
	"testing"
	"time"

	"fieldvale/discovery"
	"fieldvale/pool"
)

var noon = time.Unix(1_700_000_000, 0)

func has(s *discovery.Set, id string) bool {
	for _, r := range s.Replicas() {
		if r.ID == id {
			return true
		}
	}
	return false
}

func TestEntriesThatLapseWhileTheStoreIsAway(t *testing.T) {
	s := discovery.NewSet()
	for _, id := range []string{"back", "gone", "leaving"} {
		s.Put(pool.Replica{ID: id, Draining: id == "leaving"})
	}
	s.Away()
	s.Back(noon)
	for _, id := range []string{"back", "gone", "leaving"} {
		s.Remove(id, noon.Add(100*time.Millisecond))
	}
	if !has(s, "back") || !has(s, "gone") {
		t.Error("an entry that lapsed while the store was away may return")
	}
	if has(s, "leaving") {
		t.Error("a replica that had said that it leaves is kept")
	}
	s.Put(pool.Replica{ID: "back"})
	if l := s.Settle(noon.Add(time.Second)); len(l) != 0 {
		t.Errorf("%v dropped too early", l)
	}
	if l := s.Settle(noon.Add(discovery.ReturnWithin)); len(l) != 1 || l[0] != "gone" {
		t.Errorf("dropped %v, want gone", l)
	}
	if !has(s, "back") || has(s, "gone") {
		t.Errorf("left %v", s.Replicas())
	}
}

func TestEntriesThatGoWithASoundStore(t *testing.T) {
	s := discovery.NewSet()
	s.Put(pool.Replica{ID: "a"})
	s.Put(pool.Replica{ID: "b"})
	s.Remove("a", noon)
	if has(s, "a") {
		t.Error("a replica whose entry went is kept")
	}
	s.Retain(map[string]bool{}, noon)
	if has(s, "b") {
		t.Error("a replica that is not in the whole list is kept")
	}
}
