package load

import (
	"sync"
	"time"

	"fieldvale/means"
)

// Result is what became of a report.
type Result string

// The results of a report.
const (
	Kept Result = "kept"
	// Outdated: a report of a request that was sent later is known already.
	Outdated Result = "outdated"
	Invalid  Result = "invalid"
	// NoRoom: the tracker is full.
	NoRoom Result = "no_room"
)

// Hooks are callbacks for metrics. Each may be nil, and none may block.
type Hooks struct {
	// Reported is called for each report.
	Reported func(Result)
	// Used is called for each choice with the age of the chosen replica's report, if that is new enough
	// to count.
	Used func(age time.Duration)
}

// Log writes an event with its fields, given as pairs of name and value.
type Log func(event string, fields ...any)

// Tracker keeps the newest report of each replica. It is safe for concurrent use. A nil Tracker has
// no reports.
type Tracker struct {
	clock func() time.Time
	log   Log
	hooks Hooks
	// countOwn returns the number of this instance's requests at a replica; nil for none.
	countOwn func(replica string) int
	// serviceMs averages the time of one request at the usual speed, by plain service.
	serviceMs *means.RunningMeans

	mu        sync.Mutex
	samples   map[string]*Sample
	nextSweep time.Time
	// nextInvalidLog is the earliest time for the next log line about an invalid report.
	nextInvalidLog time.Time
}

// NewTracker returns a tracker without reports.
func NewTracker(clock func() time.Time, log Log, h Hooks) *Tracker {
	return &Tracker{clock: clock, log: log, hooks: h, serviceMs: means.NewFastStart(serviceTimeWeight, 1), samples: map[string]*Sample{}}
}

// CountOwn makes the tracker call f for the number of this instance's requests at a replica. It must
// be called before the first request. The tracker holds no lock during the call.
func (t *Tracker) CountOwn(f func(replica string) int) {
	if t != nil {
		t.countOwn = f
	}
}

const (
	// maxSamples bounds the memory for reports to about 200 kB.
	maxSamples = 1024
	// retention is how long a report is kept to tell that a delayed response is older. It exceeds
	// the time that requests are usually allowed. sweepInterval is the minimum time between two sweeps.
	retention     = 30 * time.Second
	sweepInterval = time.Second
)

// Observe records the report of a response. Of two reports of a replica, that of the request that
// was sent later counts, since a response may have been delayed on its way.
func (t *Tracker) Observe(s Sample) {
	if t.countOwn != nil {
		s = s.WithOwn(t.countOwn(s.Replica))
	}
	r := t.put(s)
	if r == Kept && s.Service != "" && !s.Refused {
		t.observeServiceTime(s)
	}
	t.reported(r)
}

func (t *Tracker) put(s Sample) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, known := t.samples[s.Replica]
	if known && s.SentAt.Before(o.SentAt) {
		return Outdated
	}
	t.sweep(s.ReceivedAt)
	if !known && len(t.samples) >= maxSamples {
		return NoRoom
	}
	t.samples[s.Replica] = &s
	return Kept
}

// sweep deletes old reports. While the tracker is full, it deletes all that count for nothing. The
// caller holds t.mu.
func (t *Tracker) sweep(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(sweepInterval)
	keep := retention
	if len(t.samples) >= maxSamples {
		keep = maxAge
	}
	for id, s := range t.samples {
		if s.Age(now) >= keep {
			delete(t.samples, id)
		}
	}
}

// Newest returns the newest report of the replica, which the caller must not change. ok is false if
// it has none that may count now.
func (t *Tracker) Newest(replica string, now time.Time) (s *Sample, ok bool) {
	if t == nil {
		return nil, false
	}
	t.mu.Lock()
	s, ok = t.samples[replica]
	t.mu.Unlock()
	return s, ok && s.IsCurrent(now)
}

// RecordUse records that a choice used the report.
func (t *Tracker) RecordUse(s *Sample, now time.Time) {
	if t.hooks.Used != nil {
		t.hooks.Used(s.Age(now))
	}
}

func (t *Tracker) reported(r Result) {
	if t.hooks.Reported != nil {
		t.hooks.Reported(r)
	}
}

// invalidLogInterval is the minimum time between two log lines about invalid reports.
const invalidLogInterval = time.Second

// LogInvalidHeader logs that a header in a response of the replica could not be parsed. Log lines are
// limited to one per invalidLogInterval.
func (t *Tracker) LogInvalidHeader(replica, header string, err error) {
	t.reported(Invalid)
	now := t.clock()
	t.mu.Lock()
	due := !now.Before(t.nextInvalidLog)
	if due {
		t.nextInvalidLog = now.Add(invalidLogInterval)
	}
	t.mu.Unlock()
	if due {
		t.log("answer_header_unreadable", "replica", replica, "header", header, "error", err)
	}
}

const (
	// firstServiceMs is the assumed time of one request of a plain service before the first
	// observation. It is a rough value, used for the first requests only.
	firstServiceMs = 100
	// serviceTimeWeight is the weight of one request in the running mean.
	serviceTimeWeight = 0.03
)

// ServiceMs returns the expected time of one request of the plain service at a free slot and at the
// usual speed, in milliseconds.
func (t *Tracker) ServiceMs(service string) float64 { return t.serviceMs.Get(service, firstServiceMs) }

// observeServiceTime learns from a response of a plain service, which is sent at the end of the run.
// Requests in the queue in front of it and the slowness are factored out.
func (t *Tracker) observeServiceTime(s Sample) {
	took := s.ReceivedAt.Sub(s.SentAt).Seconds() * 1000
	load := float64(s.Running+s.Waiting) / float64(s.Slots)
	t.serviceMs.Update(s.Service, firstServiceMs, func(float64) float64 { return took / (s.Slowness * max(1, load)) })
}
