// Package tunnel connects an instance to a backend server through another instance: HTTP's CONNECT
// at the other instance's peer listener, after which bytes pass in both directions.
//
// Bytes to the server pass unchanged. Bytes from it are in frames, a length of two bytes before each,
// and a length of 0 when the server has closed its connection. So the end of the server's connection
// differs from the end of an instance, and an answer that ends with its connection is never taken as
// complete when an instance in between was lost.
package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// frameHeader is the size of a frame's length, maxFrame the largest frame's content, in bytes.
	frameHeader = 2
	maxFrame    = 8 << 10
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

// errCut reports that an instance in between was lost.
var errCut = errors.New("tunnel: the connection through another instance broke")

// Conn is a connection to a server through another instance. It implements exchange.IndirectConn.
type Conn struct {
	net.Conn
	// instance is the id of the instance in between.
	instance string

	reader *bufio.Reader
	// left is the number of bytes that are unread of the current frame.
	left int
	// ended is set once the server's end of the connection was read.
	ended   bool
	onClose func()
	once    sync.Once
}

// newConn returns a connection over c, of which r has the bytes read in advance. onClose is called
// once at its end.
func newConn(c net.Conn, r *bufio.Reader, instance string, onClose func()) *Conn {
	return &Conn{Conn: c, instance: instance, reader: r, onClose: onClose}
}

// Via implements exchange.IndirectConn: the instance in between, and this instance's address of the
// connection to it, by which its log names the connection.
func (c *Conn) Via() string { return c.instance + "/" + c.LocalAddr().String() }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.readFrameHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(b[:min(len(b), c.left)])
	c.left -= n
	if err == io.EOF {
		err = errCut
	}
	return n, err
}

// readFrameHeader reads the length of the next frame; io.EOF for the server's end of the connection.
func (c *Conn) readFrameHeader() error {
	var h [frameHeader]byte
	if _, err := io.ReadFull(c.reader, h[:]); err != nil {
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return errCut
		}
		return err
	}
	c.left = int(binary.BigEndian.Uint16(h[:]))
	if c.left == 0 {
		c.ended = true
		return io.EOF
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, so that unread bytes can be looked for.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("tunnel: no connection of the operating system")
	}
	return s.SyscallConn()
}

// HasUnread implements exchange.IndirectConn: whether bytes were received that were not read.
func (c *Conn) HasUnread() bool { return c.ended || c.left > 0 || c.reader.Buffered() > 0 }

// copyFrames passes bytes from the server to w in frames until its connection ends.
func copyFrames(w io.Writer, server net.Conn) error {
	b := make([]byte, frameHeader+maxFrame)
	for {
		n, err := server.Read(b[frameHeader:])
		if n > 0 {
			binary.BigEndian.PutUint16(b, uint16(n))
			if _, err := w.Write(b[:frameHeader+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = w.Write(make([]byte, frameHeader))
			return err
		}
		if err != nil {
			return err
		}
	}
}

// copyPlain passes bytes from r to the server until r ends.
func copyPlain(server net.Conn, r io.Reader) error {
	b := make([]byte, maxFrame)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if _, err := server.Write(b[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// setNoDeadline removes the deadlines that the HTTP server or client has set.
func setNoDeadline(c net.Conn) { _ = c.SetDeadline(time.Time{}) }
