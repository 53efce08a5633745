package placement

import (
	"container/heap"
	"time"
)

// slotUse is a replica's slot that a prompt is expected to hold until endsAt.
type slotUse struct {
	replica string
	endsAt  time.Time
	// released is set when the slot was released, so that it is not released
	// twice.
	released bool
}

// slotQueue has slots in use, the one with the earliest end first.
type slotQueue struct{ h slotHeap }

func (q *slotQueue) push(s *slotUse) { heap.Push(&q.h, s) }

// pop removes and returns the first slot whose use is expected to have ended.
func (q *slotQueue) pop(now time.Time) (*slotUse, bool) {
	if len(q.h) == 0 || q.h[0].endsAt.After(now) {
		return nil, false
	}
	return heap.Pop(&q.h).(*slotUse), true
}

// slotHeap implements heap.Interface.
type slotHeap []*slotUse

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i].endsAt.Before(h[j].endsAt) }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *slotHeap) Push(x any)        { *h = append(*h, x.(*slotUse)) }
func (h *slotHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	*h = (*h)[:n]
	return x
}

// releaseEndedSlots releases the slots whose use is expected to have ended.
func (l *LoadTracker) releaseEndedSlots(now time.Time) {
	for {
		s, ok := l.slots.pop(now)
		if !ok {
			return
		}
		l.releaseSlot(s)
	}
}

// releaseSlot counts the slot as free, once. A nil slot is ignored.
func (l *LoadTracker) releaseSlot(s *slotUse) {
	if s == nil || s.released {
		return
	}
	s.released = true
	if l.busySlots[s.replica]--; l.busySlots[s.replica] <= 0 {
		delete(l.busySlots, s.replica)
	}
}
