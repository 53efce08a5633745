// Package tunnel connects an instance to a backend server through another instance: HTTP's CONNECT
// at the other instance's peer listener, after which bytes pass in both directions.
//
// Bytes to the server pass unchanged. Bytes from it are in frames, a length of two bytes before each,
// and a length of 0 when the server has closed its connection in order, followed by how many bytes were
// written to the server without an error, in eight bytes. So the end of the server's connection
// differs from the end of an instance, and an answer that ends with its connection is never taken as
// complete when an instance in between was lost, or when the server did not get all of the request.
package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// frameHeader is the size of a frame's length, endCount that of the count behind the last one, maxFrame the
	// largest frame's content, in bytes.
	frameHeader = 2
	endCount    = 8
	maxFrame    = 8 << 10
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

// errCut reports that an instance in between was lost, errNotPassedOn that it has not written all bytes to the server.
var (
	errCut         = errors.New("tunnel: the connection through another instance broke")
	errNotPassedOn = errors.New("tunnel: the other instance has not passed on all bytes to the server")
)

// Conn is a connection to a server through another instance. It implements exchange.IndirectConn.
type Conn struct {
	net.Conn
	// instance is the id of the instance in between.
	instance string

	reader *bufio.Reader
	// left is the number of bytes that are unread of the current frame.
	left int
	// ended is set once the server's end of the connection was read.
	ended bool
	// written is the number of bytes written to the connection.
	written atomic.Int64
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

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// CheckWritten implements exchange.IndirectConn.
func (c *Conn) CheckWritten() error {
	var b [endCount]byte
	if _, err := io.ReadFull(c.reader, b[:]); err != nil {
		return errors.Wrap(errors.CombineErrors(errCut, err), "read the count")
	}
	if n, want := int64(binary.BigEndian.Uint64(b[:])), c.written.Load(); n < want {
		return errors.Wrapf(errNotPassedOn, "%d bytes, want %d", n, want)
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

// copyFrames passes bytes from the server to client in frames until its connection ends. The last frame says what
// was written to the server; there is none if that failed.
func copyFrames(client io.Writer, server io.Reader, toServer *countingWriter) error {
	b := make([]byte, frameHeader+maxFrame)
	for {
		n, err := server.Read(b[frameHeader:])
		if n > 0 {
			binary.BigEndian.PutUint16(b, uint16(n))
			if _, err := client.Write(b[:frameHeader+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return writeEnd(client, toServer)
		}
		if err != nil {
			return err
		}
	}
}

// writeEnd writes the last frame.
func writeEnd(client io.Writer, toServer *countingWriter) error {
	n, err := toServer.end()
	if err != nil {
		return err
	}
	b := binary.BigEndian.AppendUint64(make([]byte, frameHeader), uint64(n))
	_, err = client.Write(b)
	return err
}

// copyPlain passes bytes from r to the server until r ends.
func copyPlain(server io.Writer, r io.Reader) error {
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
