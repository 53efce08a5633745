package entry

import (
	"testing"
	"time"

	"fieldvale/pool"
	"fieldvale/session"
)

// BenchmarkDecision measures one complete decision: plan, version and replica.
func BenchmarkDecision(b *testing.B) {
	r, v := newTestRouter(b, &backendsFake{}, &portsFake{})
	q := request(v, "gold", AutoModel)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		x := v.Get()
		p := x.Active.Decide(q.Caller, q.Task, q.Size)
		w, _ := x.Active.PickVersion(q.Caller, p[0].Model, session.Session{ID: "s"}, x.IsTripped)
		c := r.backends.take(x.byVersion[w], pool.Request{AffinityKey: "s"}, nil, now)
		r.backends.done(c.ID, nil, now)
	}
}
