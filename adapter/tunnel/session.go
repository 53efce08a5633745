package tunnel

import (
	"io"
	"net"
	"time"
)

// serve passes bytes in both directions until one side ends, and then ends the other.
func (x *session) serve(client io.Reader) {
	go func() {
		_ = copyPlain(recorder{x.server, &x.asked, x}, client)
		_ = x.server.Close()
	}()
	_ = copyFrames(recorder{x.client, &x.answered, x}, x.server)
}

// isBusy reports whether an answer may be under way.
func (x *session) isBusy(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.asked.After(x.answered) || now.Sub(x.answered) < idleSpan
}

// recorder records when bytes were last written to a connection.
type recorder struct {
	net.Conn
	at *time.Time
	x  *session
}

// Write implements io.Writer.
func (r recorder) Write(b []byte) (int, error) {
	r.x.mu.Lock()
	*r.at = time.Now()
	r.x.mu.Unlock()
	return r.Conn.Write(b)
}
