package share_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/share"
)

var noon = time.Unix(1_700_000_000, 0)

const window = 5 * time.Second

func ExampleLedger() {
	l := share.New(window)
	l.Record("large", 700, noon)
	l.Record("medium", 300, noon)
	l.Record("small", 100, noon)
	const capacity = 800
	for _, c := range []string{"large", "medium", "small"} {
		fmt.Println(c, l.Over(c, capacity, noon))
	}
	fmt.Println(l.Level(capacity, noon))
	fmt.Println(l.Total(noon.Add(window)))
	// Output:
	// large true
	// medium false
	// small false
	// 400
	// 0
}

// drawLedger returns a ledger with the work of some customers, and that work.
func drawLedger(t *rapid.T) (*share.Ledger, map[string]float64) {
	l, work := share.New(window), map[string]float64{}
	for range rapid.IntRange(1, 40).Draw(t, "records") {
		c := fmt.Sprint("c", rapid.IntRange(0, 23).Draw(t, "customer"))
		w := rapid.Float64Range(0.1, 1000).Draw(t, "work")
		work[c] += w
		l.Record(c, w, noon)
	}
	return &l, work
}

// later is within the window of all records of drawLedger.
var later = noon.Add(2 * time.Second)

// Guards against a customer being charged for another one's load: whoever uses no more than an
// equal share of the capacity is within its share.
func TestEqualShareIsNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, work := drawLedger(t)
		capacity := rapid.Float64Range(0, 20_000).Draw(t, "capacity")
		for c, w := range work {
			if w <= capacity/float64(len(work)) && l.Over(c, capacity, later) {
				t.Errorf("%s is over its share with %.1f of a capacity of %.1f for %d customers", c, w, capacity, len(work))
			}
		}
	})
}

// Guards against a customer that gets into trouble because it, or another one, sends less.
func TestLessLoadPutsNobodyOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, work := drawLedger(t)
		capacity := rapid.Float64Range(0, 20_000).Draw(t, "capacity")
		names := slices.Sorted(func(yield func(string) bool) {
			for c := range work {
				if !yield(c) {
					return
				}
			}
		})
		was := map[string]bool{}
		for _, c := range names {
			was[c] = l.Over(c, capacity, later)
		}
		less := rapid.SampledFrom(names).Draw(t, "less")
		l.Withdraw(less, rapid.Float64Range(0, 1).Draw(t, "part")*work[less], noon, later)
		for _, c := range names {
			if !was[c] && l.Over(c, capacity, later) {
				t.Errorf("%s is over its share since %s sends less", c, less)
			}
		}
	})
}

// Guards against capacity that nobody gets, or that is given out twice.
func TestSharesSumToCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 65).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 50_000).Draw(t, "capacity")
		sum := 0.0
		for _, s := range share.Shares(demands, capacity) {
			sum += s
		}
		if math.Abs(sum-capacity) > 1e-6*(1+capacity) {
			t.Errorf("shares sum to %f, want the capacity of %f", sum, capacity)
		}
	})
}

// Guards against a ledger that grows with the number of customers, or that keeps the places of
// those which have gone.
func TestLedgerNamesFewCustomers(t *testing.T) {
	l := share.New(window)
	for i := range 200 {
		l.Record(fmt.Sprint("c", i), 1, noon)
	}
	m := l.ByCustomer(noon)
	if len(m) != share.MaxCustomers+1 || m[share.Others] != 200-share.MaxCustomers {
		t.Errorf("got %d entries and %.0f for the others, want %d and %d", len(m), m[share.Others], share.MaxCustomers+1, 200-share.MaxCustomers)
	}
	l.Record("new", 1, noon.Add(window))
	if m = l.ByCustomer(noon.Add(window)); len(m) != 1 || m["new"] != 1 {
		t.Errorf("after the window: got %v, want only the new customer", m)
	}
}

// Guards against small customers that are over their shares beside a large one, and against work
// that still counts after it was withdrawn or has left the window.
func TestAccountPutsTheLargestCustomersOver(t *testing.T) {
	a := share.NewAccount(window)
	hot := a.Place("hot", 800, noon)
	a.Place("large", 150, noon)
	a.Place("small", 50, noon)
	if s := a.Standing("hot", noon); !s.Over || s.Used != 0.8 || math.Abs(s.Fair-0.78) > 1e-9 {
		t.Errorf("the hot customer: got %+v, want over with 0.8 used of 0.78", s)
	}
	for _, c := range []string{"large", "small"} {
		if s := a.Standing(c, noon); s.Over {
			t.Errorf("the %s customer beside a hot one: got %+v, want within its share", c, s)
		}
	}
	a.Withdraw(hot, noon)
	if s := a.Standing("hot", noon); s.Over || s.Used != 0 {
		t.Errorf("after its work was withdrawn: got %+v, want nothing used", s)
	}
	if s := a.Standing("large", noon); !s.Over {
		t.Errorf("without the hot customer: got %+v, want the large one over its share", s)
	}
	if a.IsIdle(noon) || !a.IsIdle(noon.Add(window)) {
		t.Error("the account is idle before its work has left the window, or not after it")
	}
}

// BenchmarkStanding is the decision for one request with the most customers.
func BenchmarkStanding(b *testing.B) {
	a := share.NewAccount(window)
	for i := range 2 * share.MaxCustomers {
		a.Place(fmt.Sprint("c", i), float64(i+1), noon)
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Standing("c1", noon)
	}
}

// Guards against customers that are demoted although nobody else gets less than they do: a sole
// customer, and customers that have equal rates and arrive in bursts.
func TestCustomersAlikeAreNotOver(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, n := range []int{1, 2, 24} {
		a := share.NewAccount(5 * time.Second)
		for i := range n {
			a.Place(fmt.Sprint("c", i), 100+20*float64(i%3), now)
		}
		for i := range n {
			if s := a.Standing(fmt.Sprint("c", i), now); s.Over {
				t.Errorf("customer %d of %d with nearly equal work is over its share", i, n)
			}
		}
	}
}
