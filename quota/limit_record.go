package quota

import "time"

// LimitRecord is what is recorded about the limit of one replica. It is immutable; the zero value
// is the record of a replica that never advertised a limit.
type LimitRecord struct {
	// PerSecond is the limit that was advertised last. SentAt is when the request of that response
	// was sent, ReceivedAt when the response arrived.
	PerSecond          float64
	SentAt, ReceivedAt time.Time
	// UnlimitedSince is when the latest request was sent whose response advertised no limit.
	UnlimitedSince time.Time
	// ReportedBy is the instance that received the limit.
	ReportedBy string
	// MaybeColdUntil is the time until which the replica may be cold without reporting it.
	MaybeColdUntil time.Time
	// Service is the service of the replica.
	Service string
}

// MaybeColdFor is how long a replica that could not be reached is treated as cold. It may have
// restarted; it is tried again after four seconds at the latest, and its own report arrives within
// three more. A response that breaks off does not have this effect: where a few in a hundred do,
// all replicas would be bounded all the time, and a service with 80 requests a second on four
// replicas would have nearly all of them refused.
const MaybeColdFor = 7 * time.Second

// withService returns the record with the service set.
func (r LimitRecord) withService(s string) LimitRecord {
	r.Service = s
	return r
}

// withMaybeCold returns the record with MaybeColdUntil set to until, if that is later.
func (r LimitRecord) withMaybeCold(until time.Time) LimitRecord {
	if until.After(r.MaybeColdUntil) {
		r.MaybeColdUntil = until
	}
	return r
}

// isEmpty reports whether the replica neither advertised a limit nor may be cold.
func (r LimitRecord) isEmpty() bool { return r.ReceivedAt.IsZero() && r.MaybeColdUntil.IsZero() }

// IsLimited reports whether a limit is in force, that is, whether no response without a limit is
// certain to be later than the one that advertised it. Responses on several connections overtake
// one another, so a response counts as later only if its request was sent after the other response
// had arrived.
func (r LimitRecord) IsLimited() bool {
	return !r.ReceivedAt.IsZero() && r.UnlimitedSince.Before(r.ReceivedAt)
}

// WithReport returns the record updated by a report that the instance receivedBy received. If neither
// of two limits is certain to be the later one, the smaller applies until the next response.
func (r LimitRecord) WithReport(w LimitReport, receivedBy string) LimitRecord {
	if !w.HasLimit {
		if w.SentAt.After(r.UnlimitedSince) {
			r.UnlimitedSince = w.SentAt
		}
		return r
	}
	overlaps := r.IsLimited() && w.SentAt.Before(r.ReceivedAt)
	switch {
	case !w.ReceivedAt.After(r.SentAt):
		return r
	case overlaps && w.PerSecond > r.PerSecond:
		return r
	case overlaps && w.PerSecond == r.PerSecond && w.ReceivedAt.Before(r.ReceivedAt):
		return r
	}
	r.PerSecond, r.SentAt, r.ReportedBy = w.PerSecond, w.SentAt, receivedBy
	if w.ReceivedAt.After(r.ReceivedAt) {
		r.ReceivedAt = w.ReceivedAt
	}
	return r
}

// reports returns the reports that lead to the record.
func (r LimitRecord) reports() []LimitReport {
	var l []LimitReport
	if !r.ReceivedAt.IsZero() {
		l = append(l, LimitReport{HasLimit: true, PerSecond: r.PerSecond, SentAt: r.SentAt, ReceivedAt: r.ReceivedAt})
	}
	if !r.UnlimitedSince.IsZero() {
		l = append(l, LimitReport{SentAt: r.UnlimitedSince, ReceivedAt: r.UnlimitedSince})
	}
	return l
}

// Merge returns the record merged with that of another instance.
func (r LimitRecord) Merge(o LimitRecord) LimitRecord {
	for _, w := range o.reports() {
		r = r.WithReport(w, o.ReportedBy)
	}
	if r.Service == "" {
		r.Service = o.Service
	}
	return r.withMaybeCold(o.MaybeColdUntil)
}
