package quota

import "time"

// Belief is what is believed of one replica's limit. It is immutable; its zero value is of
// one that never named any.
type Belief struct {
	// PerSecond is the figure that it named last, AskedAt and NamedAt are when that answer's
	// request was sent and when it came.
	PerSecond        float64
	AskedAt, NamedAt time.Time
	// FreeFrom is when the latest request was sent whose answer named no limit.
	FreeFrom time.Time
	// By is the instance that heard the figure.
	By string
	// SuspectUntil is until when the replica may be cold without its word for it.
	SuspectUntil time.Time
	// Service is the one that it serves.
	Service string
}

// SuspectFor is how long a replica counts as cold that could not be reached: it may have
// started again, is tried again after four seconds at the latest, and its own word comes
// within three. One that broke an answer off is not meant: where a few in a hundred do, all
// replicas would be bounded all the time, and of a service with 80 requests a second before
// four replicas nearly all were refused.
const SuspectFor = 7 * time.Second

// withService returns the belief with the replica's service known.
func (b Belief) withService(s string) Belief {
	b.Service = s
	return b
}

// withSuspect returns the belief with the replica taken to be cold until then.
func (b Belief) withSuspect(until time.Time) Belief {
	if until.After(b.SuspectUntil) {
		b.SuspectUntil = until
	}
	return b
}

// isEmpty reports whether nothing is believed.
func (b Belief) isEmpty() bool { return b.NamedAt.IsZero() && b.SuspectUntil.IsZero() }

// IsLimited reports whether a limit holds: no answer that named none was surely given
// after the one that named it. Answers on several connections overtake one another, so that
// one counts as later only if its request was sent after the other's answer had come.
func (b Belief) IsLimited() bool {
	return !b.NamedAt.IsZero() && b.FreeFrom.Before(b.NamedAt)
}

// With returns the belief with a word counted that the instance heard. Of two figures of
// which none is surely the later one the smaller counts, until the next answer.
func (b Belief) With(w LimitReport, by string) Belief {
	if !w.HasLimit {
		if w.SentAt.After(b.FreeFrom) {
			b.FreeFrom = w.SentAt
		}
		return b
	}
	overlaps := b.IsLimited() && w.SentAt.Before(b.NamedAt)
	switch {
	case !w.ReceivedAt.After(b.AskedAt):
		return b
	case overlaps && w.PerSecond > b.PerSecond:
		return b
	case overlaps && w.PerSecond == b.PerSecond && w.ReceivedAt.Before(b.NamedAt):
		return b
	}
	b.PerSecond, b.AskedAt, b.By = w.PerSecond, w.SentAt, by
	if w.ReceivedAt.After(b.NamedAt) {
		b.NamedAt = w.ReceivedAt
	}
	return b
}

// words returns what the belief says to others.
func (b Belief) words() []LimitReport {
	var l []LimitReport
	if !b.NamedAt.IsZero() {
		l = append(l, LimitReport{HasLimit: true, PerSecond: b.PerSecond, SentAt: b.AskedAt, ReceivedAt: b.NamedAt})
	}
	if !b.FreeFrom.IsZero() {
		l = append(l, LimitReport{SentAt: b.FreeFrom, ReceivedAt: b.FreeFrom})
	}
	return l
}

// WithTold returns the belief with another instance's counted.
func (b Belief) WithTold(o Belief) Belief {
	for _, w := range o.words() {
		b = b.With(w, o.By)
	}
	if b.Service == "" {
		b.Service = o.Service
	}
	return b.withSuspect(o.SuspectUntil)
}
