package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/standin/engine"
	"fieldvale/standin/traffic"
)

const (
	workers = 8
	// rolloutEvery is between the steps of the demo's roll-out.
	rolloutEvery  = 1500 * time.Millisecond
	rolloutWithin = 15 * time.Second
	// trouble is how long an entry is paused and the store is out.
	trouble = 1200 * time.Millisecond
	// maxShown bounds the requests without an answer that are printed.
	maxShown = 10
	// leastAnswered is how many of 100 requests must be answered.
	leastAnswered = 95
	// settleWithin bounds the wait for the killed instance's bills.
	settleWithin = 30 * time.Second
)

type runCommand struct {
	options
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	fmt.Printf("demo: seed=%d\n", c.Seed)
	s, err := start(c.options)
	if err != nil {
		return err
	}
	defer s.kill()
	d := &demo{s: s, client: newClient(s), source: traffic.New(c.Seed)}
	err = d.run(c.Requests)
	if err == nil {
		err = d.report()
	}
	s.keepLogs = err != nil
	return err
}

// demo is one run with its results.
type demo struct {
	s       *system
	client  *client
	source  *traffic.Source
	mu      sync.Mutex
	results []result
	// withdrawnAt is when the withdrawal was in force everywhere.
	withdrawnAt time.Time
	broken      []string
}

const withdrawn = "lingua-small@1"

func (d *demo) run(n int) error {
	if err := d.s.acceptAll(); err != nil {
		return err
	}
	d.send(n/3, nil)
	if err := d.s.operator("rollout", "start", withdrawn, "lingua-small@2", "--team", "shared-memory", "--steps", "10,50,100", "--every", rolloutEvery.String(), "--why", "better glossary"); err != nil {
		return err
	}
	d.send(n/3, func() {
		fmt.Println("demo: killing", d.s.instances[1].id)
		d.s.killInstance(1)
	})
	if err := d.awaitRollout(); err != nil {
		return err
	}
	if err := d.s.operator("withdraw", withdrawn, "--team", "shared-memory", "--why", "replaced by lingua-small@2"); err != nil {
		return err
	}
	d.withdrawnAt = time.Now()
	d.send(n-2*(n/3), func() {
		fmt.Println("demo: pausing", d.s.instances[0].id, "and stopping the store for a while")
		d.s.pauseEntry(0, trouble)
		if err := d.s.breakStore(trouble); err != nil {
			d.broken = append(d.broken, err.Error())
		}
	})
	time.Sleep(trouble)
	if err := d.s.operator("status"); err != nil {
		return err
	}
	if err := d.s.operator("audit"); err != nil {
		return err
	}
	d.awaitBills()
	if err := d.s.stop(); err != nil {
		d.broken = append(d.broken, err.Error())
	}
	return nil
}

// send sends n requests by several workers; midway is called after half.
func (d *demo) send(n int, midway func()) {
	q := make(chan traffic.Request)
	var g sync.WaitGroup
	for range workers {
		g.Go(func() {
			for x := range q {
				r := d.client.send(x)
				d.mu.Lock()
				d.results = append(d.results, r)
				d.mu.Unlock()
			}
		})
	}
	for i := range n {
		if i == n/2 && midway != nil {
			midway()
		}
		q <- d.source.Next()
	}
	close(q)
	g.Wait()
}

func (d *demo) awaitRollout() error {
	t := time.Now().Add(rolloutWithin)
	for time.Now().Before(t) {
		v, err := d.s.stored()
		if err != nil {
			return err
		}
		if strings.Contains(v["/fieldvale/config"], `"state":"done"`) {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return errors.New("the roll-out did not end in time")
}

// stored reads the platform's store itself.
func (s *system) stored() (map[string]string, error) {
	var w struct {
		KVs []struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
		} `json:"kvs"`
	}
	b, err := json.Marshal(map[string][]byte{"key": []byte("/fieldvale/"), "range_end": []byte("/fieldvale0")})
	if err != nil {
		return nil, err
	}
	if err := post("http://"+s.platform["kv"]+"/v3/kv/range", b, &w); err != nil {
		return nil, err
	}
	r := map[string]string{}
	for _, k := range w.KVs {
		r[string(k.Key)] = string(k.Value)
	}
	return r, nil
}

// billed counts the requests billed in the store.
func (s *system) billed() int {
	v, err := s.stored()
	if err != nil {
		return -1
	}
	n := 0
	for k, b := range v {
		if !strings.HasPrefix(k, "/fieldvale/bill/") {
			continue
		}
		var l struct {
			Lines []struct {
				Requests int `json:"requests"`
			} `json:"lines"`
		}
		if json.Unmarshal([]byte(b), &l) != nil {
			return -1
		}
		for _, x := range l.Lines {
			n += x.Requests
		}
	}
	return n
}

func (d *demo) count(s state) int {
	n := 0
	for _, r := range d.results {
		if r.state == s {
			n++
		}
	}
	return n
}

// awaitBills waits until the bills that the killed instance left are settled.
func (d *demo) awaitBills() {
	t := time.Now().Add(settleWithin)
	for time.Now().Before(t) && d.s.billed() < d.count(answered) {
		time.Sleep(pollEvery)
	}
}

// misrouted counts answers that were not the caller's and work that went to
// a withdrawn version.
func (d *demo) misrouted() int {
	n := 0
	for _, r := range d.results {
		if r.wrong != "" {
			n++
			d.broken = append(d.broken, r.request.ID+": "+r.wrong)
		}
	}
	for _, b := range d.s.backends {
		if b.Kind != "engine" {
			continue
		}
		var l []engine.Run
		if err := get("http://"+b.Addr+"/standin/runs", &l); err != nil {
			d.broken = append(d.broken, err.Error())
		}
		for _, x := range l {
			if x.Model == withdrawn && x.At.After(d.withdrawnAt) {
				n++
				d.broken = append(d.broken, fmt.Sprintf("%s ran on withdrawn %s", x.Marker, x.Model))
			}
		}
	}
	return n
}

// doubled counts the keys that the plain services ran more than once.
func (d *demo) doubled() int {
	n := 0
	once := map[string]int{}
	for _, b := range d.s.backends {
		if b.Kind != "service" {
			continue
		}
		var m map[string]int
		if err := get("http://"+b.Addr+"/standin/runs", &m); err != nil {
			d.broken = append(d.broken, err.Error())
		}
		for k, x := range m {
			if !strings.HasSuffix(k, "/") {
				once[b.Service+"/"+strings.TrimSuffix(k, again)] += x
			}
		}
	}
	for k, x := range once {
		if x > 1 {
			n++
			d.broken = append(d.broken, fmt.Sprintf("%s ran %d times", k, x))
		}
	}
	return n
}

var errBroken = errors.New("a promise broke")

func (d *demo) report() error {
	d.table()
	sent, ok, no, gone, ran := len(d.results), d.count(answered), d.count(refused), d.count(lost), d.count(found)
	two, wrong, bill := d.doubled(), d.misrouted(), d.s.billed()
	shown := 0
	for _, r := range d.results {
		if r.state != answered && shown < maxShown {
			shown++
			fmt.Printf("demo: not answered: %s: %v\n", r.request.ID, r.last)
		}
	}
	for _, b := range d.broken {
		fmt.Println("demo: broken:", b)
	}
	// One that died with its entry may be billed or not; no more than were under
	// way can be such.
	good := gone == 0 && two == 0 && wrong == 0 && ok <= bill && bill <= ok+ran && ran <= workers && len(d.broken) == 0 && ok >= leastAnswered*sent/100
	fmt.Printf("demo: sent=%d answered=%d refused=%d lost=%d found=%d doubled=%d misrouted=%d billed=%d ok=%t\n", sent, ok, no, gone, ran, two, wrong, bill, good)
	if !good {
		return errBroken
	}
	return nil
}

// table prints what was sent and how long it took, by kind.
func (d *demo) table() {
	by := map[string][]time.Duration{}
	for _, r := range d.results {
		k := r.request.Team + " " + r.request.Task
		if r.request.Kind != traffic.Chat {
			k = r.request.Team + " " + r.request.Service + "/" + r.request.Call
		}
		by[k] = append(by[k], r.took)
	}
	var l []string
	for k := range by {
		l = append(l, k)
	}
	sort.Strings(l)
	fmt.Printf("\n%-32s %6s %9s %9s\n", "REQUESTS", "SENT", "P50 MS", "P95 MS")
	for _, k := range l {
		t := by[k]
		sort.Slice(t, func(i, j int) bool { return t[i] < t[j] })
		fmt.Printf("%-32s %6d %9.1f %9.1f\n", k, len(t), ms(t[len(t)/2]), ms(t[len(t)*95/100]))
	}
	fmt.Println()
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

type upCommand struct {
	options
}

// Execute implements flags.Commander.
func (c *upCommand) Execute([]string) error {
	s, err := start(c.options)
	if err != nil {
		return err
	}
	defer s.kill()
	if err := s.acceptAll(); err != nil {
		return err
	}
	fmt.Println()
	for _, i := range s.instances {
		fmt.Printf("%s  callers %s  administration %s\n", i.id, i.url, i.admin)
	}
	for _, b := range s.backends {
		fmt.Printf("%s  %s  http://%s\n", b.ID, b.Kind, b.Addr)
	}
	fmt.Printf("platform  key-value http://%s  list http://%s  rating http://%s\n\n", s.platform["kv"], s.platform["list"], s.platform["rating"])
	fmt.Printf("try:\n  curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"auto\",\"messages\":[{\"role\":\"user\",\"content\":\"<1> hello\"}]}'\n", s.instances[0].url, traffic.KeyOf("inverness-loc"))
	fmt.Printf("  FIELDVALE_ADMIN=%s FIELDVALE_KEY=%s %s/fieldvale status\n\nstop with ctrl-C; logs in %s\n", s.instances[0].admin, platformKey, c.Bin, s.dir)
	x := make(chan os.Signal, 1)
	signal.Notify(x, os.Interrupt, syscall.SIGTERM)
	<-x
	return s.stop()
}
