package logging

import (
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// boundedBytes is how much may wait to be written; at 300 bytes a line
	// some 3,000 lines.
	boundedBytes = 1 << 20
	// writeEvery gathers lines into one write.
	writeEvery = 50 * time.Millisecond
)

// Bounded is a writer that never blocks its callers: lines wait in a bounded
// buffer for one goroutine that writes them. Lines that find no room are
// counted, and the count is logged.
type Bounded struct {
	w       io.Writer
	mu      sync.Mutex
	buf     []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewBounded returns a writer to w; Close writes what is left.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{w: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *Bounded) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.buf)+len(p) > boundedBytes {
		b.dropped++
		return len(p), nil
	}
	b.buf = append(b.buf, p...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Close writes what is left and ends the goroutine. What is written after it
// is dropped: requests that a stop cut off may still end.
func (b *Bounded) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	close(b.wake)
	<-b.done
}

func (b *Bounded) run() {
	defer close(b.done)
	for range b.wake {
		time.Sleep(writeEvery)
		b.flush()
	}
	b.flush()
}

func (b *Bounded) flush() {
	b.mu.Lock()
	p, n := b.buf, b.dropped
	b.buf, b.dropped = nil, 0
	b.mu.Unlock()
	if n > 0 {
		p = append(p, "event=log_lines_dropped count="+strconv.Itoa(n)+"\n"...)
	}
	if len(p) > 0 {
		// There is nowhere to report that the log itself can't be written.
		_, _ = b.w.Write(p)
	}
}
