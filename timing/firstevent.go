package timing

import (
	"time"

	"fieldvale/means"
)

const (
	// delayWeight is the weight of one prompt in the running mean.
	delayWeight = 0.05
	// minDelayRatio and maxDelayRatio limit the influence of a single prompt on the mean.
	minDelayRatio, maxDelayRatio = 0.3, 5
	// firstDelayRatio is the ratio before the first observation: the event is expected when
	// the prefill work is done.
	firstDelayRatio = 1
	// minEstimateMs is the lowest estimate, in milliseconds, that is compared with the actual
	// time. Below it, the ratio of the two has no significance.
	minEstimateMs = 100
)

// FirstEventDelays learns, by service, the ratio of the time to the first event of an answer
// to the estimate of the prefill work until then. Events are later than the estimate because
// replicas generate tokens of other streams in between.
type FirstEventDelays struct{ m *means.RunningMeans }

// NewFirstEventDelays returns delays without observations.
func NewFirstEventDelays() *FirstEventDelays { return &FirstEventDelays{m: means.New(delayWeight)} }

// Expect returns the expected time to the first event, for an estimate of the prefill work in
// milliseconds.
func (d *FirstEventDelays) Expect(service string, estimateMs float64) time.Duration {
	r := d.m.Get(service, firstDelayRatio)
	return time.Duration(r * estimateMs * float64(time.Millisecond))
}

// Observe learns from a prompt whose first event has arrived after the time took.
func (d *FirstEventDelays) Observe(service string, estimateMs float64, took time.Duration) {
	if estimateMs < minEstimateMs {
		return
	}
	x := min(maxDelayRatio, max(minDelayRatio, took.Seconds()*1000/estimateMs))
	d.m.Update(service, firstDelayRatio, func(float64) float64 { return x })
}
