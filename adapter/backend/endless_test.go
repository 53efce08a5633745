package backend_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"fieldvale/adapter/backend"
	"fieldvale/adapter/httpconn"
	"fieldvale/pool"
	"fieldvale/standin/endless"
)

// Guards against an engine whose stream goes on without end and holds its caller until the deadline.
func TestStreamsWithoutEndAreGivenUp(t *testing.T) {
	chunk := `data: {"id":"id-1","model":"small@1","choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\n"
	for _, c := range []struct{ name, begin, piece string }{
		{"blank lines", "", "\n"},
		{"comments", chunk, ": busy\n\n"},
		{"one line", chunk, "x"},
		{"chunks", "", chunk},
		{"after the end marker", chunk + "data: [DONE]\n\n", "\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-1\r\nConnection: close\r\n\r\n%s", backend.HeaderAttempt, c.begin)
			l, err := endless.Listen(endless.Answer{Head: head, Piece: strings.Repeat(c.piece, 1+4000/len(c.piece))})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err = backend.NewEngines(httpconn.New()).Stream(ctx, &pool.Replica{ID: "e", Addr: l.Addr()}, attempt(0), func([]byte) error { return nil })
			if err == nil || ctx.Err() != nil {
				t.Errorf("got error %v, deadline passed %t, want an error before the deadline", err, ctx.Err() != nil)
			}
		})
	}
}
