package budget

import "time"

const (
	// windowLength is the period over which retries are compared with requests.
	// The window slides in steps of a slot, slotCount of which make up the window.
	windowLength = 10 * time.Second
	slotCount    = 20
)

// Limit bounds the retries of the whole fleet at a service, so that failing backend
// servers do not receive much more load than healthy ones.
type Limit struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Burst is the number of further retries that the whole fleet may make in any
	// period of the window's length.
	Burst float64
}

// window counts the requests and retries of one service in a sliding window.
// It is not safe for concurrent use.
type window struct {
	limit    Limit
	requests [slotCount]float64
	retries  [slotCount]float64
	// newest is the number of the latest slot, counted since the Unix epoch.
	newest int64
}

// newWindow returns an empty window with the given limit.
func newWindow(r Limit) *window { return &window{limit: r} }

// recordRequest records a request.
func (w *window) recordRequest(now time.Time) {
	w.requests[w.advance(now)]++
}

// requestRate returns the mean number of requests per second in the window.
func (w *window) requestRate(now time.Time) float64 {
	w.advance(now)
	return sum(w.requests) / windowLength.Seconds()
}

// takeRetry reports whether a retry is allowed, and records it if so. share is the
// part of the fleet-wide burst that belongs to this instance; reserve is the
// fraction of the allowance that this kind of retry must leave to other kinds.
func (w *window) takeRetry(now time.Time, share, reserve float64) bool {
	i := w.advance(now)
	if sum(w.retries)+1 > w.limit.Ratio*(1-reserve)*sum(w.requests)+share*(1-reserve) {
		return false
	}
	w.retries[i]++
	return true
}

// advance clears the slots that have become current since the last call and
// returns the index of the current slot.
func (w *window) advance(now time.Time) int64 {
	n := now.UnixNano() / int64(windowLength/slotCount)
	for i := max(w.newest+1, n-slotCount+1); i <= n; i++ {
		w.requests[i%slotCount], w.retries[i%slotCount] = 0, 0
	}
	w.newest = max(w.newest, n)
	return w.newest % slotCount
}

func sum(l [slotCount]float64) float64 {
	t := 0.0
	for _, x := range l {
		t += x
	}
	return t
}
