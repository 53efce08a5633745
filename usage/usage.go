// Package usage counts the requests that began to run, by customer and window of the
// time of day, and adds up what all instances have counted.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Counts are requests by customer.
type Counts map[string]int

// Window returns the number of the window of that length in which t lies.
func Window(t time.Time, length time.Duration) int64 {
	return t.UnixNano() / int64(length)
}

// End returns when the window is over.
func End(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// Windows are counts by window.
type Windows map[int64]Counts

// keptWindows is how many windows are remembered: a report may be due ten seconds after
// its window, and another instance may have to make it.
const keptWindows = 6

// trim drops the windows that are long over.
func (w Windows) trim(newest int64) {
	maps.DeleteFunc(w, func(n int64, _ Counts) bool { return n <= newest-keptWindows })
}

// Tally is what one instance has counted. It is safe for concurrent use.
type Tally struct {
	length time.Duration
	mu     sync.Mutex
	counts Windows
}

// NewTally returns an empty tally of windows of that length.
func NewTally(length time.Duration) *Tally { return &Tally{length: length, counts: Windows{}} }

// Saw counts a request of the customer that began to run then.
func (t *Tally) Saw(customer string, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := Window(began, t.length)
	if t.counts[w] == nil {
		t.counts[w] = Counts{}
		t.counts.trim(w)
	}
	t.counts[w][customer]++
}

// Counts returns a copy of all that is remembered.
func (t *Tally) Counts() Windows {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := make(Windows, len(t.counts))
	for w, x := range t.counts {
		c[w] = maps.Clone(x)
	}
	return c
}

// origin is one life of an instance: what it has counted is lost with it, but for what it
// has told.
type origin struct {
	id   string
	life uint64
}

// Book adds up what all instances have counted. It is safe for concurrent use.
type Book struct {
	mu   sync.Mutex
	told map[int64]map[origin]Counts
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{told: map[int64]map[origin]Counts{}} }

// Report takes in all that an instance has counted in its life so far. Reports may come
// twice and in any order, since counts only grow.
func (b *Book) Report(id string, life uint64, l Windows) {
	b.mu.Lock()
	defer b.mu.Unlock()
	newest := int64(0)
	for w, c := range l {
		newest = max(newest, w)
		if b.told[w] == nil {
			b.told[w] = map[origin]Counts{}
		}
		b.told[w][origin{id, life}] = larger(b.told[w][origin{id, life}], c)
	}
	maps.DeleteFunc(b.told, func(w int64, _ map[origin]Counts) bool { return w <= newest-keptWindows })
}

// larger returns the larger count of each customer.
func larger(a, b Counts) Counts {
	c := maps.Clone(b)
	for k, n := range a {
		c[k] = max(c[k], n)
	}
	return c
}

// Sum returns what all have counted in the window.
func (b *Book) Sum(window int64) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Counts{}
	for _, c := range b.told[window] {
		for k, n := range c {
			s[k] += n
		}
	}
	return s
}

// settle is how long after its end a window's counts may still come: instances tell what
// they count each second, twice before a report at least.
const settle = 3 * time.Second

// Due returns the windows that can be reported now and are not too late to be: those that
// ended within late.
func Due(now time.Time, length, late time.Duration) []int64 {
	var l []int64
	for w := Window(now.Add(-late), length); !End(w, length).Add(settle).After(now); w++ {
		if End(w, length).Add(late).After(now) {
			l = append(l, w)
		}
	}
	return l
}
