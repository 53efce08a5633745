package capacity

import "time"

// queue is a model of the queue before a resource that works at a constant rate, such as a link. It
// holds the work that arrived and is not done yet.
type queue struct {
	// rate is the work done per second; a rate of 0 is unknown, and the queue is then always empty.
	rate    float64
	backlog float64
	at      time.Time
}

// add adds work that arrived at the given time.
func (q *queue) add(work float64, now time.Time) {
	if q.rate <= 0 {
		return
	}
	q.advance(now)
	q.backlog += work
}

// advance removes the work that was done until now.
func (q *queue) advance(now time.Time) {
	if d := now.Sub(q.at).Seconds(); d > 0 {
		q.backlog = max(0, q.backlog-d*q.rate)
		q.at = now
	}
}

// delay returns how long work that arrives now, behind further work, waits until it is begun.
func (q *queue) delay(further float64, now time.Time) time.Duration {
	if q.rate <= 0 {
		return 0
	}
	q.advance(now)
	return time.Duration((q.backlog + further) / q.rate * float64(time.Second))
}

const (
	// headerBytes is what the headers of a packet take on the link, and what a packet without data
	// takes; segmentBytes is the data in a full packet.
	headerBytes  = 54
	segmentBytes = 1400
	// openPackets is the number of packets without data that a connection's beginning and end take in
	// each direction.
	openPackets = 3
)

// linkBytes returns what n bytes of data that are written at once take on the link in their direction, and
// what their acknowledgements take in the other one: one for each two packets.
func linkBytes(n int) (data, acknowledgements float64) {
	packets := (n + segmentBytes - 1) / segmentBytes
	return float64(n + packets*headerBytes), float64(packets) * headerBytes / 2
}

// mean is a mean over about the last meanSpan events.
type mean struct {
	sum, events float64
}

// meanSpan is the number of events over which a mean is taken.
const meanSpan = 100

// add adds an amount that belongs to no event in particular.
func (m *mean) add(amount float64) { m.sum += amount }

// count counts an event.
func (m *mean) count() {
	const keep = 1 - 1.0/meanSpan
	m.sum *= keep
	m.events = m.events*keep + 1
}

// value returns the mean amount of an event; 0 before the first one.
func (m *mean) value() float64 {
	if m.events == 0 {
		return 0
	}
	return m.sum / m.events
}
