package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/pool"
)

// A request placed without the placer stays in its data centre until this instance's own load
// there costs more than the penalty for another data centre.
func TestRequestsStayInTheirDataCentre(t *testing.T) {
	b := newBackends(rand.NewPCG(1, 1), nil)
	l := []*pool.Replica{{ID: "far", DataCentre: "b", Slots: 4}, {ID: "near", DataCentre: "a", Slots: 4}}
	now := time.Unix(1_700_000_000, 0)
	q := localRequest{costMs: 1, remotePenaltyMs: 30, dataCentre: "a"}
	near := 0
	for b.takeOpaque(l, q, nil, now).ID == "near" {
		near++
	}
	if near < 8 || near > 12 {
		t.Errorf("%d requests stayed in their data centre, want 8 to 12", near)
	}
	if c := b.takeOpaque(l, q, []string{"near"}, now); c.ID != "far" {
		t.Errorf("the second attempt went to %s, want far", c.ID)
	}
}

// With thousands of replicas an instance keeps state only for those that it uses.
func TestBackendsKeepStateOfUsedReplicasOnly(t *testing.T) {
	b := newBackends(rand.NewPCG(1, 1), nil)
	var l []*pool.Replica
	for i := range 3 * maxStates {
		l = append(l, &pool.Replica{ID: fmt.Sprint(i), Service: "s", Slots: 4})
	}
	now := time.Unix(1_700_000_000, 0)
	for range 40 {
		b.assign(l[7], 1, now)
		b.doneOpaque("7", true, true, now)
	}
	for range 5 {
		if c := b.candidates(l, nil, now); len(c) != len(l)-1 {
			t.Fatalf("%d candidates of %d, want all but the one that fails", len(c), len(l))
		}
		b.assign(l[3], 1, now)
	}
	if n := len(b.state); n != 2 {
		t.Errorf("%d replicas have state, want 2", n)
	}
}
