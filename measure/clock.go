package measure

import (
	"container/heap"
	"time"
)

// event is something that happens at a time of a replay, in seconds.
type event struct {
	at float64
	n  int
	f  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// replay runs events in the order of their times.
type replay struct {
	now float64
	q   events
	n   int
}

func (r *replay) at(t float64, f func()) {
	r.n++
	heap.Push(&r.q, event{t, r.n, f})
}

func (r *replay) after(d float64, f func()) { r.at(r.now+d, f) }

func (r *replay) every(d float64, until float64, f func()) {
	for t := d; t < until; t += d {
		r.at(t, f)
	}
}

func (r *replay) run() {
	for len(r.q) > 0 {
		e := heap.Pop(&r.q).(event)
		r.now = e.at
		e.f()
	}
}

// epoch is where the time of a replay starts.
var epoch = time.Unix(1_700_000_000, 0)

func (r *replay) time() time.Time { return epoch.Add(seconds(r.now)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
