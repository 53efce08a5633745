package quota

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// message is a datagram between instances: a permit request or the answer to it, a permit that is
// returned, the announcement of a service's owner, or limit records. A message with From alone
// acknowledges an announcement.
type message struct {
	From       string       `json:"f,omitempty"`
	QuestionID uint64       `json:"q,omitempty"`
	Request    *wireRequest `json:"a,omitempty"`
	Answer     *wireAnswer  `json:"w,omitempty"`
	Returned   *wirePermit  `json:"b,omitempty"`
	// Rejected is a permit whose request the replica rejected, Ended one whose request has ended
	// otherwise. QuestionID tells repeats of a rejection.
	Rejected *wirePermit  `json:"x,omitempty"`
	Ended    *wirePermit  `json:"e,omitempty"`
	Records  []wireRecord `json:"l,omitempty"`
	// Rejections are records of how many requests a replica may reject in a second.
	Rejections []wireRecord `json:"j,omitempty"`
	// Relayed is true if the records were already relayed to followers.
	Relayed bool `json:"p,omitempty"`
	// Service is a service that the sender owns or ranks first for; IsOwner is true if it owns it.
	Service string `json:"s,omitempty"`
	IsOwner bool   `json:"c,omitempty"`
}

type wireRequest struct {
	Service     string          `json:"s"`
	Candidates  []wireCandidate `json:"c"`
	Priority    int             `json:"r,omitempty"`
	OnlyBounded bool            `json:"l,omitempty"`
}

type wireCandidate struct {
	Record        wireRecord  `json:"b"`
	Rejections    *wireRecord `json:"j,omitempty"`
	ColdPerSecond float64     `json:"p,omitempty"`
	ReportsCold   bool        `json:"c,omitempty"`
}

// wireAnswer is the answer of the owner, or of an instance that is not the owner if IsOwner is
// false.
type wireAnswer struct {
	IsOwner bool   `json:"c"`
	Index   int    `json:"i"`
	Reason  Reason `json:"y,omitempty"`
	// WaitMillis is how long each candidate gets no request, RetryMillis after what time the
	// request is to be retried, in milliseconds.
	WaitMillis  []int64      `json:"w,omitempty"`
	RetryMillis int64        `json:"r,omitempty"`
	Records     []wireRecord `json:"l,omitempty"`
	// Granted identifies the permit, so that one that arrives too late can be returned.
	Granted *wirePermit `json:"t,omitempty"`
}

type wirePermit struct {
	Service string `json:"s"`
	Replica string `json:"r"`
}

// wireRecord is a LimitRecord with ages in milliseconds in place of times, since the clocks of
// instances differ.
type wireRecord struct {
	Replica   string  `json:"r"`
	Service   string  `json:"s,omitempty"`
	PerSecond float64 `json:"p,omitempty"`
	// HasLimit is true if the replica ever advertised a limit, HasUnlimited if a response ever
	// advertised none.
	HasLimit     bool   `json:"n,omitempty"`
	ReceivedAgo  int64  `json:"g,omitempty"`
	SentAgo      int64  `json:"k,omitempty"`
	HasUnlimited bool   `json:"e,omitempty"`
	UnlimitedAgo int64  `json:"h,omitempty"`
	ReportedBy   string `json:"b,omitempty"`
	// MaybeCold is how much longer the replica may be cold.
	MaybeCold int64 `json:"u,omitempty"`
}

// relayMargin is by how much a report from another instance may appear too recent, since its age
// does not include the transit time. A report that ends a limit is treated as that much older.
const relayMargin = 200 * time.Millisecond

func newWireRecord(replica string, b LimitRecord, now time.Time) wireRecord {
	w := wireRecord{Replica: replica, Service: b.Service, PerSecond: b.PerSecond, ReportedBy: b.ReportedBy, HasLimit: !b.ReceivedAt.IsZero(), HasUnlimited: !b.UnlimitedSince.IsZero()}
	if w.HasLimit {
		w.ReceivedAgo, w.SentAgo = now.Sub(b.ReceivedAt).Milliseconds(), now.Sub(b.SentAt).Milliseconds()
	}
	if w.HasUnlimited {
		w.UnlimitedAgo = now.Sub(b.UnlimitedSince).Milliseconds()
	}
	if now.Before(b.MaybeColdUntil) {
		w.MaybeCold = b.MaybeColdUntil.Sub(now).Milliseconds()
	}
	return w
}

// record returns the record with times relative to now. Values are clamped to their valid ranges.
func (w wireRecord) record(now time.Time) LimitRecord {
	b := LimitRecord{Service: w.Service, ReportedBy: w.ReportedBy}
	if w.HasLimit {
		b.PerSecond = min(maxPerSecond, max(0, w.PerSecond))
		b.ReceivedAt = now.Add(-millis(w.ReceivedAgo))
		b.SentAt = now.Add(-millis(max(w.ReceivedAgo, w.SentAgo)))
	}
	if w.HasUnlimited {
		b.UnlimitedSince = now.Add(-millis(w.UnlimitedAgo) - relayMargin)
	}
	if w.MaybeCold > 0 {
		b.MaybeColdUntil = now.Add(min(MaybeColdFor, millis(w.MaybeCold)))
	}
	return b
}

// maxAge bounds an age; records expire long before it.
const maxAge = 24 * time.Hour

// millis converts a number of milliseconds, clamped to 0 and maxAge.
func millis(ms int64) time.Duration {
	return time.Duration(max(0, min(ms, maxAge.Milliseconds()))) * time.Millisecond
}

func newWireRequest(req PermitRequest, records, rejections map[string]LimitRecord, now time.Time) *wireRequest {
	w := &wireRequest{Service: req.Service, Priority: req.Priority, OnlyBounded: req.OnlyBounded}
	for _, c := range req.Candidates {
		x := wireCandidate{Record: newWireRecord(c.Replica, records[c.Replica], now), ColdPerSecond: c.Bound.ColdPerSecond, ReportsCold: c.ReportsCold}
		if r := rejections[c.Replica]; !r.isEmpty() {
			y := newWireRecord(c.Replica, r, now)
			x.Rejections = &y
		}
		w.Candidates = append(w.Candidates, x)
	}
	return w
}

func (w *wireRequest) request() PermitRequest {
	req := PermitRequest{Service: w.Service, Priority: w.Priority, OnlyBounded: w.OnlyBounded}
	for _, c := range w.Candidates {
		req.Candidates = append(req.Candidates, Candidate{Replica: c.Record.Replica, Bound: Bound{ColdPerSecond: max(0, c.ColdPerSecond)}, ReportsCold: c.ReportsCold})
	}
	return req
}

func (w *wireRequest) records(now time.Time) map[string]LimitRecord {
	l := map[string]LimitRecord{}
	for _, c := range w.Candidates {
		l[c.Record.Replica] = c.Record.record(now)
	}
	return l
}

// rejections returns the records of rejections of the candidates that have one.
func (w *wireRequest) rejections(now time.Time) map[string]LimitRecord {
	l := map[string]LimitRecord{}
	for _, c := range w.Candidates {
		if c.Rejections != nil {
			l[c.Record.Replica] = c.Rejections.record(now)
		}
	}
	return l
}

func (w *wireRequest) replicas() []string {
	var l []string
	for _, c := range w.Candidates {
		l = append(l, c.Record.Replica)
	}
	return l
}

// encode returns the JSON of the message. It can't fail, as a message consists of numbers, booleans
// and strings.
func encode(m message) []byte {
	b, _ := json.Marshal(m)
	return b
}

func decode(b []byte) (message, error) {
	var m message
	err := json.Unmarshal(b, &m)
	return m, errors.Wrap(err, "quota.decode")
}
