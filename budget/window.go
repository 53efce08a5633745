package budget

import "time"

const (
	// windowLength is the period over which retries are compared with requests.
	// The window slides in steps of a slot, slotCount of which make up the window.
	windowLength = 10 * time.Second
	slotCount    = 20
)

// window counts requests in a sliding window. Its zero value is empty. It is not safe for
// concurrent use.
type window struct {
	slots [slotCount]float64
	// newest is the number of the latest slot, counted since the Unix epoch.
	newest int64
}

// record records a request.
func (w *window) record(now time.Time) { w.slots[w.advance(now)]++ }

// sum returns the number of requests in the window.
func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	t := 0.0
	for _, x := range w.slots {
		t += x
	}
	return t
}

// advance clears the slots that have become current since the last call and
// returns the index of the current slot.
func (w *window) advance(now time.Time) int64 {
	n := now.UnixNano() / int64(windowLength/slotCount)
	for i := max(w.newest+1, n-slotCount+1); i <= n; i++ {
		w.slots[i%slotCount] = 0
	}
	w.newest = max(w.newest, n)
	return w.newest % slotCount
}
