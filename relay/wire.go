package relay

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	fieldvalev1 "fieldvale/gen/fieldvale/v1"
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
	// maxItems bounds the items of a message once they are inflated, in bytes: some
	// 90,000 replicas, and well below the memory of the smallest instance.
	maxItems = 32 << 20
	// headLength is how many bytes tell the length of the JSON before packed
	// items.
	headLength = 4
)

// question asks for what changed after a revision. Its wait is milliseconds.
type question struct {
	ID    uint64 `json:"id"`
	After int64  `json:"after"`
	Wait  int64  `json:"wait"`
	// Whole asks from whom the whole is to be fetched. Lost, if not empty, is where
	// that failed.
	Whole bool   `json:"whole,omitempty"`
	Lost  string `json:"lost,omitempty"`
	// Peek asks for what is known to be told without the items.
	Peek bool `json:"peek,omitempty"`
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
	// Instead is where the whole is to be fetched, if not from who answers.
	Instead string `json:"instead,omitempty"`
	// All says that the items are all that there are, not the changes.
	All bool `json:"all,omitempty"`
	// Items are packed behind the rest.
	Items []store.Item `json:"-"`
}

// newAnswer returns the answer without the items. Its age is rounded up.
func newAnswer(id uint64, c store.Changes, s status) answer {
	return answer{ID: id, Status: s, Revision: c.Revision, Age: c.Age.Milliseconds() + 1}
}

func (a answer) age() time.Duration { return time.Duration(a.Age) * time.Millisecond }

// page returns a whole as a read of the store gives it.
func (a answer) page() store.Page {
	return store.Page{Items: a.Items, Revision: a.Revision, Age: a.age()}
}

func (a answer) changes() store.Changes {
	return store.Changes{Items: a.Items, Whole: a.All, Revision: a.Revision, Age: a.age()}
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

// packer and unpacker are safe for concurrent use. What is packed carries a checksum.
var (
	packer   = newPacker()
	unpacker = newUnpacker()
)

// packWindow is how far back, in bytes, the packer looks for what repeats itself: entries of
// the store are alike, and its buffer stays with the process.
const packWindow = 128 << 10

// newPacker returns a packer for one call at a time: each more would keep buffers of its own.
func newPacker() *zstd.Encoder {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(packWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // The options are constants.
	}
	return w
}

func newUnpacker() *zstd.Decoder {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxItems), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(err) // The options are constants.
	}
	return r
}

// pack returns the items as they lie behind an answer.
func pack(items []store.Item) ([]byte, error) {
	l := make([]fieldvalev1.StoreItem, len(items))
	m := &fieldvalev1.StoreItems{Items: make([]*fieldvalev1.StoreItem, len(items))}
	for i, x := range items {
		l[i].Key, l[i].Value, l[i].Revision, l[i].Deleted = x.Key, x.Value, x.Revision, x.Deleted
		m.Items[i] = &l[i]
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "relay.pack")
	}
	return packer.EncodeAll(b, nil), nil
}

func unpack(b []byte) ([]store.Item, error) {
	p, err := unpacker.DecodeAll(b, nil)
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	var m fieldvalev1.StoreItems
	if err := proto.Unmarshal(p, &m); err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	l := make([]store.Item, len(m.Items))
	for i, x := range m.Items {
		l[i] = store.Item{Key: x.GetKey(), Value: x.GetValue(), Revision: x.GetRevision(), Deleted: x.GetDeleted()}
	}
	return l, nil
}
