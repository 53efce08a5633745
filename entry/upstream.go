package entry

import (
	"context"
	"net/http"
	"time"

	"fieldvale/pool"
)

// Dispatch is one attempt at sending an opaque request to a replica.
type Dispatch struct {
	Request *OpaqueRequest
	// Model is the model chosen for the request; empty leaves the client's.
	Model string
	// LastEventID is the id of the last event that the client received of the stream.
	LastEventID string
	Deadline    time.Time
	Priority    int
}

// Head is the status and headers of a backend server's answer.
type Head struct {
	Status int
	Header http.Header
	// Via names the instance through which the replica was reached; empty for a direct connection.
	Via string
	// EndsWithConnection is set if the answer has neither a length nor chunks. A server that crashes
	// may end it like a complete one.
	EndsWithConnection bool
}

// IsSuccess reports whether the status is 2xx.
func (h Head) IsSuccess() bool { return h.Status >= 200 && h.Status < 300 }

// Event is one complete event of a stream, including the empty line that ends it.
type Event struct {
	ID   string
	Data []byte
	// IsComment is set if there is neither data nor an id, as in a blank line or a comment that keeps a
	// connection open. It is no progress of the stream.
	IsComment bool
}

// Reply is a backend server's answer while it arrives. It must be closed.
type Reply interface {
	Head() Head
	// Confidence is the confidence that the model reports in its own answer, from 0 to 100.
	Confidence() (c float64, ok bool)
	// Next returns the next complete event, or io.EOF after the last one.
	Next() (Event, error)
	// Body reads the complete body.
	Body() ([]byte, error)
	// Close releases the answer. An answer not read to its end is cancelled.
	Close()
}

// Upstream sends opaque requests to replicas. Errors are *outcome.Error, also for an answer that
// states that the request did not run.
type Upstream interface {
	Send(ctx context.Context, r *pool.Replica, d Dispatch) (Reply, error)
}
