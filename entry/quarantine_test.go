package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/config"
	"fieldvale/outcome"
	"fieldvale/pool"
	"fieldvale/quarantine"
)

// crashingServices crash on one request body.
type crashingServices struct {
	crashed map[string]bool
	sent    int
}

func (s *crashingServices) Call(_ context.Context, r *pool.Replica, c ServiceCall) (ServiceAnswer, error) {
	if string(c.Body) != "bad" {
		return ServiceAnswer{Status: 200}, nil
	}
	s.sent++
	s.crashed[r.ID] = true
	return ServiceAnswer{}, outcome.New(outcome.Unknown, "read", r.ID, io.EOF)
}

// HasCrashed implements Prober.
func (s *crashingServices) HasCrashed(_ context.Context, r *pool.Replica) bool {
	return s.crashed[r.ID]
}

// A plain service's call crashes each backend server that runs it, and the client repeats it with
// new ids. Suspicion that ended with each call would cost three servers per call.
func TestRepeatedCallCrashesFewReplicas(t *testing.T) {
	s := &crashingServices{crashed: map[string]bool{}}
	v := NewCurrentView()
	var l []pool.Replica
	for i := range 40 {
		l = append(l, pool.Replica{ID: fmt.Sprint("s", i), Kind: pool.Service, Service: "memory", Slots: 4})
	}
	v.Put(NewView(nil, l, nil, nil))
	n := quarantine.NewNode(0, quarantine.Config{Self: "n", Clock: time.Now, Log: func(string, ...any) {}})
	r := NewRouter(Ports{View: v, Clock: time.Now, Rand: rand.NewPCG(1, 1), Services: s, Quarantine: n, Prober: s})
	call := func(id, body string) error {
		q := ServiceRequest{ID: id, Service: "memory", Call: "find", Body: []byte(body), Caller: config.Caller{Team: "t"}, Deadline: time.Now().Add(time.Second)}
		_, err := r.tryServiceReplicas(t.Context(), q)
		return err
	}
	for i := range 200 {
		// Other calls fill the retry budget.
		r.retryBudget.RecordRequest()
		if err := call(fmt.Sprint("o", i), "good"); err != nil {
			t.Fatalf("another client's call failed: %v", err)
		}
	}
	var last error
	for i := range 20 {
		last = call(fmt.Sprint("c", i), "bad")
	}
	if s.sent > 5 {
		t.Errorf("the crashing call was sent %d times, want at most 5", s.sent)
	}
	var f *Failure
	if !errors.As(last, &f) || f.Code != Quarantined || f.Outcome != outcome.NotRun {
		t.Errorf("the last call ended with %v, want quarantined and not run", last)
	}
	if err := call("o", "good"); err != nil {
		t.Errorf("another client's call failed: %v", err)
	}
}
