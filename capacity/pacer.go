package capacity

import "time"

const (
	// ProbeInterval is the interval at which the lateness of a timer is measured while clients connect.
	ProbeInterval = 20 * time.Millisecond
	// lateOnce and lateTwice are the lateness of one probe, and of two in succession, from which the
	// processor is taken to be behind its work. A single probe may be late because of one long task.
	lateOnce  = 80 * time.Millisecond
	lateTwice = 25 * time.Millisecond
	// minWindow and maxWindow bound the number of connections that may be accepted between two probes.
	// Even minWindow slows down with the probes of a processor that is behind.
	minWindow = 4
	maxWindow = 64
	// A late probe multiplies the window by windowDecrease, one that is in time by windowIncrease.
	windowDecrease = 0.7
	windowIncrease = 1.2
)

// pacer bounds the connections that are accepted between two probes of the processor. A processor that is
// behind delays the probes as well, which slows the acceptance of connections at once.
type pacer struct {
	window   float64
	accepted int
	late     time.Duration
}

func newPacer() pacer { return pacer{window: maxWindow} }

// isFull reports whether the window is used up until the next probe.
func (p *pacer) isFull() bool { return p.accepted >= int(p.window) }

// observe adjusts the window to how late a probe was, and begins the next one.
func (p *pacer) observe(late time.Duration) {
	switch {
	case late >= lateOnce || late >= lateTwice && p.late >= lateTwice:
		p.window = max(minWindow, min(p.window, float64(p.accepted))*windowDecrease)
	case late < lateTwice:
		p.window = min(maxWindow, p.window*windowIncrease)
	}
	p.late = late
	p.accepted = 0
}
