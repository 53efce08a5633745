package relay

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/store"
)

// The first byte of a datagram says whether the rest is compressed.
const (
	plain    = 0
	deflated = 1
)

const (
	// compressFrom is the least message worth compressing, in bytes.
	compressFrom = 1 << 10
	// maxMessage bounds a message once it is inflated, in bytes.
	maxMessage = 4 << 20
)

// question asks for what changed after a revision, answer is what is said
// to it. Ages and waits are milliseconds.
type question struct {
	ID    uint64 `json:"id"`
	After int64  `json:"after"`
	Wait  int64  `json:"wait"`
}

type answer struct {
	ID       uint64     `json:"id"`
	Status   status     `json:"status"`
	Revision int64      `json:"rev"`
	Age      int64      `json:"age"`
	Items    []wireItem `json:"items,omitempty"`
}

type wireItem struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision int64  `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

// newAnswer returns the answer with its age rounded up.
func newAnswer(id uint64, c store.Changes, s status) answer {
	a := answer{ID: id, Status: s, Revision: c.Revision, Age: c.Age.Milliseconds() + 1}
	for _, i := range c.Items {
		a.Items = append(a.Items, wireItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	return a
}

func (a answer) age() time.Duration { return time.Duration(a.Age) * time.Millisecond }

func (a answer) changes() store.Changes {
	c := store.Changes{Revision: a.Revision, Age: a.age()}
	for _, i := range a.Items {
		c.Items = append(c.Items, store.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	return c
}

// message is one of the two.
type message struct {
	Question *question `json:"q,omitempty"`
	Answer   *answer   `json:"a,omitempty"`
}

// encode returns the message compressed: configurations are repetitive.
func encode(m message) ([]byte, error) {
	j, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "relay.encode")
	}
	if len(j) < compressFrom {
		return append([]byte{plain}, j...), nil
	}
	b, err := deflate(j)
	return b, errors.Wrap(err, "relay.encode")
}

// deflate returns the bytes compressed and marked so.
func deflate(j []byte) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(deflated)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(j); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decode reads what encode wrote.
func decode(b []byte) (message, error) {
	var m message
	if len(b) == 0 {
		return m, errors.New("relay.decode: empty")
	}
	j := b[1:]
	if b[0] == deflated {
		var err error
		j, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(j)), maxMessage))
		if err != nil {
			return m, errors.Wrap(err, "relay.decode")
		}
	}
	return m, errors.Wrap(json.Unmarshal(j, &m), "relay.decode")
}
