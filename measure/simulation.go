package measure

import (
	"container/heap"
	"time"
)

// event is a function to run at a simulated time, in seconds. seq keeps the order
// in which events of the same time were scheduled.
type event struct {
	at  float64
	seq int
	run func()
}

// events is a heap of events, the earliest first. It implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is a discrete-event simulation: it runs scheduled events in the order
// of their times.
type simulation struct {
	now       float64
	queue     events
	scheduled int
}

// at schedules f for the time t.
func (s *simulation) at(t float64, f func()) {
	s.scheduled++
	heap.Push(&s.queue, event{t, s.scheduled, f})
}

// after schedules f for d seconds from the current simulated time.
func (s *simulation) after(d float64, f func()) { s.at(s.now+d, f) }

// every schedules f at each multiple of d before the time until.
func (s *simulation) every(d float64, until float64, f func()) {
	for t := d; t < until; t += d {
		s.at(t, f)
	}
}

// run runs events until none is left.
func (s *simulation) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// epoch is the wall time at which each simulation starts.
var epoch = time.Unix(1_700_000_000, 0)

// wallTime converts the current simulated time for code that takes a time.Time.
func (s *simulation) wallTime() time.Time { return epoch.Add(seconds(s.now)) }

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
