package quota

import "time"

const (
	// maxOpenSpan is how long a request counts as under way if its end is not reported.
	maxOpenSpan = 10 * time.Second
	// fullRetry is the time after which a replica without room may have some again.
	fullRetry = 20 * time.Millisecond
	// probesPerRejection is how many of the rejections that a replica bears in a second are used to
	// find out whether it has more room.
	probesPerRejection = 0.5
)

// room is how many requests a fragile replica takes at a time, learned from its rejections. The zero
// value is that of a replica that has not rejected any.
type room struct {
	// open are the times of the requests that are under way, as far as their ends were reported.
	open []time.Time
	// most is how many may be under way; 0 if that is unknown. It grows by one at nextGrowth if it is
	// used up then.
	most       int
	nextGrowth time.Time
}

// at returns the room at the time now; rejections is how many the replica bears in a second.
func (r room) at(now time.Time, rejections float64) room {
	for len(r.open) > 0 && now.Sub(r.open[0]) >= maxOpenSpan {
		r.open = r.open[1:]
	}
	if !r.isFull() || now.Before(r.nextGrowth) {
		return r
	}
	r.most++
	r.nextGrowth = now.Add(time.Duration(float64(time.Second) / (probesPerRejection * max(1, rejections))))
	return r
}

// undecided returns the times of the requests under way that may still be rejected, the oldest first.
func (r room) undecided(now time.Time) []time.Time {
	l := r.open
	for len(l) > 0 && now.Sub(l[0]) >= undecidedSpan {
		l = l[1:]
	}
	return l
}

// isFull reports whether the replica has no room for another request.
func (r room) isFull() bool { return r.most > 0 && len(r.open) >= r.most }

// withEnd returns the room after the end of a request.
func (r room) withEnd() room {
	if len(r.open) > 0 {
		r.open = r.open[1:]
	}
	return r
}

// withRejection returns the room after a rejection: the replica takes fewer than are under way.
func (r room) withRejection(now time.Time) room {
	r.most = max(1, len(r.open)-1)
	if r.nextGrowth.Before(now) {
		r.nextGrowth = now.Add(time.Second)
	}
	return r
}
