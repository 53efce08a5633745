package relay

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// pieceSize is the most that one datagram holds, in bytes; a message that
	// is larger goes in pieces. Few fragments on a usual link of 1,500 bytes.
	pieceSize = 8 << 10
	// maxPieces bounds the pieces of a message: 2 MB.
	maxPieces = 256
	// maxPartial is how many messages may be incomplete at a time; a lost
	// piece leaves one behind, and the oldest gives way.
	maxPartial = 8
	// pieceHead is the bytes before a piece: kind, message, index and count.
	pieceHead = 1 + 8 + 2 + 2
)

// split returns the message as datagrams.
func split(id uint64, b []byte) ([][]byte, error) {
	if len(b) <= pieceSize {
		return [][]byte{b}, nil
	}
	n := (len(b) + pieceSize - 1) / pieceSize
	if n > maxPieces {
		return nil, errors.Newf("relay.split: %d bytes are too many", len(b))
	}
	var l [][]byte
	for i := range n {
		h := binary.BigEndian.AppendUint64([]byte{piece}, id)
		h = binary.BigEndian.AppendUint16(h, uint16(i))
		h = binary.BigEndian.AppendUint16(h, uint16(n))
		l = append(l, append(h, b[i*pieceSize:min(len(b), (i+1)*pieceSize)]...))
	}
	return l, nil
}

// partial is a message of which pieces have come.
type partial struct {
	from   string
	id     uint64
	pieces [][]byte
	left   int
}

// pieces puts messages together. It is safe for concurrent use.
type pieces struct {
	mu sync.Mutex
	l  []*partial
}

// join takes a datagram and returns the message that is complete by it, nil if
// there is none. The datagram's bytes are copied.
func (p *pieces) join(from string, b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != piece {
		return b, nil
	}
	id, i, n, err := readHead(b)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.of(from, id, n)
	if len(x.pieces) != n || x.pieces[i] != nil {
		return nil, nil
	}
	x.pieces[i] = append([]byte{}, b[pieceHead:]...)
	if x.left--; x.left > 0 {
		return nil, nil
	}
	p.drop(x)
	return slices.Concat(x.pieces...), nil
}

// readHead returns the piece's message, its index and the count.
func readHead(b []byte) (id uint64, i, n int, err error) {
	if len(b) < pieceHead {
		return 0, 0, 0, errors.New("relay.join: a short piece")
	}
	id = binary.BigEndian.Uint64(b[1:])
	i, n = int(binary.BigEndian.Uint16(b[9:])), int(binary.BigEndian.Uint16(b[11:]))
	if n == 0 || n > maxPieces || i >= n {
		return 0, 0, 0, errors.Newf("relay.join: piece %d of %d", i, n)
	}
	return id, i, n, nil
}

// of returns the message's pieces so far.
func (p *pieces) of(from string, id uint64, n int) *partial {
	for _, x := range p.l {
		if x.from == from && x.id == id {
			return x
		}
	}
	x := &partial{from: from, id: id, pieces: make([][]byte, n), left: n}
	if len(p.l) == maxPartial {
		p.l = p.l[1:]
	}
	p.l = append(p.l, x)
	return x
}

// drop forgets the message.
func (p *pieces) drop(x *partial) {
	p.l = slices.DeleteFunc(p.l, func(y *partial) bool { return y == x })
}
