package entry

import (
	"context"
	"io"
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/answerbuffer"
	"fieldvale/route"
)

const (
	// clientStallTimeout is how long after its last write, or after the answer went on, a client
	// may still be written to once its deadline has passed. Complete answers are delivered late to
	// a client that reads.
	clientStallTimeout = 2 * time.Second
	// bodyPartBytes is the size of the parts in which a complete body is written, in bytes. A
	// client that reads slowly is seen to read by the parts that were written.
	bodyPartBytes = 8 << 10
)

// errClientStalled marks answers that were broken off because the client did not read them.
var errClientStalled = errors.New("the client read nothing until its deadline")

// clientWriter is a ForwardSink that writes to the client from a goroutine of its own, so that
// the replica's answer is read at the replica's pace as far as the buffer has room.
type clientWriter struct {
	out   InterruptibleSink
	queue *answerbuffer.Queue
	clock Clock
	// client ends when the client disconnects, run also at the deadline. cancelRun ends run.
	client, run context.Context
	cancelRun   context.CancelFunc
	// isBody is set if the answer is a complete body instead of events.
	isBody bool
	// done is closed when the goroutine has ended; nil before its start. err is its error and is
	// read after done only.
	done chan struct{}
	err  error

	mu sync.Mutex
	// progressAt is when the client last had nothing to read, or was last written to.
	progressAt time.Time
}

var _ ForwardSink = (*clientWriter)(nil)

// bufferAnswer makes the request's answer go through a buffer, if the instance has one and writes
// to the client can be interrupted. Streams are read ahead of the client only where callers wait
// for the whole answer.
func (w *forwarding) bufferAnswer(client, run context.Context, cancelRun context.CancelFunc) {
	out, ok := w.out.(InterruptibleSink)
	if w.r.answerBuffers == nil || !ok || w.q.Route.Kind == route.Stream && !w.placesByCompletion() {
		return
	}
	w.clientWriter = &clientWriter{out: out, queue: w.r.answerBuffers.NewQueue(), clock: w.r.clock, client: client, run: run, cancelRun: cancelRun}
	w.out = w.clientWriter
}

// Head implements ForwardSink. It does not block, as the head is sent with the first bytes after it.
func (c *clientWriter) Head(h Head) error { return c.out.Head(h) }

// Event implements ForwardSink.
func (c *clientWriter) Event(b []byte) error { return c.put(b) }

// Body implements ForwardSink. The body is the only piece of its answer, which is in the queue from the start, so that the
// end of the run ends only the wait for it: finish decides whether the client still gets the rest.
func (c *clientWriter) Body(b []byte) error {
	c.isBody = true
	if err := c.put(b); c.run.Err() == nil {
		return err
	}
	return nil
}

func (c *clientWriter) put(b []byte) error {
	if c.queue.IsEmpty() {
		c.recordProgress()
	}
	if c.done == nil {
		c.done = make(chan struct{})
		go c.writePieces()
	}
	return c.queue.Put(c.run, b)
}

// writePieces writes what is in the queue until its end. If a write fails it ends the run.
func (c *clientWriter) writePieces() {
	defer close(c.done)
	for {
		b, err := c.queue.Next(c.client)
		if errors.Is(err, io.EOF) {
			return
		}
		if err == nil {
			err = c.write(b)
		}
		if err != nil {
			c.err = err
			c.queue.Stop(err)
			c.cancelRun()
			return
		}
	}
}

// write writes one event or a body, unless the client has left.
func (c *clientWriter) write(b []byte) error {
	if !c.isBody {
		return c.writePart(b, c.out.Event)
	}
	if len(b) == 0 {
		return c.writePart(b, c.out.Body)
	}
	for p := range BodyParts(b) {
		if err := c.writePart(p, c.out.Body); err != nil {
			return err
		}
	}
	return nil
}

// BodyParts returns the parts in which a complete body is written.
func BodyParts(b []byte) iter.Seq[[]byte] { return slices.Chunk(b, bodyPartBytes) }

func (c *clientWriter) writePart(b []byte, write func([]byte) error) error {
	if err := c.client.Err(); err != nil {
		return err
	}
	if err := write(b); err != nil {
		return err
	}
	c.recordProgress()
	return nil
}

func (c *clientWriter) recordProgress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progressAt = c.clock()
}

// finish waits until the buffered answer was written. It returns an error if the client left
// before that, or was cut because it read nothing until the deadline.
func (c *clientWriter) finish(deadline time.Time) error {
	if c.done == nil {
		return nil
	}
	c.queue.Close()
	wasSuspended := false
	for {
		if !wasSuspended && c.clock().Sub(c.cutAt(deadline)) > maxTimerDelay {
			// Nothing could be written while the process was suspended. This is taken into account
			// only once, so that a busy process doesn't hold stalled clients for long.
			wasSuspended = true
			c.recordProgress()
		}
		t := time.NewTimer(c.cutAt(deadline).Sub(c.clock()))
		select {
		case <-c.done:
			t.Stop()
			return c.err
		case <-c.client.Done():
			t.Stop()
			c.out.Interrupt()
			<-c.done
			return c.err
		case <-t.C:
		}
		if late := c.clock().Sub(c.cutAt(deadline)); late >= 0 && (wasSuspended || late <= maxTimerDelay) {
			return c.cut()
		}
	}
}

// cut ends the writes to the client.
func (c *clientWriter) cut() error {
	c.out.Interrupt()
	<-c.done
	if c.err == nil {
		return nil
	}
	return errors.Mark(errors.Wrap(c.err, errClientStalled.Error()), errClientStalled)
}

// cutAt is when the client is cut unless more was written by then.
func (c *clientWriter) cutAt(deadline time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.progressAt.Add(clientStallTimeout); t.After(deadline) {
		return t
	}
	return deadline
}

// endAnswer waits until the client has got what the replicas answered, and returns the request's
// error: err, or that of the client if the replicas' part ended well.
func (w *forwarding) endAnswer(err error) error {
	c := w.clientWriter
	if c == nil {
		return err
	}
	e := c.finish(w.q.EffectiveDeadline())
	isCut := errors.Is(e, errClientStalled)
	if s := c.queue.Shortage(); isCut || s != answerbuffer.None {
		w.r.hooks.clientSlow(SlowClient{Request: w.q.ID, Service: w.result.Service, IsCut: isCut, Shortage: s, UnwrittenBytes: c.queue.Unwritten()})
	}
	switch {
	case isCut:
		w.result.StopReason, w.cause = errClientStalled.Error(), e
	case e != nil && err == nil:
		w.result.StopReason, w.cause = "the client left", e
	case e == nil && errors.Is(err, errCallerGone) && errors.Is(err, context.DeadlineExceeded):
		// The client reads, but the answer did not get through the buffer in time.
		w.result.StopReason = "the client read too slowly"
	}
	if e != nil && err == nil {
		return callerGone(e)
	}
	return err
}
