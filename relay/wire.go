package relay

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/store"
)

// The first byte of a message says what it is: plain JSON, JSON before packed
// items, or a piece of such a message.
const (
	plain  = 0
	packed = 1
	piece  = 2
)

const (
	// maxItems bounds the items of a message once they are inflated, in bytes.
	maxItems = 4 << 20
	// headLength is how many bytes tell the length of the JSON before packed
	// items.
	headLength = 4
)

// question asks for what changed after a revision. Its wait is milliseconds.
type question struct {
	ID    uint64 `json:"id"`
	After int64  `json:"after"`
	Wait  int64  `json:"wait"`
	// Large asks for changes of any size: the store can't be read.
	Large bool `json:"large,omitempty"`
	// Unlisted says that the asker is on no list: nobody asks it.
	Unlisted bool `json:"unlisted,omitempty"`
}

// maxHops is how many instances the answer may have come through before.
func (q question) maxHops() int {
	if q.Unlisted {
		return hopsToUnlisted
	}
	return hopsToListed
}

// answer is what is said to a question. Its age is milliseconds.
type answer struct {
	ID       uint64 `json:"id"`
	Status   status `json:"status"`
	Revision int64  `json:"rev"`
	Age      int64  `json:"age"`
	// Hops is how many instances the answer has come through already.
	Hops int `json:"hops,omitempty"`
	// Followers are the unlisted instances that ask the one who answers.
	Followers int `json:"followers,omitempty"`
	// Items are packed behind the rest.
	Items []wireItem `json:"-"`
}

type wireItem struct {
	Key      string `json:"k"`
	Value    []byte `json:"v,omitempty"`
	Revision int64  `json:"r"`
	Deleted  bool   `json:"d,omitempty"`
}

// newAnswer returns the answer without the items. Its age is rounded up.
func newAnswer(id uint64, c store.Changes, s status) answer {
	return answer{ID: id, Status: s, Revision: c.Revision, Age: c.Age.Milliseconds() + 1}
}

func (a answer) age() time.Duration { return time.Duration(a.Age) * time.Millisecond }

func (a answer) changes() store.Changes {
	c := store.Changes{Revision: a.Revision, Age: a.age()}
	for _, i := range a.Items {
		c.Items = append(c.Items, store.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	return c
}

// message is a question or an answer.
type message struct {
	Question *question `json:"q,omitempty"`
	Answer   *answer   `json:"a,omitempty"`
}

// encode returns the message with the answer's items, which pack returned, or
// nil, behind it.
func encode(m message, items []byte) ([]byte, error) {
	j, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "relay.encode")
	}
	if items == nil {
		return append([]byte{plain}, j...), nil
	}
	b := binary.BigEndian.AppendUint32([]byte{packed}, uint32(len(j)))
	b = append(b, j...)
	return append(b, items...), nil
}

// decode reads what encode wrote.
func decode(b []byte) (message, error) {
	var m message
	if len(b) == 0 {
		return m, errors.New("relay.decode: empty")
	}
	switch b[0] {
	case plain:
		return m, errors.Wrap(json.Unmarshal(b[1:], &m), "relay.decode")
	case packed:
		err := decodePacked(b[1:], &m)
		return m, errors.Wrap(err, "relay.decode")
	}
	return m, errors.Newf("relay.decode: kind %d", b[0])
}

func decodePacked(b []byte, m *message) error {
	if len(b) < headLength {
		return io.ErrUnexpectedEOF
	}
	n := int64(binary.BigEndian.Uint32(b))
	b = b[headLength:]
	if n > int64(len(b)) {
		return io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(b[:n], m); err != nil {
		return err
	}
	if m.Answer == nil {
		return errors.New("items without an answer")
	}
	l, err := unpack(b[n:])
	m.Answer.Items = l
	return err
}

// pack returns the items as they lie behind an answer.
func pack(items []store.Item) ([]byte, error) {
	l := make([]wireItem, len(items))
	for i, x := range items {
		l[i] = wireItem{Key: x.Key, Value: x.Value, Revision: x.Revision, Deleted: x.Deleted}
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "relay.pack")
	}
	if err := json.NewEncoder(w).Encode(l); err != nil {
		return nil, errors.Wrap(err, "relay.pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "relay.pack")
	}
	return b.Bytes(), nil
}

func unpack(b []byte) ([]wireItem, error) {
	j, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxItems))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	var l []wireItem
	return l, errors.Wrap(json.Unmarshal(j, &l), "unpack")
}
