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
	// fleetKey is the prefix of the fleet's key. Each run has its own key: a
	// concurrent run may reuse the ports of another run's killed instances. With a
	// shared key, one run of 240 joined another run's fleet and adopted its
	// configuration.
	fleetKey      = "demo-fleet-key-"
	platformKey   = "demo-platform-key"
	instanceCount = 3
	// readyTimeout bounds the wait until the system is ready.
	readyTimeout = 20 * time.Second
	// stopTimeout bounds the wait for the graceful stop of a process.
	stopTimeout = 20 * time.Second
	// listenTimeout bounds the wait for an instance's listeners.
	listenTimeout = 5 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// instance is an entry process and its control process.
type instance struct {
	id      string
	entry   *exec.Cmd
	control *exec.Cmd
	url     string
	admin   string
	metrics string
	stopped bool
}

// system holds all processes of the demo and their addresses.
type system struct {
	opts      options
	dir       string
	platform  map[string]string
	backends  []list.Instance
	instances []*instance
	procs     []*exec.Cmd
	// keepLogs keeps the processes' logs and settings after the demo ends.
	keepLogs bool
}

// start starts all processes in a new temporary directory.
func start(opts options) (*system, error) {
	dir, err := os.MkdirTemp("", "fieldvale-demo")
	if err != nil {
		return nil, err
	}
	s := &system{opts: opts, dir: dir}
	if err := s.startAll(); err != nil {
		s.kill()
		return nil, err
	}
	return s, nil
}

// startAll starts the stand-ins and the instances, and registers all of them.
func (s *system) startAll() error {
	if err := s.startStandin(&s.platform, "platform"); err != nil {
		return err
	}
	if err := s.startStandin(&s.backends, "backends"); err != nil {
		return err
	}
	for n := range instanceCount {
		if err := s.startInstance(n); err != nil {
			return err
		}
	}
	return s.publish()
}

// startStandin starts a stand-in and decodes the addresses that it prints into out.
func (s *system) startStandin(out any, name string) error {
	cmd := exec.Command(filepath.Join(s.opts.Bin, "fieldvale-standin"), name)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.startProcess(cmd); err != nil {
		return err
	}
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	if err != nil {
		return errors.Wrapf(err, "read the addresses of stand-in %s", name)
	}
	return json.Unmarshal(line, out)
}

// startProcess starts a command and records it, so that kill ends it.
func (s *system) startProcess(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", cmd.Path)
	}
	s.procs = append(s.procs, cmd)
	return nil
}

// maxStartAttempts bounds the attempts to start one instance: another process may
// take a free port before the instance listens on it.
const maxStartAttempts = 5

// startInstance starts the instance with index n.
func (s *system) startInstance(n int) error {
	var err error
	for range maxStartAttempts {
		var started *instance
		if started, err = s.tryStartInstance(n); err == nil {
			s.instances = append(s.instances, started)
			return nil
		}
	}
	return err
}

// awaitListening waits until both processes of the instance serve. On a timeout it
// kills them and returns an error.
func (i *instance) awaitListening() error {
	deadline := time.Now().Add(listenTimeout)
	for time.Now().Before(deadline) {
		if get(i.url+"/healthz", nil) == nil && get("http://"+i.metrics+"/healthz", nil) == nil {
			return nil
		}
		time.Sleep(pollInterval)
	}
	_ = i.entry.Process.Kill()
	_ = i.control.Process.Kill()
	return errors.Newf("%s does not listen within the time limit", i.id)
}

// tryStartInstance makes one attempt to start the instance with index n on free
// ports.
func (s *system) tryStartInstance(n int) (*instance, error) {
	var addrs [6]string
	for i := range addrs {
		addr, err := serve.FreePort()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	i := &instance{id: fmt.Sprintf("entry-%c1", 'a'+n), url: "http://" + addrs[0], admin: "http://" + addrs[4], metrics: addrs[5]}
	dc := fmt.Sprintf("dc-%c", 'a'+n)
	entry := fmt.Sprintf("[entry]\nid = %s\ndata_centre = %s\nlisten = %s\nmetrics_listen = %s\ncontrol = %s\nfleet_key = %s\ndrain = 500ms\n\n[platform]\nrating = %s\n",
		i.id, dc, addrs[0], addrs[1], addrs[2], s.fleetKey(), s.platform["rating"])
	control := fmt.Sprintf("[control]\nid = %s\ndata_centre = %s\npeer_listen = %s\npeer_addr = %s\nlocal_listen = %s\nadmin_listen = %s\nmetrics_listen = %s\nfleet_key = %s\n\n[platform]\nstore = %s\nlist = %s\n\n[admin platform]\nrole = platform\nkey_sha256 = %s\n\n[times]\nflush = 2s\norphan = 6s\nload = 300ms\n",
		i.id, dc, addrs[3], addrs[3], addrs[2], addrs[4], addrs[5], s.fleetKey(), s.platform["kv"], s.platform["list"], catalog.HashKey(platformKey))
	var err error
	if i.control, err = s.startProgram("fieldvale-control", i.id, control); err != nil {
		return nil, err
	}
	if i.entry, err = s.startProgram("fieldvale-entry", i.id, entry); err != nil {
		return nil, err
	}
	if err := i.awaitListening(); err != nil {
		return nil, err
	}
	s.backends = append(s.backends, list.Instance{ID: i.id, Addr: addrs[3], DataCentre: dc, Kind: "fieldvale"})
	return i, nil
}

// fleetKey returns this run's key, which ends with the name of its directory.
func (s *system) fleetKey() string { return fleetKey + filepath.Base(s.dir) }

// startProgram starts one of fieldvale's programs. It writes the settings to a
// file, and the program logs to a file beside it.
func (s *system) startProgram(name, id, settings string) (*exec.Cmd, error) {
	file := filepath.Join(s.dir, name+"-"+id+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, name+"-"+id+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(s.opts.Bin, name), "-c", file)
	cmd.Stderr = log
	return cmd, s.startProcess(cmd)
}

// publish registers the instances and the backend servers on the platform's
// instance list.
func (s *system) publish() error {
	body, err := json.Marshal(map[string]any{"instances": s.backends})
	if err != nil {
		return err
	}
	return post("http://"+s.platform["list"]+"/v1/instances", body, nil)
}

// post sends a JSON body and decodes the response into out.
func post(url string, body []byte, out any) error {
	response, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return decodeResponse(response, out)
}

// get fetches a URL and decodes the response into out.
func get(url string, out any) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	return decodeResponse(response, out)
}

// decodeResponse decodes a JSON response into out, unless out is nil or the body
// is empty. A status other than 200 is an error.
func decodeResponse(response *http.Response, out any) error {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d, want 200", response.Request.URL, response.StatusCode)
	}
	if out == nil || len(body) == 0 {
		return nil
	}
	return json.Unmarshal(body, out)
}

// runFieldvale runs the operators' command line against the first live instance.
func (s *system) runFieldvale(args ...string) error {
	cmd := exec.Command(filepath.Join(s.opts.Bin, "fieldvale"), args...)
	cmd.Env = append(os.Environ(), "FIELDVALE_ADMIN="+s.live()[0].admin, "FIELDVALE_KEY="+platformKey)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	fmt.Println("$ fieldvale", args)
	return errors.Wrapf(cmd.Run(), "fieldvale %v", args)
}

// live returns the instances that were neither killed nor stopped.
func (s *system) live() []*instance {
	var live []*instance
	for _, i := range s.instances {
		if !i.stopped {
			live = append(live, i)
		}
	}
	return live
}

// acceptAll puts the example policies in force. It repeats "policy accept", which
// is idempotent, until the instances can reach each other.
func (s *system) acceptAll() error {
	deadline := time.Now().Add(readyTimeout)
	for _, team := range []string{"shared-memory", "maizes-tilts"} {
		dir := filepath.Join(s.dir, team)
		if err := os.CopyFS(dir, os.DirFS(filepath.Join(s.opts.Examples, team))); err != nil {
			return err
		}
		for {
			err := s.runFieldvale("policy", "accept", dir, "--why", "first policy")
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return err
			}
			time.Sleep(10 * pollInterval)
		}
	}
	return s.awaitReady(deadline)
}

// awaitReady waits until all instances report that they are ready.
func (s *system) awaitReady(deadline time.Time) error {
	for _, i := range s.instances {
		for get(i.url+"/readyz", nil) != nil {
			if time.Now().After(deadline) {
				return errors.Newf("%s is not ready within the time limit", i.id)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// killInstance kills an entry and its control without a graceful stop.
func (s *system) killInstance(n int) {
	i := s.instances[n]
	i.stopped = true
	_ = i.entry.Process.Kill()
	_ = i.control.Process.Kill()
	_ = i.entry.Wait()
	_ = i.control.Wait()
}

// pauseEntry suspends an entry for the time d, as happens on a faulty or
// overloaded machine.
func (s *system) pauseEntry(n int, d time.Duration) {
	process := s.instances[n].entry.Process
	_ = process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { _ = process.Signal(syscall.SIGCONT) })
}

// injectStoreOutage makes the platform's store refuse all requests for the time d.
func (s *system) injectStoreOutage(d time.Duration) error {
	url := "http://" + s.platform["kv"] + "/standin/fault"
	time.AfterFunc(d, func() { _ = get(url, nil) })
	return get(url+"?down=true", nil)
}

// stop stops the live instances gracefully and returns the errors of processes
// that were killed on a timeout or exited with a failure.
func (s *system) stop() error {
	var cmds []*exec.Cmd
	for _, i := range s.live() {
		i.stopped = true
		cmds = append(cmds, i.entry, i.control)
	}
	for _, cmd := range cmds {
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	var err error
	for _, cmd := range cmds {
		err = errors.CombineErrors(err, awaitExit(cmd))
	}
	return err
}

// awaitExit waits for a process to exit and kills it after stopTimeout.
func awaitExit(cmd *exec.Cmd) error {
	timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	return errors.Wrapf(cmd.Wait(), "stop %s", filepath.Base(cmd.Path))
}

// kill kills all remaining processes and deletes their directory unless keepLogs
// is set.
func (s *system) kill() {
	for _, cmd := range s.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if s.keepLogs {
		fmt.Println("demo: the logs of all processes are kept in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}
