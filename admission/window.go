package admission

import "time"

const (
	// budgetWindow is the span over which repeats are held against requests,
	// and slots how finely it slides.
	budgetWindow = 10 * time.Second
	slots        = 20
)

// Repeats bounds how much more often requests reach a service than they came
// in, so that failing backend servers are not hit harder than sound ones.
type Repeats struct {
	// Part is the repeats that each request allows.
	Part float64
	// Burst is allowed on top, fleet-wide, in any span of the window.
	Burst float64
}

// Window counts requests and repeats of one service over the last seconds.
// It is not safe for concurrent use.
type Window struct {
	limit    Repeats
	requests [slots]float64
	repeats  [slots]float64
	// newest is the number of the slot that now falls into.
	newest int64
}

// NewWindow returns a window in which nothing was counted.
func NewWindow(r Repeats) *Window { return &Window{limit: r} }

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.requests[w.slot(now)]++
}

// Rate returns how many requests a second there were lately.
func (w *Window) Rate(now time.Time) float64 {
	w.slot(now)
	return sum(w.requests) / budgetWindow.Seconds()
}

// Repeat counts a repeat and reports whether it is allowed. share is this
// instance's part of what the fleet is allowed on top; reserve is the part of
// the allowance that is to be left for others.
func (w *Window) Repeat(now time.Time, share, reserve float64) bool {
	i := w.slot(now)
	if sum(w.repeats)+1 > w.limit.Part*(1-reserve)*sum(w.requests)+w.limit.Burst*share*(1-reserve) {
		return false
	}
	w.repeats[i]++
	return true
}

// slot returns the index for now and empties the slots passed since.
func (w *Window) slot(now time.Time) int64 {
	n := now.UnixNano() / int64(budgetWindow/slots)
	for i := max(w.newest+1, n-slots+1); i <= n; i++ {
		w.requests[i%slots], w.repeats[i%slots] = 0, 0
	}
	w.newest = max(w.newest, n)
	return w.newest % slots
}

func sum(l [slots]float64) float64 {
	t := 0.0
	for _, x := range l {
		t += x
	}
	return t
}
