// Package usage counts started requests by customer and time window, and sums the
// counts of all instances. Windows are aligned to the Unix epoch, so that all
// instances use the same ones.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counts holds the number of requests by customer.
type Counts map[string]int

// WindowNumber returns the number of the window that contains t; all windows have the
// given length.
func WindowNumber(t time.Time, length time.Duration) int64 {
	return t.UnixNano() / int64(length)
}

// WindowEnd returns the end of the window.
func WindowEnd(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// CountsByWindow holds counts by window number.
type CountsByWindow map[int64]Counts

// minRetainedWindows is the smallest number of windows for which counts are kept.
const minRetainedWindows = 6

// RetainedWindows returns for how many windows of the length counts are kept, if a window may be
// reported until late after its end: those, the current one, and one that has just begun elsewhere.
func RetainedWindows(length, late time.Duration) int64 {
	return max(minRetainedWindows, int64((late+length-1)/length)+2)
}

// trim deletes the windows that are too old to be retained.
func (w CountsByWindow) trim(newest, retained int64) {
	maps.DeleteFunc(w, func(n int64, _ Counts) bool { return n <= newest-retained })
}

// Tally holds the counts of one instance. It is safe for concurrent use.
type Tally struct {
	length   time.Duration
	retained int64
	mu       sync.Mutex
	counts   CountsByWindow
}

// NewTally returns an empty tally with windows of the given length, of which so many are kept.
func NewTally(length time.Duration, retained int64) *Tally {
	return &Tally{length: length, retained: retained, counts: CountsByWindow{}}
}

// CountRequest counts a request of the customer that started at the given time.
func (t *Tally) CountRequest(customer string, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := WindowNumber(began, t.length)
	if t.counts[w] == nil {
		t.counts[w] = Counts{}
		t.counts.trim(w, t.retained)
	}
	t.counts[w][customer]++
}

// Counts returns a copy of all retained counts.
func (t *Tally) Counts() CountsByWindow {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := make(CountsByWindow, len(t.counts))
	for w, x := range t.counts {
		c[w] = maps.Clone(x)
	}
	return c
}

// origin is one incarnation of an instance. Its counts are lost when the process ends,
// except for those that it has reported to others.
type origin struct {
	id          string
	incarnation uint64
}

// FleetCounts sums the reported counts of all instances. It is safe for concurrent use.
type FleetCounts struct {
	retained int64
	mu       sync.Mutex
	reported map[int64]map[origin]Counts
}

// NewFleetCounts returns a sum without any reported counts, in which so many windows are kept.
func NewFleetCounts(retained int64) *FleetCounts {
	return &FleetCounts{retained: retained, reported: map[int64]map[origin]Counts{}}
}

// Merge merges the counts of an instance's incarnation so far. Reports may arrive
// repeatedly and in any order: counts only grow, so the larger one is kept.
func (b *FleetCounts) Merge(id string, incarnation uint64, l CountsByWindow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	newest := int64(0)
	for w, c := range l {
		newest = max(newest, w)
		if b.reported[w] == nil {
			b.reported[w] = map[origin]Counts{}
		}
		b.reported[w][origin{id, incarnation}] = maxCounts(b.reported[w][origin{id, incarnation}], c)
	}
	maps.DeleteFunc(b.reported, func(w int64, _ map[origin]Counts) bool { return w <= newest-b.retained })
}

// maxCounts returns the larger of the two counts for each customer.
func maxCounts(a, b Counts) Counts {
	c := maps.Clone(b)
	for k, n := range a {
		c[k] = max(c[k], n)
	}
	return c
}

// Sum returns the total counts of all instances in the window.
func (b *FleetCounts) Sum(window int64) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Counts{}
	for _, c := range b.reported[window] {
		for k, n := range c {
			s[k] += n
		}
	}
	return s
}

// settleTime is how long after the end of a window its counts may still arrive.
// Instances send their counts every second, so at least two of their messages arrive
// before the window is reported.
const settleTime = 3 * time.Second

// DueWindows returns the windows that are complete and can still be reported: those that ended
// at least settleTime and less than late ago.
func DueWindows(now time.Time, length, late time.Duration) []int64 {
	var l []int64
	for w := WindowNumber(now.Add(-late), length); !WindowEnd(w, length).Add(settleTime).After(now); w++ {
		if WindowEnd(w, length).Add(late).After(now) {
			l = append(l, w)
		}
	}
	return l
}
