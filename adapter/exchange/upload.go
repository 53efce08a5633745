package exchange

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/httphead"
	"fieldvale/adapter/socket"
)

const (
	// uploadGrace is how long the end of a response waits for that of the request's body before its connection is
	// closed: on a busy machine the response may be read before the writer has returned.
	uploadGrace = 10 * time.Millisecond
	// uploadTimeout bounds the wait for the end of the request's body where the response is only known to be whole
	// after it: a server may end its response first and read the rest of the request then.
	uploadTimeout = 2 * time.Second
)

// ErrBrokenOff reports a response that ended with its connection before the server had all of the request.
var ErrBrokenOff = errors.New("the answer ended before its request was written")

// errUploading reports that the request's body is still being written.
var errUploading = errors.New("the request's body is not written yet")

// upload is the writing of a request's body beside the reading of the response.
type upload struct {
	// done is closed at the end, after which err is the result.
	done chan struct{}
	err  error
}

// startUpload starts writing the body.
func startUpload(c net.Conn, body []byte) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = c.Write(body)
	}()
	return u
}

// wait returns the result of the upload, or errUploading if it doesn't end within the time. A nil upload has ended.
func (u *upload) wait(within time.Duration) error {
	if u == nil {
		return nil
	}
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-u.done:
		return u.err
	case <-t.C:
		return errUploading
	}
}

// checkEnd returns io.EOF if the end of the body is that of a whole response.
func (s *Response) checkEnd() error {
	if err := httphead.CheckHeader(s.trailers()); err != nil {
		return err
	}
	if err := s.checkUpload(); err != nil {
		return errors.Mark(errors.Wrap(err, ErrBrokenOff.Error()), ErrBrokenOff)
	}
	return io.EOF
}

// checkUpload returns an error if the response ends with its connection, and the end may be that of a broken one: the
// request's body was not written, or the server didn't get it. The operating system reports an error of a connection
// once, to its writer or to its reader: the other one sees an end like any other.
func (s *Response) checkUpload() error {
	if s.upload == nil || !s.endsWithConnection {
		return nil
	}
	deadline := time.Now().Add(uploadTimeout)
	if err := s.upload.wait(uploadTimeout); err != nil {
		return err
	}
	return s.conn.checkDelivered(deadline)
}

// checkDelivered returns an error unless the server got all bytes that were written, by the deadline.
func (c *conn) checkDelivered(deadline time.Time) error {
	if x, ok := c.netConn.(IndirectConn); ok {
		return x.CheckWritten()
	}
	return socket.WaitDelivered(c.netConn, deadline)
}
