package relay

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// chunkSize is the largest message that one datagram holds, in bytes; a larger message
	// is sent in chunks. A datagram of this size has few IP fragments on a usual link with
	// an MTU of 1,500 bytes.
	chunkSize = 8 << 10
	// maxChunks bounds the chunks of a message: 2 MB.
	maxChunks = 256
	// maxIncomplete is how many incomplete messages are kept; a lost chunk leaves one
	// behind, and the oldest is dropped first.
	maxIncomplete = 8
	// chunkHeaderSize is the size of a chunk's header, in bytes: kind, message id, index and
	// count.
	chunkHeaderSize = 1 + 8 + 2 + 2
)

// split returns the message as one or more datagrams.
func split(id uint64, b []byte) ([][]byte, error) {
	if len(b) <= chunkSize {
		return [][]byte{b}, nil
	}
	n := (len(b) + chunkSize - 1) / chunkSize
	if n > maxChunks {
		return nil, errors.Newf("relay.split: a message of %d bytes is too large for 256 chunks of 8 KiB", len(b))
	}
	var l [][]byte
	for i := range n {
		h := binary.BigEndian.AppendUint64([]byte{kindChunk}, id)
		h = binary.BigEndian.AppendUint16(h, uint16(i))
		h = binary.BigEndian.AppendUint16(h, uint16(n))
		l = append(l, append(h, b[i*chunkSize:min(len(b), (i+1)*chunkSize)]...))
	}
	return l, nil
}

// incompleteMessage is a message of which some chunks have arrived.
type incompleteMessage struct {
	from    string
	id      uint64
	chunks  [][]byte
	missing int
}

// reassembler joins the chunks of messages. It is safe for concurrent use.
type reassembler struct {
	mu         sync.Mutex
	incomplete []*incompleteMessage
}

// join takes a datagram and returns the message that it completes, or nil. The bytes of a
// chunk are copied.
func (p *reassembler) join(from string, b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != kindChunk {
		return b, nil
	}
	id, i, n, err := parseChunkHeader(b)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.message(from, id, n)
	if len(x.chunks) != n || x.chunks[i] != nil {
		return nil, nil
	}
	x.chunks[i] = append([]byte{}, b[chunkHeaderSize:]...)
	if x.missing--; x.missing > 0 {
		return nil, nil
	}
	p.drop(x)
	return slices.Concat(x.chunks...), nil
}

// parseChunkHeader returns the id of the chunk's message, the chunk's index and the count.
func parseChunkHeader(b []byte) (id uint64, i, n int, err error) {
	if len(b) < chunkHeaderSize {
		return 0, 0, 0, errors.New("relay.join: chunk is shorter than its header")
	}
	id = binary.BigEndian.Uint64(b[1:])
	i, n = int(binary.BigEndian.Uint16(b[9:])), int(binary.BigEndian.Uint16(b[11:]))
	if n == 0 || n > maxChunks || i >= n {
		return 0, 0, 0, errors.Newf("relay.join: chunk index is %d of %d, want an index below the count, and a count of 1 to 256", i, n)
	}
	return id, i, n, nil
}

// message returns the incomplete message of a chunk, and adds it if there is none.
func (p *reassembler) message(from string, id uint64, n int) *incompleteMessage {
	for _, x := range p.incomplete {
		if x.from == from && x.id == id {
			return x
		}
	}
	x := &incompleteMessage{from: from, id: id, chunks: make([][]byte, n), missing: n}
	if len(p.incomplete) == maxIncomplete {
		p.incomplete = p.incomplete[1:]
	}
	p.incomplete = append(p.incomplete, x)
	return x
}

// drop removes a message.
func (p *reassembler) drop(x *incompleteMessage) {
	p.incomplete = slices.DeleteFunc(p.incomplete, func(y *incompleteMessage) bool { return y == x })
}
