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
	// workers is the number of requests that are sent concurrently.
	workers = 8
	// rolloutStepInterval is the time between steps of the demo's roll-out.
	rolloutStepInterval = 1500 * time.Millisecond
	rolloutTimeout      = 15 * time.Second
	// faultTime is the time for which an entry is paused and the store unavailable.
	faultTime = 1200 * time.Millisecond
	// maxPrintedFailures bounds the number of unanswered requests that are printed.
	maxPrintedFailures = 10
	// minAnsweredPercent is the least percentage of requests that must be answered.
	minAnsweredPercent = 95
	// billingTimeout bounds the wait until other instances have billed the killed
	// instance's requests.
	billingTimeout = 30 * time.Second
)

// runCommand sends requests while faults are injected, and checks the results.
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

// demo is a run of the demo with its results.
type demo struct {
	s       *system
	client  *client
	source  *traffic.Source
	mu      sync.Mutex
	results []result
	// withdrawnAt is the time at which the command for the withdrawal had ended.
	withdrawnAt time.Time
	violations  []string
}

// withdrawnVersion is replaced by the roll-out and then withdrawn.
const withdrawnVersion = "lingua-small@1"

// run sends n requests in three parts: before the roll-out; during the roll-out,
// with an instance killed halfway; and after the withdrawal, with an entry paused
// and the store unavailable.
func (d *demo) run(n int) error {
	if err := d.s.acceptAll(); err != nil {
		return err
	}
	d.send(n/3, nil)
	if err := d.s.runFieldvale("rollout", "start", withdrawnVersion, "lingua-small@2", "--team", "shared-memory", "--steps", "10,50,100", "--every", rolloutStepInterval.String(), "--why", "better glossary"); err != nil {
		return err
	}
	d.send(n/3, func() {
		fmt.Println("demo: killing", d.s.instances[1].id)
		d.s.killInstance(1)
	})
	if err := d.awaitRollout(); err != nil {
		return err
	}
	if err := d.s.runFieldvale("withdraw", withdrawnVersion, "--team", "shared-memory", "--why", "replaced by lingua-small@2"); err != nil {
		return err
	}
	d.withdrawnAt = time.Now()
	d.send(n-2*(n/3), func() {
		fmt.Println("demo: pausing", d.s.instances[0].id, "and stopping the store for a while")
		d.s.pauseEntry(0, faultTime)
		if err := d.s.injectStoreOutage(faultTime); err != nil {
			d.violations = append(d.violations, err.Error())
		}
	})
	time.Sleep(faultTime)
	if err := d.s.runFieldvale("status"); err != nil {
		return err
	}
	if err := d.s.runFieldvale("audit"); err != nil {
		return err
	}
	d.awaitBilling()
	if err := d.s.stop(); err != nil {
		d.violations = append(d.violations, err.Error())
	}
	return nil
}

// send sends n requests through concurrent workers. It calls midway, unless nil,
// when half of them have been handed to the workers.
func (d *demo) send(n int, midway func()) {
	requests := make(chan traffic.Request)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for request := range requests {
				r := d.client.send(request)
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
		requests <- d.source.Next()
	}
	close(requests)
	group.Wait()
}

// awaitRollout waits until the configuration in the store shows a finished roll-out.
func (d *demo) awaitRollout() error {
	deadline := time.Now().Add(rolloutTimeout)
	for time.Now().Before(deadline) {
		values, err := d.s.readStore()
		if err != nil {
			return err
		}
		if strings.Contains(values["/fieldvale/config"], `"state":"done"`) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.New("the roll-out did not end within the time limit")
}

// readStore reads all of fieldvale's keys directly from the platform's store.
func (s *system) readStore() (map[string]string, error) {
	var response struct {
		KVs []struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
		} `json:"kvs"`
	}
	body, err := json.Marshal(map[string][]byte{"key": []byte("/fieldvale/"), "range_end": []byte("/fieldvale0")})
	if err != nil {
		return nil, err
	}
	if err := post("http://"+s.platform["kv"]+"/v3/kv/range", body, &response); err != nil {
		return nil, err
	}
	values := map[string]string{}
	for _, k := range response.KVs {
		values[string(k.Key)] = string(k.Value)
	}
	return values, nil
}

// billedRequests returns the number of requests billed in the store, or -1 if it
// can't be read.
func (s *system) billedRequests() int {
	values, err := s.readStore()
	if err != nil {
		return -1
	}
	n := 0
	for k, value := range values {
		if !strings.HasPrefix(k, "/fieldvale/bill/") {
			continue
		}
		var record struct {
			Lines []struct {
				Requests int `json:"requests"`
			} `json:"lines"`
		}
		if json.Unmarshal([]byte(value), &record) != nil {
			return -1
		}
		for _, line := range record.Lines {
			n += line.Requests
		}
	}
	return n
}

// countOutcome returns the number of requests with the outcome o.
func (d *demo) countOutcome(o outcome) int {
	n := 0
	for _, r := range d.results {
		if r.outcome == o {
			n++
		}
	}
	return n
}

// awaitBilling waits until all answered requests are billed, those of the killed
// instance included.
func (d *demo) awaitBilling() {
	deadline := time.Now().Add(billingTimeout)
	for time.Now().Before(deadline) && d.s.billedRequests() < d.countOutcome(answered) {
		time.Sleep(pollInterval)
	}
}

// countMisrouted returns the number of answers with a violation plus the number
// of requests that ran on the withdrawn version after its withdrawal. It appends a
// line for each to d.violations.
func (d *demo) countMisrouted() int {
	n := 0
	for _, r := range d.results {
		if r.violation != "" {
			n++
			d.violations = append(d.violations, r.request.ID+": "+r.violation)
		}
	}
	for _, backend := range d.s.backends {
		if backend.Kind != "engine" {
			continue
		}
		var runs []engine.Run
		if err := get("http://"+backend.Addr+"/standin/runs", &runs); err != nil {
			d.violations = append(d.violations, err.Error())
		}
		for _, run := range runs {
			if run.Model == withdrawnVersion && run.At.After(d.withdrawnAt) {
				n++
				d.violations = append(d.violations, fmt.Sprintf("%s ran on withdrawn %s", run.Marker, run.Model))
			}
		}
	}
	return n
}

// countDuplicates returns the number of idempotency keys that the plain services
// ran more than once. A request's first and second key count as the same. It
// appends a line for each to d.violations.
func (d *demo) countDuplicates() int {
	n := 0
	runsByKey := map[string]int{}
	for _, backend := range d.s.backends {
		if backend.Kind != "service" {
			continue
		}
		var runs map[string]int
		if err := get("http://"+backend.Addr+"/standin/runs", &runs); err != nil {
			d.violations = append(d.violations, err.Error())
		}
		for key, count := range runs {
			if !strings.HasSuffix(key, "/") {
				runsByKey[backend.Service+"/"+strings.TrimSuffix(key, newKeySuffix)] += count
			}
		}
	}
	for key, count := range runsByKey {
		if count > 1 {
			n++
			d.violations = append(d.violations, fmt.Sprintf("%s ran %d times", key, count))
		}
	}
	return n
}

var errViolations = errors.New("a promise broke")

// report prints the results and returns an error if a guarantee was violated.
func (d *demo) report() error {
	d.table()
	sent, answeredCount, refusedCount, lostCount, unansweredRuns := len(d.results), d.countOutcome(answered), d.countOutcome(refused), d.countOutcome(lost), d.countOutcome(ranUnanswered)
	duplicates, misroutedCount, billed := d.countDuplicates(), d.countMisrouted(), d.s.billedRequests()
	shown := 0
	for _, r := range d.results {
		if r.outcome != answered && shown < maxPrintedFailures {
			shown++
			fmt.Printf("demo: not answered: %s: %v\n", r.request.ID, r.lastErr)
		}
	}
	for _, violation := range d.violations {
		fmt.Println("demo: broken:", violation)
	}
	// A request that ran although its entry died may be billed or not. There can't be
	// more of these than requests in flight at once.
	ok := lostCount == 0 && duplicates == 0 && misroutedCount == 0 && answeredCount <= billed && billed <= answeredCount+unansweredRuns && unansweredRuns <= workers && len(d.violations) == 0 && answeredCount >= minAnsweredPercent*sent/100
	fmt.Printf("demo: sent=%d answered=%d refused=%d lost=%d found=%d doubled=%d misrouted=%d billed=%d ok=%t\n", sent, answeredCount, refusedCount, lostCount, unansweredRuns, duplicates, misroutedCount, billed, ok)
	if !ok {
		return errViolations
	}
	return nil
}

// table prints the number of requests and their latencies by kind of request.
func (d *demo) table() {
	latencies := map[string][]time.Duration{}
	for _, r := range d.results {
		kind := r.request.Team + " " + r.request.Task
		if r.request.Kind != traffic.Chat {
			kind = r.request.Team + " " + r.request.Service + "/" + r.request.Call
		}
		latencies[kind] = append(latencies[kind], r.took)
	}
	var kinds []string
	for kind := range latencies {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	fmt.Printf("\n%-32s %6s %9s %9s\n", "REQUESTS", "SENT", "P50 MS", "P95 MS")
	for _, kind := range kinds {
		durations := latencies[kind]
		sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
		fmt.Printf("%-32s %6d %9.1f %9.1f\n", kind, len(durations), ms(durations[len(durations)/2]), ms(durations[len(durations)*95/100]))
	}
	fmt.Println()
}

// ms converts a duration to milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// upCommand starts the system and keeps it running until it is interrupted.
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
	for _, backend := range s.backends {
		fmt.Printf("%s  %s  http://%s\n", backend.ID, backend.Kind, backend.Addr)
	}
	fmt.Printf("platform  key-value http://%s  list http://%s  rating http://%s\n\n", s.platform["kv"], s.platform["list"], s.platform["rating"])
	fmt.Printf("try:\n  curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"auto\",\"messages\":[{\"role\":\"user\",\"content\":\"<1> hello\"}]}'\n", s.instances[0].url, traffic.APIKey("inverness-loc"))
	fmt.Printf("  FIELDVALE_ADMIN=%s FIELDVALE_KEY=%s %s/fieldvale status\n\nstop with ctrl-C; logs in %s\n", s.instances[0].admin, platformKey, c.Bin, s.dir)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	return s.stop()
}
