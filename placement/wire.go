package placement

import (
	"encoding/json"
	"time"
)

// message is a datagram between instances about placement. It holds a request,
// the choice that answers the request with the same id, a state of a ticket
// (prefilled, aborted with a fault, or ended), or open runs of a group.
type message struct {
	RequestID uint64       `json:"q,omitempty"`
	Request   *wireRequest `json:"a,omitempty"`
	Choice    *wireChoice  `json:"c,omitempty"`
	// Prefilled and Aborted are the ids of tickets.
	Prefilled uint64 `json:"r,omitempty"`
	Aborted   uint64 `json:"l,omitempty"`
	Fault     int    `json:"f,omitempty"`
	// Ended is the id of a ticket whose run has ended.
	Ended uint64 `json:"e,omitempty"`
	// Runs are open runs of Group that the sender placed. They are reported to the
	// group's new owner after the owner SilentOwner, if any, did not answer.
	Group       string    `json:"g,omitempty"`
	Runs        []wireRun `json:"w,omitempty"`
	SilentOwner string    `json:"s,omitempty"`
	// Collector is the id of the sender if it asks for the receiver's open runs of
	// Group.
	Collector string `json:"o,omitempty"`
}

// wireRequest is the encoding of Request. Its JSON names are part of the
// protocol between instances and differ from the Go names.
type wireRequest struct {
	Replicas        []string   `json:"Replicas"`
	UnsharedMs      float64    `json:"Read"`
	SharedPrefix    []wirePart `json:"Parts,omitempty"`
	SlotMs          float64    `json:"Hold,omitempty"`
	RemoteBits      uint64     `json:"Far,omitempty"`
	RemotePenaltyMs float64    `json:"Away,omitempty"`
	TimeLeftMs      float64    `json:"Within,omitempty"`
	ByCompletion    bool       `json:"Whole,omitempty"`
	Pace            float64    `json:"Pace,omitempty"`
	OutputTokens    float64    `json:"Tokens,omitempty"`
	MemoryTokens    float64    `json:"Memory,omitempty"`
	ReplicaMemory   float64    `json:"Room,omitempty"`
	Customer        string     `json:"Customer,omitempty"`
	DeadlineMs      float64    `json:"Left,omitempty"`
	Group           string     `json:"Group,omitempty"`
}

// wirePart is the encoding of PrefixPart.
type wirePart struct {
	Key                string  `json:"Key"`
	PrefillMs          float64 `json:"Read"`
	ReprefillPenaltyMs float64 `json:"Again,omitempty"`
}

func newWireRequest(r Request) *wireRequest {
	w := &wireRequest{Replicas: r.Replicas, UnsharedMs: r.UnsharedMs, SlotMs: r.SlotMs, RemoteBits: r.RemoteBits, RemotePenaltyMs: r.RemotePenaltyMs, TimeLeftMs: r.TimeLeftMs,
		ByCompletion: r.ByCompletion, Pace: r.Pace, OutputTokens: r.OutputTokens, MemoryTokens: r.MemoryTokens, ReplicaMemory: r.ReplicaMemoryTokens, Customer: r.Customer, DeadlineMs: r.DeadlineMs, Group: r.Group,
	}
	for _, p := range r.SharedPrefix {
		w.SharedPrefix = append(w.SharedPrefix, wirePart(p))
	}
	return w
}

func (w *wireRequest) request() Request {
	r := Request{Replicas: w.Replicas, UnsharedMs: w.UnsharedMs, SlotMs: w.SlotMs, RemoteBits: w.RemoteBits, RemotePenaltyMs: w.RemotePenaltyMs, TimeLeftMs: w.TimeLeftMs,
		ByCompletion: w.ByCompletion, Pace: w.Pace, OutputTokens: w.OutputTokens, MemoryTokens: w.MemoryTokens, ReplicaMemoryTokens: w.ReplicaMemory, Customer: w.Customer, DeadlineMs: w.DeadlineMs, Group: w.Group,
	}
	for _, p := range w.SharedPrefix {
		r.SharedPrefix = append(r.SharedPrefix, PrefixPart(p))
	}
	return r
}

// wireChoice is the encoding of Choice.
type wireChoice struct {
	Index     int     `json:"Index"`
	WaitMs    float64 `json:"Wait"`
	PrefillMs float64 `json:"Cost"`
	FinishMs  float64 `json:"Finish,omitempty"`
	OthersMs  float64 `json:"Others,omitempty"`
	Demoted   bool    `json:"Demoted,omitempty"`
	ShareUsed float64 `json:"Used,omitempty"`
	ShareFair float64 `json:"Fair,omitempty"`
	Ticket    uint64  `json:"Ticket"`
}

// wireRun is the encoding of reportedRun.
type wireRun struct {
	Ticket       uint64  `json:"Ticket"`
	Replica      string  `json:"Replica"`
	Pace         float64 `json:"Pace,omitempty"`
	MemoryTokens float64 `json:"Memory,omitempty"`
	// RemainingMs is the time until the run's expected end, negative if that has
	// passed. It is relative because the clocks of instances differ.
	RemainingMs float64 `json:"Left,omitempty"`
	PrefillMs   float64 `json:"Read,omitempty"`
	Customer    string  `json:"Customer,omitempty"`
}

func newWireRun(x reportedRun, now time.Time) wireRun {
	return wireRun{
		Ticket: x.ticket, Replica: x.replica, Pace: x.pace, MemoryTokens: x.memoryTokens,
		RemainingMs: x.endsAt.Sub(now).Seconds() * 1000, PrefillMs: x.prefillMs, Customer: x.customer,
	}
}

func (w wireRun) run(now time.Time) reportedRun {
	return reportedRun{
		ticket: w.Ticket, replica: w.Replica, pace: w.Pace, memoryTokens: w.MemoryTokens,
		endsAt: now.Add(milliseconds(w.RemainingMs)), prefillMs: w.PrefillMs, customer: w.Customer,
	}
}

// encode returns the message as JSON. It can't fail, since a message consists of
// numbers and strings.
func encode(m message) []byte {
	b, _ := json.Marshal(m)
	return b
}

// decode parses a message that was written by encode.
func decode(b []byte) (message, error) {
	var m message
	err := json.Unmarshal(b, &m)
	return m, err
}
