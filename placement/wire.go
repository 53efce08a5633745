package placement

import "encoding/json"

// message is what instances say to each other about placement: a question,
// its answer, or the end of a ticket: read, or lost with a fault.
type message struct {
	Question uint64      `json:"q,omitempty"`
	Ask      *wireAsk    `json:"a,omitempty"`
	Choice   *wireChoice `json:"c,omitempty"`
	Read     uint64      `json:"r,omitempty"`
	Lost     uint64      `json:"l,omitempty"`
	Fault    int         `json:"f,omitempty"`
}

// wireAsk and wireChoice are Ask and Choice as they are sent; times are
// milliseconds.
type wireAsk struct {
	Replicas []string   `json:"Replicas"`
	Read     float64    `json:"Read"`
	Shared   []wirePart `json:"Parts,omitempty"`
	Hold     float64    `json:"Hold,omitempty"`
	Far      uint64     `json:"Far,omitempty"`
	Away     float64    `json:"Away,omitempty"`
	Within   float64    `json:"Within,omitempty"`
}

type wirePart struct {
	Key                string  `json:"Key"`
	PrefillMs          float64 `json:"Read"`
	ReprefillPenaltyMs float64 `json:"Again,omitempty"`
}

func newWireAsk(a Request) *wireAsk {
	w := &wireAsk{Replicas: a.Replicas, Read: a.UnsharedMs, Hold: a.SlotMs, Far: a.RemoteBits, Away: a.RemotePenaltyMs, Within: a.TimeLeftMs}
	for _, p := range a.SharedPrefix {
		w.Shared = append(w.Shared, wirePart(p))
	}
	return w
}

func (w *wireAsk) ask() Request {
	a := Request{Replicas: w.Replicas, UnsharedMs: w.Read, SlotMs: w.Hold, RemoteBits: w.Far, RemotePenaltyMs: w.Away, TimeLeftMs: w.Within}
	for _, p := range w.Shared {
		a.SharedPrefix = append(a.SharedPrefix, PrefixPart(p))
	}
	return a
}

type wireChoice struct {
	Index     int     `json:"Index"`
	WaitMs    float64 `json:"Wait"`
	PrefillMs float64 `json:"Cost"`
	Ticket    uint64  `json:"Ticket"`
}

// encode can't fail: a message has numbers and texts only.
func encode(m message) []byte {
	b, _ := json.Marshal(m)
	return b
}

// decode reads what encode wrote.
func decode(b []byte) (message, error) {
	var m message
	err := json.Unmarshal(b, &m)
	return m, err
}
