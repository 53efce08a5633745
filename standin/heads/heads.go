// Package heads has heads of answers as a server in trouble sends them, and sound ones beside them.
package heads

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"io"
	"net"
	"strings"

	"github.com/cockroachdb/errors"
)

// body is the body of a sound answer.
const body = "ok"

//go:embed heads.jsonl
var cases []byte

// Case is an answer with its head.
type Case struct {
	Name string
	// Before is what comes before the answer, as an interim answer.
	Before string
	// Status is the answer's status line; empty for that of a sound answer.
	Status string
	// Lines are header lines.
	Lines []string
	// Unframed is set if the head has no line with a length but those in Lines.
	Unframed bool
	// Body is the answer's body as it is sent; empty for that of a sound answer.
	Body string
	// Usable is set if the answer is one, with the body "ok".
	Usable bool
}

// Read returns the cases.
func Read() ([]Case, error) {
	var l []Case
	for n, b := range bytes.Split(bytes.TrimSpace(cases), []byte("\n")) {
		var c Case
		if err := json.Unmarshal(b, &c); err != nil {
			return nil, errors.Wrapf(err, "heads.jsonl: line %d", n+1)
		}
		l = append(l, c)
	}
	return l, nil
}

// Answer returns the bytes of the answer with further header lines.
func (c Case) Answer(lines ...string) string {
	l := []string{c.Status}
	if c.Status == "" {
		l[0] = "HTTP/1.1 200 OK"
	}
	l = append(append(l, lines...), c.Lines...)
	if !c.Unframed {
		l = append(l, "Content-Length: 2")
	}
	b := c.Body
	if b == "" {
		b = body
	}
	return c.Before + strings.Join(l, "\r\n") + "\r\n\r\n" + b
}

// maxRequest is how much of a request is read before the answer, in bytes.
const maxRequest = 4 << 10

// Serve starts a server on a loopback address that answers each connection with the bytes and closes it. It ends when
// the listener is closed.
func Serve(answer string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "heads")
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, maxRequest))
			_, _ = io.WriteString(c, answer)
			_ = c.Close()
		}
	}()
	return l, nil
}
