package faults

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/config"
	"fieldvale/entry"
	"fieldvale/outcome"
	"fieldvale/policy"
	"fieldvale/session"
	"fieldvale/standin/world"
)

// sent is one request with all that its client saw.
type sent struct {
	n        int
	id       string
	kind     string
	answered bool
	whole    bool
	replayed bool
	// denied is set if every try was told that it was not run.
	denied bool
	tries  int
	took   time.Duration
	last   error
	// entries are the instances that were tried.
	entries []string
}

// traffic sends the requests, each from a client of its own.
func (d *day) traffic(ctx context.Context) {
	d.at(3)
	var g sync.WaitGroup
	for n := range requests {
		s := &sent{n: n, id: fmt.Sprintf("r%03d", n), kind: []string{"stream", "once", "chat", "once", "plain"}[n%5], denied: true}
		d.sent = append(d.sent, s)
		g.Go(func() { d.send(ctx, s) })
		time.Sleep(sendEvery)
	}
	g.Wait()
}

// send tries instances until one answers or refuses finally.
func (d *day) send(ctx context.Context, s *sent) {
	c := world.Client{W: d.w, P: &world.Proc{Name: "client"}}
	begin := time.Now()
	for n := range 12 {
		l := d.ready()
		if len(l) == 0 {
			time.Sleep(time.Second)
			continue
		}
		i := l[(s.n+n)%len(l)]
		s.tries++
		s.entries = append(s.entries, i.ID)
		d.hook("admission", i.Entry)
		err := d.try(ctx, c, i, s)
		d.late = max(d.late, time.Since(begin))
		if err == nil {
			s.answered, s.denied = true, false
			break
		}
		s.last = err
		var f *entry.Failure
		if !errors.As(err, &f) || f.Outcome != outcome.NotRun {
			s.denied = false
		}
		if s.kind == "once" && errors.As(err, &f) && f.Code == entry.MayHaveRun {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.took = time.Since(begin)
}

func (d *day) ready() []*world.Instance {
	var r []*world.Instance
	for _, i := range d.w.Instances() {
		if i.Ready() {
			r = append(r, i)
		}
	}
	return r
}

// try makes one try and looks at what came back.
func (d *day) try(ctx context.Context, c world.Client, i *world.Instance, s *sent) error {
	x, cancel := context.WithTimeout(ctx, allowance+time.Second)
	defer cancel()
	begin := time.Now()
	err := d.request(x, c, i, s)
	if t := time.Since(begin); t > allowance+2*time.Second {
		d.fail("%s: a try took %s, longer than its deadline", s.id, t)
	}
	return err
}

func (d *day) request(x context.Context, c world.Client, i *world.Instance, s *sent) error {
	switch s.kind {
	case "once", "plain":
		return d.plain(x, c, i, s)
	}
	type reply struct {
		text string
		r    entry.Result
	}
	k := fmt.Sprintf("thread%d", s.n%threads)
	d.mu.Lock()
	token := d.sessions[k]
	d.mu.Unlock()
	a, err := world.Do(x, c, i, func(y context.Context, r *entry.Router, v *entry.View) (reply, error) {
		if v.Active == nil {
			return reply{}, &entry.Failure{Code: entry.NotReady, Outcome: outcome.NotRun}
		}
		q, err := d.chatRequest(v, s, k, token)
		if err != nil {
			return reply{}, err
		}
		if s.kind == "chat" {
			a, f, err := r.Chat(y, q)
			return reply{a.Text, f}, err
		}
		k := &sink{}
		err = r.Stream(y, q, k)
		return reply{strings.Join(k.text, ""), k.result}, err
	})
	if err != nil {
		return err
	}
	s.whole = world.WholeAnswer(a.text, s.id)
	d.keep(i, k, token, a.r)
	return nil
}

func (d *day) chatRequest(v *entry.View, s *sent, thread, token string) (entry.Request, error) {
	c, ok := v.Active.Caller("")
	_ = ok
	c.Team = "t"
	c.Customer, _ = v.Active.Document().Part("t").Source.Catalog.Customer(customer(s.n))
	q := entry.Request{ID: s.id, Caller: c, Task: "chat", Size: policy.Small, Model: entry.AutoModel, Body: world.Body(s.id), Deadline: time.Now().Add(allowance)}
	q.Session = session.New(thread, "", time.Now().Add(24*time.Hour))
	if token != "" {
		o, err := v.Active.Ring().Open(token, time.Now())
		if err != nil {
			d.fail("%s: session token is not honoured: %v", s.id, err)
		}
		q.Session = o
	}
	return q, nil
}

// keep notes the session's token and the version that it has now, unless a
// later request of the thread got its answer, and a newer token, first.
func (d *day) keep(i *world.Instance, thread, sent string, r entry.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[thread] != sent {
		return
	}
	d.sessions[thread] = i.View.Get().Active.Ring().Mint(r.Session)
	if p, ok := r.Session.Pin("cheap"); ok {
		l := d.versions[thread]
		if len(l) == 0 || l[len(l)-1] != p {
			d.versions[thread] = append(l, p)
		}
	}
}

// sink gathers a stream.
type sink struct {
	text   []string
	result entry.Result
}

func (s *sink) Head(r entry.Result) error { s.result = r; return nil }

func (s *sink) Chunk(b []byte) error {
	s.text = append(s.text, string(b))
	return nil
}

func (d *day) plain(x context.Context, c world.Client, i *world.Instance, s *sent) error {
	call, key := "search", ""
	if s.kind == "once" {
		call, key = "write", s.id
	}
	a, err := world.Do(x, c, i, func(y context.Context, r *entry.Router, v *entry.View) (entry.ServiceResult, error) {
		if v.Active == nil {
			return entry.ServiceResult{}, &entry.Failure{Code: entry.NotReady, Outcome: outcome.NotRun}
		}
		k := config.Caller{Team: "t"}
		k.Customer, _ = v.Active.Document().Part("t").Source.Catalog.Customer(customer(s.n))
		return r.Call(y, entry.ServiceRequest{ID: s.id, Caller: k, Service: "memory", Call: call, Body: []byte(s.id), IdempotencyKey: key, Deadline: time.Now().Add(allowance)})
	})
	if err != nil {
		return err
	}
	s.replayed = a.Replayed
	s.whole = string(a.Answer.Body) == "done "+s.id
	return nil
}

// lines are the billed requests by request number.
func (d *day) lines(ctx context.Context) map[string]uint64 {
	r := map[string]uint64{}
	for l, a := range d.w.Billed(ctx) {
		r[l.Customer] += a.Requests
	}
	return r
}
