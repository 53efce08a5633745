package exchange

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"fieldvale/entry"
)

// maxEvent bounds one event in bytes; the largest known have some hundred.
const maxEvent = 1 << 20

// Events splits a body into whole events.
type Events struct {
	r *bufio.Reader
}

// NewEvents reads events from the body.
func NewEvents(body io.Reader) *Events {
	return &Events{r: bufio.NewReaderSize(body, bufferSize)}
}

// Next returns the next event with the empty line that ends it; io.EOF after
// the last one. A body that ends within an event was broken off.
func (e *Events) Next() (entry.Event, error) {
	var v entry.Event
	for {
		l, err := e.r.ReadSlice('\n')
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
		if len(v.Data) > maxEvent {
			return v, errors.Newf("an event is longer than %d bytes", maxEvent)
		}
		if err != nil {
			continue
		}
		if len(bytes.TrimRight(l, "\r\n")) == 0 {
			return v, nil
		}
		if id, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			v.ID = string(bytes.TrimSpace(id))
		}
	}
}
