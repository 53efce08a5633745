package discovery_test

import (
	"testing"
	"time"

	"fieldvale/discovery"
	"fieldvale/pool"
)

var noon = time.Unix(1_700_000_000, 0)

// has reports whether the set has the replica with the id.
func has(s *discovery.Set, id string) bool {
	for _, r := range s.Replicas() {
		if r.ID == id {
			return true
		}
	}
	return false
}

// Guards against replicas that are removed, although they are running, because their
// entries expired while the store was unreachable, and against keeping those that
// were draining or don't register again in time.
func TestEntriesThatExpireWhileTheStoreIsUnreachable(t *testing.T) {
	s := discovery.NewSet()
	for _, id := range []string{"back", "gone", "leaving"} {
		s.Put(pool.Replica{ID: id, Draining: id == "leaving"})
	}
	s.StoreLost()
	s.StoreRestored(noon)
	for _, id := range []string{"back", "gone", "leaving"} {
		s.Remove(id, noon.Add(100*time.Millisecond))
	}
	if !has(s, "back") || !has(s, "gone") {
		t.Errorf("got %v, want the replicas kept whose entries expired while the store was unreachable", s.Replicas())
	}
	if has(s, "leaving") {
		t.Error("got a draining replica kept after its entry disappeared, want it removed")
	}
	s.Put(pool.Replica{ID: "back"})
	if l := s.RemoveMissing(noon.Add(time.Second)); len(l) != 0 {
		t.Errorf("got %v removed within the grace period, want none", l)
	}
	if l := s.RemoveMissing(noon.Add(discovery.ReregisterWithin)); len(l) != 1 || l[0] != "gone" {
		t.Errorf("got %v removed, want [gone]", l)
	}
	if !has(s, "back") || has(s, "gone") {
		t.Errorf("got %v left, want back and not gone", s.Replicas())
	}
}

// Guards against replicas that are kept although their entry disappeared, or is not
// in the complete list, while the store was reachable.
func TestEntriesThatDisappearWhileTheStoreIsReachable(t *testing.T) {
	s := discovery.NewSet()
	s.Put(pool.Replica{ID: "a"})
	s.Put(pool.Replica{ID: "b"})
	s.Remove("a", noon)
	if has(s, "a") {
		t.Error("got a replica kept whose entry disappeared, want it removed")
	}
	s.RemoveAllExcept(map[string]bool{}, noon)
	if has(s, "b") {
		t.Error("got a replica kept that is not in the complete list, want it removed")
	}
}
