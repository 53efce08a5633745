package duty_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/duty"
)

var noon = time.Unix(1_700_000_000, 0)

func after(s float64) time.Time { return noon.Add(time.Duration(s * float64(time.Second))) }

func ExampleTenure() {
	t := duty.New("a")
	t.Free(noon)
	fmt.Println("the first in rank tries at once, the third later:", t.IsDue(0, noon), t.IsDue(2, noon), t.IsDue(2, after(1)))
	t.Won(17, noon, after(3))
	for _, s := range []float64{0, 2, 2.5, 3} {
		fence, ok := t.Fence(after(s))
		fmt.Println(s, "s later it acts:", fence, ok)
	}
	t.Seen(duty.Holder{ID: "b", Fence: 21}, after(4))
	_, ok := t.Fence(after(4))
	fmt.Println("after another holder was seen:", ok)
	// Output:
	// the first in rank tries at once, the third later: true false true
	// 0 s later it acts: 17 true
	// 2 s later it acts: 17 true
	// 2.5 s later it acts: 17 false
	// 3 s later it acts: 17 false
	// after another holder was seen: false
}

// instance is one of those that may have the duty.
type instance struct {
	*duty.Tenure
	id    string
	rank  int
	alive bool
	// hears says that the store's word comes through, late is its age.
	hears bool
}

// act is one call that was made as the holder.
type act struct {
	id    string
	fence int64
	at    time.Time
}

// However instances end, are cut off and come back, tokens rise with each holder, no two
// act with one token, and none acts by turns with another within a lease.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := make([]*instance, 4)
		for i := range l {
			id := fmt.Sprint("n", i)
			l[i] = &instance{Tenure: duty.New(id), id: id, rank: i, alive: true, hears: true}
		}
		var key duty.Holder
		var until time.Time
		revision := int64(10)
		var acts []act
		for tick := range 400 {
			now := noon.Add(time.Duration(tick) * 100 * time.Millisecond)
			if key.ID != "" && !now.Before(until) {
				key = duty.Holder{}
			}
			if x := l[rapid.IntRange(0, 3).Draw(t, "who")]; rapid.IntRange(0, 9).Draw(t, "happens") == 0 {
				switch rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					x.hears = !x.hears
				case 1:
					x.Tenure, x.alive = duty.New(x.id), !x.alive
				}
			}
			for _, x := range l {
				if !x.alive {
					continue
				}
				if x.hears && tick%5 == x.rank {
					if key.ID == "" {
						x.Free(now)
					} else {
						x.Seen(key, now)
					}
				}
				switch {
				case x.HasLapsed(now):
					x.Lost(now)
				case x.hears && x.Renews(now) && key.ID == x.id:
					until = now.Add(duty.TTL)
					x.Renewed(now, until)
				case x.hears && x.IsDue(x.rank, now) && key.ID == "":
					revision += 3
					key, until = duty.Holder{ID: x.id, Fence: revision}, now.Add(duty.TTL)
					x.Won(revision, now, until)
				}
				if f, ok := x.Fence(now); ok {
					acts = append(acts, act{x.id, f, now})
				}
			}
		}
		check(t, acts)
	})
}

func check(t *rapid.T, acts []act) {
	by := map[int64]string{}
	highest := int64(0)
	var changes []act
	for _, a := range acts {
		if id, ok := by[a.fence]; ok && id != a.id {
			t.Fatalf("%s and %s act with token %d", id, a.id, a.fence)
		}
		by[a.fence] = a.id
		if a.fence < highest {
			t.Fatalf("%s acts with token %d at %s after %d was used", a.id, a.fence, a.at.Sub(noon), highest)
		}
		highest = a.fence
		if n := len(changes); n == 0 || changes[n-1].id != a.id {
			changes = append(changes, a)
		}
	}
	for i := 2; i < len(changes); i++ {
		if a, c := changes[i-2], changes[i]; a.id == c.id && c.at.Sub(changes[i-1].at) < duty.TTL {
			t.Fatalf("%s acted before and %s after another holder", a.id, c.at.Sub(changes[i-1].at))
		}
	}
}
