package exchange

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
)

// maxEventBytes bounds the length of one event; the largest known events have a few
// hundred bytes.
const maxEventBytes = 1 << 20

// EventReader splits the body of a stream of server-sent events into complete events.
type EventReader struct {
	r      *bufio.Reader
	memory Memory
}

// Memory bounds the memory of an answer.
type Memory interface {
	// Grow counts n more bytes, or returns an error if there is no room for them.
	Grow(n int64) error
	// Release frees all bytes.
	Release()
}

// NewEventReader returns a reader of the body's events. The memory is that of the event being read.
func NewEventReader(body io.Reader, m Memory) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(body, readBufferSize), memory: m}
}

// Next returns the next event with the empty line that ends it, and io.EOF after
// the last event. It returns io.ErrUnexpectedEOF if the body ends within an event.
func (e *EventReader) Next() (entry.Event, error) {
	e.memory.Release()
	v := entry.Event{IsComment: true}
	// lineStart is the index of the current line in v.Data. Lines may exceed the read buffer.
	lineStart := 0
	for {
		l, err := e.r.ReadSlice('\n')
		if err := e.memory.Grow(int64(len(l))); err != nil {
			return v, err
		}
		v.Data = append(v.Data, l...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(v.Data) == 0:
			return v, io.EOF
		case errors.Is(err, io.EOF):
			return v, io.ErrUnexpectedEOF
		case err != nil:
			return v, err
		}
		if len(v.Data) > maxEventBytes {
			return v, errors.Newf("event is longer than %d bytes", maxEventBytes)
		}
		if err != nil {
			continue
		}
		l = v.Data[lineStart:]
		lineStart = len(v.Data)
		if len(bytes.TrimRight(l, "\r\n")) == 0 {
			return v, nil
		}
		v.IsComment = v.IsComment && !hasContent(l)
		if id, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			v.ID = string(bytes.TrimSpace(id))
		}
	}
}

// hasContent reports whether the line is a field that is part of an event: its data or its id.
func hasContent(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
	return string(name) == "data" || string(name) == "id"
}
