package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/catalog"
	"fieldvale/standin/list"
	"fieldvale/standin/serve"
)

const (
	// fleetKey begins the fleet's key. Each run has its own: runs beside each
	// other take ports that others' killed instances had, and one of 240 joined
	// another's fleet and took its configuration.
	fleetKey    = "demo-fleet-key-"
	platformKey = "demo-platform-key"
	instances   = 3
	// startWithin bounds the wait for the system to be ready.
	startWithin = 20 * time.Second
	// stopWithin bounds the wait for a process to stop in order.
	stopWithin = 20 * time.Second
	// listenWithin bounds the wait for an instance's listeners.
	listenWithin = 5 * time.Second
	pollEvery    = 50 * time.Millisecond
)

// instance is one entry with its control.
type instance struct {
	id      string
	entry   *exec.Cmd
	control *exec.Cmd
	url     string
	admin   string
	metrics string
	dead    bool
}

// system is all processes of the demo.
type system struct {
	o         options
	dir       string
	platform  map[string]string
	backends  []list.Instance
	instances []*instance
	procs     []*exec.Cmd
	// keepLogs leaves the processes' logs and settings behind.
	keepLogs bool
}

// start builds the settings and starts everything.
func start(o options) (*system, error) {
	d, err := os.MkdirTemp("", "fieldvale-demo")
	if err != nil {
		return nil, err
	}
	s := &system{o: o, dir: d}
	if err := s.startAll(); err != nil {
		s.kill()
		return nil, err
	}
	return s, nil
}

func (s *system) startAll() error {
	if err := s.announced(&s.platform, "platform"); err != nil {
		return err
	}
	if err := s.announced(&s.backends, "backends"); err != nil {
		return err
	}
	for n := range instances {
		if err := s.startInstance(n); err != nil {
			return err
		}
	}
	return s.publish()
}

// announced starts a stand-in and reads the addresses that it prints.
func (s *system) announced(v any, name string) error {
	c := exec.Command(filepath.Join(s.o.Bin, "fieldvale-standin"), name)
	c.Stderr = os.Stderr
	p, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.launch(c); err != nil {
		return err
	}
	b, err := bufio.NewReader(p).ReadBytes('\n')
	if err != nil {
		return errors.Wrapf(err, "stand-in %s", name)
	}
	return json.Unmarshal(b, v)
}

func (s *system) launch(c *exec.Cmd) error {
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %s", c.Path)
	}
	s.procs = append(s.procs, c)
	return nil
}

// startTries bounds the starts of one instance: a port that was free may be
// taken by the time it is used.
const startTries = 5

func (s *system) startInstance(n int) error {
	var err error
	for range startTries {
		var i *instance
		if i, err = s.tryInstance(n); err == nil {
			s.instances = append(s.instances, i)
			return nil
		}
	}
	return err
}

// listening waits until both processes of the instance serve.
func (i *instance) listening() error {
	d := time.Now().Add(listenWithin)
	for time.Now().Before(d) {
		if get(i.url+"/healthz", nil) == nil && get("http://"+i.metrics+"/healthz", nil) == nil {
			return nil
		}
		time.Sleep(pollEvery)
	}
	_ = i.entry.Process.Kill()
	_ = i.control.Process.Kill()
	return errors.Newf("%s does not listen", i.id)
}

func (s *system) tryInstance(n int) (*instance, error) {
	var a [6]string
	for i := range a {
		p, err := serve.FreePort()
		if err != nil {
			return nil, err
		}
		a[i] = p
	}
	i := &instance{id: fmt.Sprintf("entry-%c1", 'a'+n), url: "http://" + a[0], admin: "http://" + a[4], metrics: a[5]}
	dc := fmt.Sprintf("dc-%c", 'a'+n)
	entry := fmt.Sprintf("[entry]\nid = %s\ndata_centre = %s\nlisten = %s\nmetrics_listen = %s\ncontrol = %s\nfleet_key = %s\ndrain = 500ms\n\n[platform]\nrating = %s\n",
		i.id, dc, a[0], a[1], a[2], s.fleetKey(), s.platform["rating"])
	control := fmt.Sprintf("[control]\nid = %s\ndata_centre = %s\npeer_listen = %s\npeer_addr = %s\nlocal_listen = %s\nadmin_listen = %s\nmetrics_listen = %s\nfleet_key = %s\n\n[platform]\nstore = %s\nlist = %s\n\n[admin platform]\nrole = platform\nkey_sha256 = %s\n\n[times]\nflush = 2s\norphan = 6s\nload = 300ms\n",
		i.id, dc, a[3], a[3], a[2], a[4], a[5], s.fleetKey(), s.platform["kv"], s.platform["list"], catalog.HashKey(platformKey))
	var err error
	if i.control, err = s.process("fieldvale-control", i.id, control); err != nil {
		return nil, err
	}
	if i.entry, err = s.process("fieldvale-entry", i.id, entry); err != nil {
		return nil, err
	}
	if err := i.listening(); err != nil {
		return nil, err
	}
	s.backends = append(s.backends, list.Instance{ID: i.id, Addr: a[3], DataCentre: dc, Kind: "fieldvale"})
	return i, nil
}

func (s *system) fleetKey() string { return fleetKey + filepath.Base(s.dir) }

// process starts one of fieldvale's own with its settings and log in files.
func (s *system) process(name, id, text string) (*exec.Cmd, error) {
	f := filepath.Join(s.dir, name+"-"+id+".ini")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		return nil, err
	}
	l, err := os.Create(filepath.Join(s.dir, name+"-"+id+".log"))
	if err != nil {
		return nil, err
	}
	c := exec.Command(filepath.Join(s.o.Bin, name), "-c", f)
	c.Stderr = l
	return c, s.launch(c)
}

// publish puts the instances on the platform's list.
func (s *system) publish() error {
	b, err := json.Marshal(map[string]any{"instances": s.backends})
	if err != nil {
		return err
	}
	return post("http://"+s.platform["list"]+"/v1/instances", b, nil)
}

func post(url string, b []byte, out any) error {
	p, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	return read(p, out)
}

func get(url string, out any) error {
	p, err := http.Get(url)
	if err != nil {
		return err
	}
	return read(p, out)
}

func read(p *http.Response, out any) error {
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return err
	}
	if p.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", p.Request.URL, p.StatusCode)
	}
	if out == nil || len(b) == 0 {
		return nil
	}
	return json.Unmarshal(b, out)
}

// operator runs the operators' command line against the first living instance.
func (s *system) operator(args ...string) error {
	c := exec.Command(filepath.Join(s.o.Bin, "fieldvale"), args...)
	c.Env = append(os.Environ(), "FIELDVALE_ADMIN="+s.living()[0].admin, "FIELDVALE_KEY="+platformKey)
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	fmt.Println("$ fieldvale", args)
	return errors.Wrapf(c.Run(), "fieldvale %v", args)
}

func (s *system) living() []*instance {
	var r []*instance
	for _, i := range s.instances {
		if !i.dead {
			r = append(r, i)
		}
	}
	return r
}

// acceptAll puts the example policies in force. Accept is repeated until the
// instances can reach each other: that is safe.
func (s *system) acceptAll() error {
	d := time.Now().Add(startWithin)
	for _, t := range []string{"shared-memory", "maizes-tilts"} {
		p := filepath.Join(s.dir, t)
		if err := os.CopyFS(p, os.DirFS(filepath.Join(s.o.Examples, t))); err != nil {
			return err
		}
		for {
			err := s.operator("policy", "accept", p, "--why", "first policy")
			if err == nil {
				break
			}
			if time.Now().After(d) {
				return err
			}
			time.Sleep(10 * pollEvery)
		}
	}
	return s.awaitReady(d)
}

func (s *system) awaitReady(d time.Time) error {
	for _, i := range s.instances {
		for get(i.url+"/readyz", nil) != nil {
			if time.Now().After(d) {
				return errors.Newf("%s is not ready in time", i.id)
			}
			time.Sleep(pollEvery)
		}
	}
	return nil
}

// killInstance ends an entry and its control with no warning.
func (s *system) killInstance(n int) {
	i := s.instances[n]
	i.dead = true
	_ = i.entry.Process.Kill()
	_ = i.control.Process.Kill()
	_ = i.entry.Wait()
	_ = i.control.Wait()
}

// pauseEntry freezes an entry for a while, as a machine in trouble would.
func (s *system) pauseEntry(n int, d time.Duration) {
	p := s.instances[n].entry.Process
	_ = p.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { _ = p.Signal(syscall.SIGCONT) })
}

// breakStore has the platform's store refuse everything for a while.
func (s *system) breakStore(d time.Duration) error {
	u := "http://" + s.platform["kv"] + "/standin/fault"
	time.AfterFunc(d, func() { _ = get(u, nil) })
	return get(u+"?down=true", nil)
}

// stop ends the living instances in order and reports one that did not.
func (s *system) stop() error {
	var l []*exec.Cmd
	for _, i := range s.living() {
		i.dead = true
		l = append(l, i.entry, i.control)
	}
	for _, c := range l {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	var err error
	for _, c := range l {
		err = errors.CombineErrors(err, waitFor(c))
	}
	return err
}

func waitFor(c *exec.Cmd) error {
	t := time.AfterFunc(stopWithin, func() { _ = c.Process.Kill() })
	defer t.Stop()
	return errors.Wrapf(c.Wait(), "stop %s", filepath.Base(c.Path))
}

// kill ends all that is left.
func (s *system) kill() {
	for _, c := range s.procs {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if s.keepLogs {
		fmt.Println("demo: the logs of all processes are kept in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}
