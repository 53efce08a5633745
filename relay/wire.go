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

// The first byte of a message is its kind: plain JSON, JSON followed by packed items, or
// a chunk of such a message.
const (
	kindPlain  = 0
	kindPacked = 1
	kindChunk  = 2
)

const (
	// maxUnpackedBytes bounds the decompressed items of a message, in bytes: some 90,000
	// replicas, and well below the memory of the smallest instance.
	maxUnpackedBytes = 32 << 20
	// jsonLengthSize is the size of the field that holds the length of the JSON before
	// packed items, in bytes.
	jsonLengthSize = 4
)

// query asks an instance for the changes after a revision, or where to fetch a snapshot.
type query struct {
	ID    uint64 `json:"id"`
	After int64  `json:"after"`
	// WaitMs is how long the answer may be delayed until there is a change, in milliseconds.
	WaitMs int64 `json:"wait"`
	// Snapshot asks for the address from which to fetch a snapshot. FailedAddr, if not
	// empty, is the address from which that failed before.
	Snapshot   bool   `json:"whole,omitempty"`
	FailedAddr string `json:"lost,omitempty"`
	// Peek asks for the revision only, without the items.
	Peek bool `json:"peek,omitempty"`
	// Unregistered is set if the sender is not a registered member, so that no instance
	// queries it.
	Unregistered bool `json:"unlisted,omitempty"`
	// Followers is one more than the number of unregistered instances that follow the sender; 0
	// if the sender is not a member or does not report them.
	Followers int `json:"followers,omitempty"`
}

// maxHops is through how many instances the answered state may have passed.
func (q query) maxHops() int {
	if q.Unregistered {
		return maxHopsUnregistered
	}
	return maxHopsRegistered
}

// answer is the answer to a query.
type answer struct {
	ID       uint64 `json:"id"`
	Status   status `json:"status"`
	Revision int64  `json:"rev"`
	// AgeMs is how long ago the revision was confirmed as the newest, in milliseconds.
	AgeMs int64 `json:"age"`
	// Hops is through how many instances the state passed from the store to the sender.
	Hops int `json:"hops,omitempty"`
	// Followers is how many unregistered instances follow the sender.
	Followers int `json:"followers,omitempty"`
	// Estimate is the number of instances as the sender estimates it at this moment, and
	// FleetSize the largest one that has held lately; 0 if it knows none.
	Estimate  int `json:"estimate,omitempty"`
	FleetSize int `json:"fleet,omitempty"`
	// Waits is set if the sender does not read the store: if it is starting, it waits for others.
	Waits bool `json:"waits,omitempty"`
	// FetchFrom is the address to fetch from; empty for the sender itself.
	FetchFrom string `json:"instead,omitempty"`
	// Snapshot is set if the items are a snapshot of the store, not changes.
	Snapshot bool `json:"all,omitempty"`
	// Items follow the JSON in packed form.
	Items []store.Item `json:"-"`
}

// newAnswer returns the answer without the items. The age is rounded up.
func newAnswer(id uint64, c store.Changes, s status) answer {
	return answer{ID: id, Status: s, Revision: c.Revision, AgeMs: c.Age.Milliseconds() + 1}
}

func (a answer) age() time.Duration { return time.Duration(a.AgeMs) * time.Millisecond }

// page returns a snapshot in the form of a read of the store.
func (a answer) page() store.Page {
	return store.Page{Items: a.Items, Revision: a.Revision, Age: a.age()}
}

func (a answer) changes() store.Changes {
	return store.Changes{Items: a.Items, IsSnapshot: a.Snapshot, Revision: a.Revision, Age: a.age()}
}

// message is a query or an answer.
type message struct {
	Query  *query  `json:"q,omitempty"`
	Answer *answer `json:"a,omitempty"`
}

// encode returns the message, followed by the answer's items as returned by pack; items
// is nil if there are none.
func encode(m message, items []byte) ([]byte, error) {
	j, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "relay.encode")
	}
	if items == nil {
		return append([]byte{kindPlain}, j...), nil
	}
	b := binary.BigEndian.AppendUint32([]byte{kindPacked}, uint32(len(j)))
	b = append(b, j...)
	return append(b, items...), nil
}

// decode parses a message of encode.
func decode(b []byte) (message, error) {
	var m message
	if len(b) == 0 {
		return m, errors.New("relay.decode: message is empty")
	}
	switch b[0] {
	case kindPlain:
		return m, errors.Wrap(json.Unmarshal(b[1:], &m), "relay.decode")
	case kindPacked:
		err := decodePacked(b[1:], &m)
		return m, errors.Wrap(err, "relay.decode")
	}
	return m, errors.Newf("relay.decode: message kind is %d, want 0 or 1", b[0])
}

func decodePacked(b []byte, m *message) error {
	if len(b) < jsonLengthSize {
		return io.ErrUnexpectedEOF
	}
	n := int64(binary.BigEndian.Uint32(b))
	b = b[jsonLengthSize:]
	if n > int64(len(b)) {
		return io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(b[:n], m); err != nil {
		return err
	}
	if m.Answer == nil {
		return errors.New("packed items without an answer")
	}
	l, err := unpack(b[n:])
	m.Answer.Items = l
	return err
}

// packer and unpacker are safe for concurrent use. Packed data carries a checksum.
var (
	packer   = newPacker()
	unpacker = newUnpacker()
)

// packWindowBytes is how far back the packer looks for repetitions, in bytes: the entries
// of the store resemble each other, and the process keeps a buffer of this size.
const packWindowBytes = 128 << 10

// newPacker returns a packer with concurrency 1: each concurrent call would keep buffers
// of its own.
func newPacker() *zstd.Encoder {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(packWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // The options are constants.
	}
	return w
}

func newUnpacker() *zstd.Decoder {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpackedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic(err) // The options are constants.
	}
	return r
}

// pack returns the items as a compressed protobuf message.
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

// unpack returns the items of pack.
func unpack(b []byte) ([]store.Item, error) {
	p, err := unpacker.DecodeAll(b, nil)
	if err != nil {
		return nil, errors.Wrap(err, "unpack: decompress")
	}
	var m fieldvalev1.StoreItems
	if err := proto.Unmarshal(p, &m); err != nil {
		return nil, errors.Wrap(err, "unpack: decode")
	}
	l := make([]store.Item, len(m.Items))
	for i, x := range m.Items {
		l[i] = store.Item{Key: x.GetKey(), Value: x.GetValue(), Revision: x.GetRevision(), Deleted: x.GetDeleted()}
	}
	return l, nil
}
