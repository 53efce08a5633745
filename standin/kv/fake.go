package kv

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"fieldvale/store"
)

// Fake is a store client that accesses a Memory within the same process and can
// inject faults.
type Fake struct {
	*Memory
	mu    sync.Mutex
	fault Fault
	// calls counts the calls by operation.
	calls map[string]int
}

// Fault is a fault of the connection between a client and the store.
type Fault int

// The faults of a Fake.
const (
	// NoFault injects no fault.
	NoFault Fault = iota
	// Down makes calls fail without reaching the store.
	Down
	// LostResponses applies writes and loses their responses.
	LostResponses
	// LostRequests loses requests before they reach the store. The client gets
	// the same error as for a lost response, since it cannot tell the two apart.
	LostRequests
)

// NewFake returns a client of m without faults.
func NewFake(m *Memory) *Fake {
	return &Fake{Memory: m, calls: map[string]int{}}
}

// SetFault sets the fault of all further calls. The zero Fault removes it.
func (f *Fake) SetFault(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = x
}

// Calls returns the number of calls of an operation, such as "get".
func (f *Fake) Calls(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[name]
}

var errFake = errors.New("fake store")

// before counts a call and returns the errors of the current fault: err if the
// call must fail without any effect, after if it must fail once it took effect.
func (f *Fake) before(name string) (after, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[name]++
	switch f.fault {
	case Down:
		return nil, errors.Mark(errors.Wrapf(errFake, "%s: store is down", name), store.ErrUnavailable)
	case LostRequests:
		return nil, errors.Mark(errors.Wrapf(errFake, "%s: request was lost", name), store.ErrUnknown)
	case LostResponses:
		return errors.Mark(errors.Wrapf(errFake, "%s: response was lost", name), store.ErrUnknown), nil
	}
	return nil, nil
}

// Get implements store.Store.
func (f *Fake) Get(ctx context.Context, key string) (store.Pair, error) {
	a, err := f.before("get")
	if err != nil || a != nil {
		return store.Pair{}, errors.CombineErrors(err, a)
	}
	return f.Memory.Get(ctx, key)
}

// List implements store.Store.
func (f *Fake) List(ctx context.Context, prefix string, n int) ([]store.Pair, error) {
	a, err := f.before("list")
	if err != nil || a != nil {
		return nil, errors.CombineErrors(err, a)
	}
	return f.Memory.List(ctx, prefix, n)
}

// Commit implements store.Store.
func (f *Fake) Commit(ctx context.Context, g []store.Guard, w []store.Write) (bool, error) {
	a, err := f.before("commit")
	if err != nil {
		return false, err
	}
	ok, err := f.Memory.Commit(ctx, g, w)
	if a != nil {
		return false, a
	}
	return ok, err
}

// CreateAll implements store.Store.
func (f *Fake) CreateAll(ctx context.Context, w []store.Write) ([]store.Pair, error) {
	a, err := f.before("create")
	if err != nil {
		return nil, err
	}
	r, err := f.Memory.CreateAll(ctx, w)
	if a != nil {
		return nil, a
	}
	return r, err
}

// Wait implements store.Store.
func (f *Fake) Wait(ctx context.Context, key string, above int64) (store.Pair, error) {
	a, err := f.before("wait")
	if err != nil || a != nil {
		return store.Pair{}, errors.CombineErrors(err, a)
	}
	return f.Memory.Wait(ctx, key, above)
}
