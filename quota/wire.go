package quota

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// message is what instances say to each other: a question with its answer, a right that is
// given back, that one counts for a service, or beliefs that others should know. One with
// nothing but who it is from says that that one is heard.
type message struct {
	From     string       `json:"f,omitempty"`
	Question uint64       `json:"q,omitempty"`
	Ask      *wireAsk     `json:"a,omitempty"`
	Answer   *wireAnswer  `json:"w,omitempty"`
	Back     *wireBack    `json:"b,omitempty"`
	Beliefs  []wireBelief `json:"l,omitempty"`
	// Passed says that the beliefs were passed on already.
	Passed bool `json:"p,omitempty"`
	// Service is one that the sender may count for; IsCounting says that it does.
	Service    string `json:"s,omitempty"`
	IsCounting bool   `json:"c,omitempty"`
}

type wireAsk struct {
	Service    string          `json:"s"`
	Candidates []wireCandidate `json:"c"`
	Rank       int             `json:"r,omitempty"`
	IsLast     bool            `json:"l,omitempty"`
}

type wireCandidate struct {
	Belief        wireBelief `json:"b"`
	ColdPerSecond float64    `json:"p,omitempty"`
	IsCold        bool       `json:"c,omitempty"`
}

// wireAnswer is of an instance that counts, unless Counts is false.
type wireAnswer struct {
	Counts bool   `json:"c"`
	Index  int    `json:"i"`
	Why    Reason `json:"y,omitempty"`
	// Waits are for how long each candidate gets nothing, and Come after what time the
	// request is to return, in milliseconds.
	Waits   []int64      `json:"w,omitempty"`
	Come    int64        `json:"r,omitempty"`
	Beliefs []wireBelief `json:"l,omitempty"`
	// Taken is what was counted, for a right that comes too late.
	Taken *wireBack `json:"t,omitempty"`
}

type wireBack struct {
	Service string `json:"s"`
	Replica string `json:"r"`
}

// wireBelief is a belief with ages in place of moments, in milliseconds: clocks of instances
// differ.
type wireBelief struct {
	Replica   string  `json:"r"`
	Service   string  `json:"s,omitempty"`
	PerSecond float64 `json:"p,omitempty"`
	// IsNamed says that it named a limit at some time, HasFree that it said it had none.
	IsNamed  bool   `json:"n,omitempty"`
	NamedAgo int64  `json:"g,omitempty"`
	AskedAgo int64  `json:"k,omitempty"`
	HasFree  bool   `json:"e,omitempty"`
	FreeAgo  int64  `json:"h,omitempty"`
	By       string `json:"b,omitempty"`
	// Suspect is for how much longer it may be cold.
	Suspect int64 `json:"u,omitempty"`
}

// toldMargin is how much later what is told may seem than it was, by the way that it took:
// a word by which a limit is over counts as that much older.
const toldMargin = 200 * time.Millisecond

func newWireBelief(replica string, b Belief, now time.Time) wireBelief {
	w := wireBelief{Replica: replica, Service: b.Service, PerSecond: b.PerSecond, By: b.By, IsNamed: !b.NamedAt.IsZero(), HasFree: !b.FreeFrom.IsZero()}
	if w.IsNamed {
		w.NamedAgo, w.AskedAgo = now.Sub(b.NamedAt).Milliseconds(), now.Sub(b.AskedAt).Milliseconds()
	}
	if w.HasFree {
		w.FreeAgo = now.Sub(b.FreeFrom).Milliseconds()
	}
	if now.Before(b.SuspectUntil) {
		w.Suspect = b.SuspectUntil.Sub(now).Milliseconds()
	}
	return w
}

// belief returns what is told, as of now. Figures beyond any that can be are bounded.
func (w wireBelief) belief(now time.Time) Belief {
	b := Belief{Service: w.Service, By: w.By}
	if w.IsNamed {
		b.PerSecond = min(most, max(0, w.PerSecond))
		b.NamedAt = now.Add(-millis(w.NamedAgo))
		b.AskedAt = now.Add(-millis(max(w.NamedAgo, w.AskedAgo)))
	}
	if w.HasFree {
		b.FreeFrom = now.Add(-millis(w.FreeAgo) - toldMargin)
	}
	if w.Suspect > 0 {
		b.SuspectUntil = now.Add(min(SuspectFor, millis(w.Suspect)))
	}
	return b
}

// oldest bounds an age: what is believed is over long before.
const oldest = 24 * time.Hour

// millis is a number of milliseconds, bounded.
func millis(ms int64) time.Duration {
	return time.Duration(max(0, min(ms, oldest.Milliseconds()))) * time.Millisecond
}

func newWireAsk(a PermitRequest, told map[string]Belief, now time.Time) *wireAsk {
	w := &wireAsk{Service: a.Service, Rank: a.Priority, IsLast: a.OnlyBounded}
	for _, c := range a.Candidates {
		w.Candidates = append(w.Candidates, wireCandidate{Belief: newWireBelief(c.Replica, told[c.Replica], now), ColdPerSecond: c.Bound.ColdPerSecond, IsCold: c.ReportsCold})
	}
	return w
}

func (w *wireAsk) ask() PermitRequest {
	a := PermitRequest{Service: w.Service, Priority: w.Rank, OnlyBounded: w.IsLast}
	for _, c := range w.Candidates {
		a.Candidates = append(a.Candidates, Candidate{Replica: c.Belief.Replica, Bound: Bound{ColdPerSecond: max(0, c.ColdPerSecond)}, ReportsCold: c.IsCold})
	}
	return a
}

func (w *wireAsk) beliefs(now time.Time) map[string]Belief {
	l := map[string]Belief{}
	for _, c := range w.Candidates {
		l[c.Belief.Replica] = c.Belief.belief(now)
	}
	return l
}

func (w *wireAsk) replicas() []string {
	var l []string
	for _, c := range w.Candidates {
		l = append(l, c.Belief.Replica)
	}
	return l
}

// encode can't fail: a message has numbers and texts only.
func encode(m message) []byte {
	b, _ := json.Marshal(m)
	return b
}

func decode(b []byte) (message, error) {
	var m message
	err := json.Unmarshal(b, &m)
	return m, errors.Wrap(err, "quota.decode")
}
