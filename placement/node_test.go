package placement_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fieldvale/peer"
	"fieldvale/placement"
)

// Guards against memory for each instance that was ever lost.
func TestLostOwnersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := placement.NewNode("x", 0, discard{}, time.Now, func(string, ...any) {})
		for i := range 20 {
			id := fmt.Sprint("lost", i)
			n.SetMembers([]peer.Member{{ID: id, Addr: id}})
			n.Choose(context.Background(), group, placement.Request{Replicas: []string{replica}, UnsharedMs: 1})
			time.Sleep(2 * time.Second)
		}
		n.SetMembers(nil)
		if a := n.AvoidedOwners(); a != 0 {
			t.Errorf("got %d owners that are kept as silent, want none", a)
		}
	})
}
