package answerbuffer

import (
	"context"
	"io"
	"sync"
)

// pieceOverhead is the memory of a piece in addition to its bytes, in bytes: the piece itself and
// its place in the queue, whose array has up to twice the places in use.
const pieceOverhead = 64

// Shortage is the limit for which a piece found no room.
type Shortage int

// None means that there was room for all pieces.
const (
	None Shortage = iota
	// AnswerLimit means that the queue held as much as one answer may.
	AnswerLimit
	// SharedLimit means that all queues of the instance together held as much as they may.
	SharedLimit
)

// String returns the shortage as used in logs and metrics.
func (s Shortage) String() string { return [...]string{"none", "answer", "instance"}[s] }

// Queue passes the pieces of one answer from the goroutine that reads it to the one that writes it.
// Pieces are neither lost nor merged and keep their order. One goroutine calls Put and Close,
// another calls Next and Stop.
//
// A piece for which there is no room is passed on once all earlier ones were written, and Put
// waits until it was written as well: the answer then proceeds as if there were no queue, and
// its reader waits for its writer.
type Queue struct {
	budget *Budget
	// filled wakes Next.
	filled chan struct{}

	mu     sync.Mutex
	pieces []*piece
	// current is the piece that the caller of Next is writing; nil if there is none.
	current *piece
	// held is the memory of the pieces, and of the current one, for which there was room.
	held int64
	// wakeProducer ends the wait of Put; nil if Put does not wait.
	wakeProducer context.CancelFunc
	closed       bool
	stopped      error
	unwritten    int
	shortage     Shortage
}

// piece is one piece of an answer.
type piece struct {
	data []byte
	// reserved is the memory reserved for the piece; 0 if there was no room.
	reserved int64
	// queued is set once the piece is in the queue, written once it was written or discarded.
	queued, written bool
}

// size is the memory that a piece with the data needs. It counts the capacity, as that is what
// stays allocated.
func size(data []byte) int64 { return int64(cap(data)) + pieceOverhead }

// Put adds a piece, which must not be changed afterwards. It returns at once if there is room,
// else when the piece was written or room has become available. It returns the error of Stop, or
// that of ctx; the piece may then have been written or not.
func (q *Queue) Put(ctx context.Context, data []byte) error {
	p, n := &piece{data: data}, size(data)
	if done, err := q.putNow(p, n); done || err != nil {
		return err
	}
	for {
		done, err := q.putLater(ctx, p, n)
		if done || err != nil {
			return err
		}
	}
}

// putNow adds the piece if there is room.
func (q *Queue) putNow(p *piece, n int64) (done bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped != nil {
		return false, q.stopped
	}
	fits := q.held+n <= q.budget.answerBytes
	if fits && q.budget.tryReserve(n) {
		q.push(p, n)
		return true, nil
	}
	if q.shortage == None {
		q.shortage = AnswerLimit
		if fits {
			q.shortage = SharedLimit
		}
	}
	return false, nil
}

// putLater waits for room, or for the next time that a piece was written. A piece that is the only
// one is passed on without a reservation meanwhile.
func (q *Queue) putLater(ctx context.Context, p *piece, n int64) (done bool, err error) {
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	q.mu.Lock()
	if q.stopped != nil || p.written {
		defer q.mu.Unlock()
		return p.written, q.stopped
	}
	if !p.queued && len(q.pieces) == 0 && q.current == nil {
		q.push(p, 0)
	}
	fits := q.held+n <= q.budget.answerBytes
	q.wakeProducer = cancel
	q.mu.Unlock()
	granted := false
	if fits {
		granted = q.budget.reserve(x, n) == nil
	} else {
		<-x.Done()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeProducer = nil
	switch {
	case granted && (p.written || q.stopped != nil):
		q.budget.release(n)
	case granted && p.queued:
		p.reserved = n
		q.held += n
		return true, nil
	case granted:
		q.push(p, n)
		return true, nil
	}
	if p.written || q.stopped != nil {
		return p.written, q.stopped
	}
	return false, ctx.Err()
}

// push appends the piece and wakes Next. The caller must hold q.mu.
func (q *Queue) push(p *piece, reserved int64) {
	p.queued, p.reserved = true, reserved
	q.held += reserved
	q.pieces = append(q.pieces, p)
	q.signal()
}

func (q *Queue) signal() {
	select {
	case q.filled <- struct{}{}:
	default:
	}
}

// Close states that no piece follows.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

// Next returns the next piece and waits for one if there is none. The call states that the
// previous piece was written. Next returns io.EOF after the last piece of a closed queue, and the
// error of Stop after that.
func (q *Queue) Next(ctx context.Context) ([]byte, error) {
	for {
		data, done, err := q.take()
		if done || err != nil {
			return data, err
		}
		select {
		case <-q.filled:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// take releases the current piece and returns the next one.
func (q *Queue) take() (data []byte, done bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped != nil {
		return nil, false, q.stopped
	}
	if q.current != nil {
		q.finish(q.current)
		q.current = nil
		q.wake()
	}
	if len(q.pieces) == 0 {
		if q.closed {
			return nil, false, io.EOF
		}
		return nil, false, nil
	}
	q.current = q.pieces[0]
	q.pieces[0] = nil
	q.pieces = q.pieces[1:]
	return q.current.data, true, nil
}

// finish releases the memory of a piece.
func (q *Queue) finish(p *piece) {
	q.held -= p.reserved
	q.budget.release(p.reserved)
	p.written = true
}

// wake ends the wait of Put, if it waits.
func (q *Queue) wake() {
	if q.wakeProducer != nil {
		q.wakeProducer()
	}
}

// Stop discards all pieces. Put and Next return err from then on, which must not be nil. Only the
// first call has an effect.
func (q *Queue) Stop(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped != nil {
		return
	}
	q.stopped = err
	if q.current != nil {
		q.pieces = append(q.pieces, q.current)
		q.current = nil
	}
	for _, p := range q.pieces {
		q.unwritten += len(p.data)
		q.finish(p)
	}
	q.pieces = nil
	q.wake()
	q.signal()
}

// IsEmpty reports whether no piece is in the queue or being written.
func (q *Queue) IsEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pieces) == 0 && q.current == nil
}

// Shortage returns the limit for which the first piece without room found none.
func (q *Queue) Shortage() Shortage {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.shortage
}

// Unwritten returns the number of bytes that Stop discarded, including the piece that was being
// written.
func (q *Queue) Unwritten() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unwritten
}
