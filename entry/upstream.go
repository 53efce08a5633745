package entry

import (
	"context"
	"net/http"
	"time"

	"fieldvale/pool"
)

// Dispatch is one attempt of an opaque request at a replica.
type Dispatch struct {
	Request *OpaqueRequest
	// Model is the size chosen for it; empty leaves the client's.
	Model string
	// LastEventID is the last event that the client has of the stream.
	LastEventID string
	Deadline    time.Time
	Priority    int
}

// Head is a backend server's answer up to its body.
type Head struct {
	Status int
	Header http.Header
}

// IsSuccess reports whether the answer is one of success.
func (h Head) IsSuccess() bool { return h.Status >= 200 && h.Status < 300 }

// Event is one whole event of a stream, with its end.
type Event struct {
	ID   string
	Data []byte
}

// Reply is a backend server's answer as it comes. Close must be called.
type Reply interface {
	Head() Head
	// Confidence is the model's own opinion of its answer, from 0 to 100.
	Confidence() (c float64, ok bool)
	// Next returns the next whole event; io.EOF after the last one.
	Next() (Event, error)
	// Body reads the whole body.
	Body() ([]byte, error)
	// Close ends the answer. One that was not read to its end is cancelled.
	Close()
}

// Upstream sends opaque requests to replicas. Failures are *outcome.Error;
// an answer that says it did not run is one of them.
type Upstream interface {
	Send(ctx context.Context, r *pool.Replica, d Dispatch) (Reply, error)
}
