package tunnel

import (
	"io"
	"net"
	"sync"
	"time"

	"fieldvale/adapter/socket"
)

// serve passes bytes in both directions until the client ends the tunnel or the server its connection.
func (x *session) serve(client io.Reader) {
	w := &countingWriter{conn: x.server}
	go func() {
		_ = copyPlain(recorder{w, &x.asked, x}, client)
		_ = x.server.Close()
	}()
	_ = copyFrames(recorder{x.client, &x.answered, x}, x.server, w)
}

// writeEndTimeout bounds the time for bytes to the server that are under way when its side of the connection has ended.
const writeEndTimeout = 2 * time.Second

// countingWriter writes to the server and counts the bytes. After an error it discards what follows: an answer that
// came before the error may still be unread.
type countingWriter struct {
	conn net.Conn

	mu      sync.Mutex
	written int64
	err     error
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		var n int
		n, w.err = w.conn.Write(b)
		w.written += int64(n)
	}
	return len(b), nil
}

// end returns how many bytes the server got, or why it didn't get all that were written, once its side of the
// connection has ended.
func (w *countingWriter) end() (int64, error) {
	deadline := time.Now().Add(writeEndTimeout)
	_ = w.conn.SetWriteDeadline(deadline)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	return w.written, socket.WaitDelivered(w.conn, deadline)
}

// isBusy reports whether an answer may be under way.
func (x *session) isBusy(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.asked.After(x.answered) || now.Sub(x.answered) < idleSpan
}

// recorder records when bytes were last written to a connection.
type recorder struct {
	io.Writer
	at *time.Time
	x  *session
}

// Write implements io.Writer.
func (r recorder) Write(b []byte) (int, error) {
	r.x.mu.Lock()
	*r.at = time.Now()
	r.x.mu.Unlock()
	return r.Writer.Write(b)
}
