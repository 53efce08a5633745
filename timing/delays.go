package timing

import (
	"time"

	"fieldvale/means"
)

const (
	// delayWeight is of one prompt in the running mean.
	delayWeight = 0.05
	// minDelayRatio and maxDelayRatio bound what one prompt shows.
	minDelayRatio, maxDelayRatio = 0.3, 5
	// firstDelayRatio is what is expected before any prompt was seen: that
	// events come when the work before them is done.
	firstDelayRatio = 1
	// minReady is the least estimate in milliseconds that says something of
	// how estimates compare with what comes.
	minReady = 100
)

// FirstEventDelays learns by how much first events come later than the work before
// them says: replicas make tokens of other streams in between.
type FirstEventDelays struct{ m *means.Means }

// NewFirstEventDelays returns what is known before the first request.
func NewFirstEventDelays() *FirstEventDelays { return &FirstEventDelays{m: means.New(delayWeight)} }

// Expect returns the time to the first event for an estimate in milliseconds.
func (d *FirstEventDelays) Expect(service string, ready float64) time.Duration {
	r := d.m.Of(service, firstDelayRatio)
	return time.Duration(r * ready * float64(time.Millisecond))
}

// Observe learns from a prompt whose first event came.
func (d *FirstEventDelays) Observe(service string, ready float64, took time.Duration) {
	if ready < minReady {
		return
	}
	x := min(maxDelayRatio, max(minDelayRatio, took.Seconds()*1000/ready))
	d.m.Learn(service, firstDelayRatio, func(float64) float64 { return x })
}
