package bill_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/bill"
	"fieldvale/standin/seed"
	"fieldvale/version"
)

var _ = seed.Fix()

var (
	line = bill.Line{Team: "t", Customer: "c", Version: version.New("m", "1")}
	noon = time.Unix(1_700_000_000, 0)
)

// record returns a record of one request with cost seq.
func record(owner, id string, seq uint64) bill.Record {
	return bill.Record{RequestID: id, Owner: owner, Seq: seq, Line: line, Amount: bill.Amount{Requests: 1, Cost: seq}}
}

// Guards against records that are counted twice or not at all when they are settled
// out of order or more than once.
func TestLedgerCountsEachRecordOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "records")
		l, want := bill.NewLedger("o"), bill.Amount{}
		void := map[int]bool{}
		for i := 1; i <= n; i++ {
			void[i] = rapid.IntRange(0, 4).Draw(t, "void") == 0
			if !void[i] {
				want = want.Plus(record("o", "", uint64(i)).Amount)
			}
		}
		order := rapid.Permutation(numbers(n)).Draw(t, "order")
		for _, i := range append(order, rapid.SliceOf(rapid.SampledFrom(order)).Draw(t, "again")...) {
			if void[i] {
				l = l.WithDuplicate(uint64(i))
				continue
			}
			l = l.With(record("o", "", uint64(i)))
		}
		if l.Total() != want || l.SettledUpto != uint64(n) || len(l.SettledAbove) != 0 {
			t.Fatalf("got total %+v up to %d, want %+v up to %d", l.Total(), l.SettledUpto, want, n)
		}
	})
}

func numbers(n int) []int {
	r := make([]int, n)
	for i := range r {
		r[i] = i + 1
	}
	return r
}

// Guards against a request that is billed twice or never. Two entries bill the same
// request and their records reach two holders in any order, at the same time or one
// well after the other. Exactly one of them must count.
func TestOneOfTwoRecordsCountsInAnyOrder(t *testing.T) {
	for _, gap := range []time.Duration{0, 10 * time.Second} {
		for firstAt1 := range 2 {
			for firstAt2 := range 2 {
				r := []bill.Record{record("a", "id", 1), record("b", "id", 1)}
				w := [2][]bill.HoldResult{}
				for n, first := range []int{firstAt1, firstAt2} {
					if gap > 0 && n == 1 && firstAt1 != firstAt2 {
						continue
					}
					b := bill.NewHeldRecords()
					w[first] = append(w[first], b.Hold(r[first], noon))
					w[1-first] = append(w[1-first], b.Hold(r[1-first], noon.Add(gap)))
				}
				counted := 0
				for i := range r {
					if !bill.IsDuplicate(r[i], w[i]) {
						counted++
					}
				}
				if counted != 1 {
					t.Errorf("gap %s, first at holders %d %d: got %d records counted, want 1", gap, firstAt1, firstAt2, counted)
				}
			}
		}
	}
}

// Guards against held records that grow without limit while the store is unreachable for
// hours, and against those that are kept after the store has them and their window ended.
func TestHeldRecordsAreBoundedThroughHoursOfOutage(t *testing.T) {
	b := bill.NewHeldRecords()
	const most = 150_000
	for i := range uint64(most + 1000) {
		b.Hold(record("o", string(rune(i))+"/"+time.Duration(i).String(), i), noon)
	}
	if b.Len() > most || b.Dropped != 1000 {
		t.Errorf("got %d held and %d dropped, want at most %d and 1000", b.Len(), b.Dropped, most)
	}
	b.MarkFlushed(bill.Ledger{Owner: "o", SettledUpto: most + 1000})
	b.Expire(noon.Add(bill.DuplicateWindow))
	if b.Len() != 0 {
		t.Errorf("got %d held after the store has them all, want 0", b.Len())
	}
}

// Guards against a request that is billed twice or never when its first owner dies
// after one of two holders has its record, and the caller retries it at a second
// owner within 100 ms. It must be counted once, whichever owner has the lower name
// and whichever holders the second owner reaches.
func TestRequestOfADeadOwnerIsCountedOnce(t *testing.T) {
	for _, c := range []struct {
		name, dead, alive string
		// reached are the holders that the second owner reaches. Holder 0 has
		// the dead owner's record.
		reached []int
	}{
		{"the dead owner is lower", "a", "b", []int{0, 1}},
		{"the dead owner is higher", "b", "a", []int{0, 1}},
		{"the dead owner is lower, only its holder is reached", "a", "b", []int{0}},
		{"the dead owner is higher, only its holder is reached", "b", "a", []int{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			books := []*bill.HeldRecords{bill.NewHeldRecords(), bill.NewHeldRecords()}
			dead, alive := record(c.dead, "id", 1), record(c.alive, "id", 1)
			books[0].Hold(dead, noon)
			var w []bill.HoldResult
			for _, i := range c.reached {
				w = append(w, books[i].Hold(alive, noon.Add(100*time.Millisecond)))
			}
			counted := 0
			if bill.IsDuplicate(alive, w) {
				for _, i := range c.reached {
					books[i].Release(alive)
				}
			} else {
				counted++
			}
			for _, b := range books {
				for _, h := range b.Held()[c.dead] {
					if !h.Duplicate {
						counted++
					}
				}
			}
			if counted != 1 {
				t.Errorf("got %d records counted, want 1", counted)
			}
		})
	}
}
