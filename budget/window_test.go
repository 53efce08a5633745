package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fieldvale/standin/seed"
)

var _ = seed.Fix()

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

// In every window the retries of one instance must not exceed the ratio of the requests of that
// window, of the one before it or of the one half a window before it, whichever has most, plus the
// burst. An account that keeps too much, or forgets too late, would allow more.
func TestRetriesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Ratio: 0.8, Burst: 5}
		now := noon
		b := New(Config{Limit: limit, Clock: func() time.Time { return now }})
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				b.RecordRequest("s")
				requests = append(requests, now)
			} else if b.TakeRetry("s", Failure) {
				retries = append(retries, now)
			}
		}
		const length = 10 * time.Second
		for _, a := range retries {
			r := max(countBetween(requests, a, a.Add(length)), countBetween(requests, a.Add(-length), a), countBetween(requests, a.Add(-length/2), a.Add(length/2)))
			p := countBetween(retries, a, a.Add(length))
			if float64(p) > limit.Ratio*float64(r)+limit.Burst {
				t.Fatalf("got %d retries beside %d requests, which is more than the limit allows", p, r)
			}
		}
	})
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, x := range times {
		if !x.Before(from) && !x.After(to) {
			n++
		}
	}
	return n
}

// Retries with a reserve must leave that fraction of the allowance to retries
// without one, such as those after a failure.
func TestReserveLeavesRetriesForFailures(t *testing.T) {
	now := noon
	b := New(Config{Limit: Limit{Burst: 41}, Clock: func() time.Time { return now }})
	take := func(p Purpose) int {
		n := 0
		for b.TakeRetry("s", p) {
			n++
		}
		return n
	}
	if got := take(SlowStream); got != 27 {
		t.Errorf("got %d retries of 41 for slow streams, want 27", got)
	}
	if got := take(LargerModel); got != 10 {
		t.Errorf("got %d further retries for larger models, want 10", got)
	}
	if got := take(Failure); got != 4 {
		t.Errorf("got %d further retries after failures, want 4", got)
	}
	now = now.Add(time.Minute)
	if b.TakeRetry("s", Failure) {
		t.Error("a retry is allowed with the allowance used up and no request since")
	}
}

// A retry that did not reach a replica must be allowed again.
func TestReturnedRetryIsAllowedAgain(t *testing.T) {
	b := New(Config{Limit: Limit{Burst: 1}, Clock: func() time.Time { return noon }})
	for i := range 3 {
		if !b.TakeRetry("s", Failure) {
			t.Fatalf("retry %d is denied after the one before was returned", i)
		}
		b.ReturnRetry("s", Failure)
	}
	if got := b.Accounts()["s"].Taken[Failure]; got != 0 {
		t.Errorf("got %d retries taken, want 0", got)
	}
}

// The first process of all must have its share of the burst from the first request on, also where the
// fleet's size becomes known later, and once only; a process that follows another one must not.
func TestFirstProcessHoldsItsShareOnce(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		size := 0
		b := New(Config{Limit: Limit{Burst: 30}, FleetSize: func() int { return size }, Clock: func() time.Time { return noon }, Restarted: restarted})
		taken := func() int {
			n := 0
			for b.TakeRetry("s", Failure) {
				n++
			}
			return n
		}
		b.RecordRequest("s")
		if got := taken(); got != 0 {
			t.Errorf("restarted %t: got %d retries while the size is unknown, want 0", restarted, got)
		}
		size = 3
		want := 10
		if restarted {
			want = 0
		}
		if got := taken(); got != want {
			t.Errorf("restarted %t: got %d retries, want %d", restarted, got, want)
		}
		size = 2
		if got := taken(); got != 0 {
			t.Errorf("restarted %t: got %d retries after the size fell, want 0", restarted, got)
		}
	}
}
