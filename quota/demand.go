package quota

import (
	"math"
	"time"
)

// Where all candidates of the requests are bounded, there are fewer permits than requests. Permits
// are reserved for the most urgent requests, as many as these asked for recently; requests of lower
// priority get the rest. A request without a permit is refused at once, each with a different time
// at which to retry.

const (
	// maxRetryDelay bounds how far ahead retries are scheduled: later, callers have given up.
	maxRetryDelay = 5 * time.Second
	// minRetrySpacing is the minimum time between two scheduled retries.
	minRetrySpacing = 5 * time.Millisecond
	// tallyBuckets is the number of buckets of a tally, which together span limitWindow.
	tallyBuckets = 8
	// reserveMargin, times the square root of the number of more urgent requests, is how many
	// additional permits are reserved for them, since they don't arrive at the times at which
	// permits become free. Without the margin 12 of 20 urgent requests are served, with it 18, while
	// 0.90 of all permits are used.
	reserveMargin = 0.7
)

// tally approximately counts the requests in the last limitWindow.
type tally struct {
	counts [tallyBuckets]int
	latest int64
}

const bucketSpan = limitWindow / tallyBuckets

// advance resets the buckets that have left the window, and returns the number of the current
// bucket.
func (t *tally) advance(now time.Time) int64 {
	b := now.UnixNano() / int64(bucketSpan)
	for i := max(t.latest+1, b-tallyBuckets+1); i <= b; i++ {
		t.counts[i%tallyBuckets] = 0
	}
	t.latest = max(t.latest, b)
	return b
}

func (t *tally) add(now time.Time) { t.counts[t.advance(now)%tallyBuckets]++ }

func (t *tally) sum(now time.Time) int {
	t.advance(now)
	s := 0
	for _, x := range t.counts {
		s += x
	}
	return s
}

// demand counts the requests for a service that have only bounded candidates.
type demand struct {
	// requested and granted count the requests and the permits by priority.
	requested, granted [priorities]tally
	// lastRetryAt is the latest time at which a refused request was told to retry.
	lastRetryAt time.Time
}

func clampPriority(priority int) int { return max(0, min(priorities-1, priority)) }

// isReserved reports whether the free permits are reserved for requests of a higher priority than
// this one. perSecond is the rate at which permits become free. Without a reserve, 2 of 20 urgent
// requests and 114 of 800 normal ones are served; with it, 18 and 90
// (TestScarcePermitsGoToHighestPriority).
func (d *demand) isReserved(priority int, perSecond float64, now time.Time) bool {
	priority = clampPriority(priority)
	moreUrgent := 0
	for i := range d.requested[:priority] {
		moreUrgent += d.requested[i].sum(now)
	}
	if moreUrgent == 0 {
		return false
	}
	granted := 0
	for i := priority; i < priorities; i++ {
		granted += d.granted[i].sum(now)
	}
	reserved := float64(moreUrgent) + reserveMargin*math.Sqrt(float64(moreUrgent))
	return float64(granted+1) > perSecond*limitWindow.Seconds()-reserved
}

// nextRetry returns when a refused request is to retry: not before earliest, when a permit becomes
// free, and after the requests that were refused before it. perSecond is the rate at which permits
// become free.
func (d *demand) nextRetry(earliest time.Time, perSecond float64) time.Time {
	step := minRetrySpacing
	if perSecond > 0 {
		step = max(step, time.Duration(float64(time.Second)/perSecond))
	}
	t := earliest
	if next := d.lastRetryAt.Add(step); next.After(t) {
		t = next
	}
	if t.Sub(earliest) > maxRetryDelay {
		t = earliest
	}
	d.lastRetryAt = t
	return t
}
