package logging

import (
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the buffered bytes that are not written yet; at 300 bytes a line
	// these are about 3,000 lines.
	maxBuffered = 1 << 20
	// flushInterval is the pause before buffered lines are written, so that one write has
	// many lines.
	flushInterval = 50 * time.Millisecond
)

// BoundedWriter is an io.Writer that never blocks its callers. It keeps lines in a bounded buffer, which
// one goroutine writes out. Lines that don't fit into the buffer are dropped; their number is
// logged.
type BoundedWriter struct {
	w       io.Writer
	mu      sync.Mutex
	buf     []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a bounded writer to w. The caller must call Close to write the last lines.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{w: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *BoundedWriter) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.buf)+len(p) > maxBuffered {
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

// Close writes the buffered lines and ends the goroutine. Later lines are dropped instead of
// causing a panic, since requests that were interrupted by a stop may still write some.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	close(b.wake)
	<-b.done
}

// run writes buffered lines until Close.
func (b *BoundedWriter) run() {
	defer close(b.done)
	for range b.wake {
		time.Sleep(flushInterval)
		b.flush()
	}
	b.flush()
}

// flush writes the buffered lines and the number of dropped ones.
func (b *BoundedWriter) flush() {
	b.mu.Lock()
	p, n := b.buf, b.dropped
	b.buf, b.dropped = nil, 0
	b.mu.Unlock()
	if n > 0 {
		p = append(p, "event=log_lines_dropped count="+strconv.Itoa(n)+"\n"...)
	}
	if len(p) > 0 {
		// A failure to write the log can't be logged.
		_, _ = b.w.Write(p)
	}
}
