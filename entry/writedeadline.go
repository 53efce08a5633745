package entry

import "time"

// WriteDeadline is the time until which an answer may be written to its client: a client that reads nothing would
// otherwise keep its request in progress. Each write extends it.
type WriteDeadline struct {
	// request is the deadline of the request.
	request time.Time
	at      time.Time
}

// WriteDeadline returns the deadline of the request's answer before its first write.
func (q *OpaqueRequest) WriteDeadline() WriteDeadline {
	return WriteDeadline{request: q.EffectiveDeadline()}
}

// WithWrite returns the deadline once a write begins. Complete answers are delivered after the request's deadline too.
func (d WriteDeadline) WithWrite(now time.Time) WriteDeadline {
	t := d.request
	if now.After(t) {
		t = now
	}
	d.at = t.Add(clientStallTimeout)
	return d
}

// At is when the present write must have ended; zero before the first.
func (d WriteDeadline) At() time.Time { return d.at }
