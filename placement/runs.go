package placement

import (
	"container/heap"
	"time"
)

// run is a prompt that is expected to hold a slot until endAt.
type run struct {
	replica string
	endAt   time.Time
	// over says that the slot was given back before.
	over bool
}

// runs are ordered by their ends.
type runs struct{ l runHeap }

func (r *runs) push(x *run) { heap.Push(&r.l, x) }

// pop returns the next run that has ended by now.
func (r *runs) pop(now time.Time) (*run, bool) {
	if len(r.l) == 0 || r.l[0].endAt.After(now) {
		return nil, false
	}
	return heap.Pop(&r.l).(*run), true
}

// runHeap implements heap.Interface.
type runHeap []*run

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].endAt.Before(h[j].endAt) }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(*run)) }
func (h *runHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	*h = (*h)[:n]
	return x
}

// endRuns gives the slots back of the runs that are expected to have ended.
func (l *Ledger) endRuns(now time.Time) {
	for {
		x, ok := l.runs.pop(now)
		if !ok {
			return
		}
		l.endRun(x)
	}
}

// endRun gives the run's slot back, once.
func (l *Ledger) endRun(x *run) {
	if x == nil || x.over {
		return
	}
	x.over = true
	if l.busy[x.replica]--; l.busy[x.replica] <= 0 {
		delete(l.busy, x.replica)
	}
}
