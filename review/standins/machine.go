package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the deployment, on which a process of the deploy file's role runs.
type machine struct {
	id, zone string
	dir      string
	program  string
	view     *view
	// front, ready, metrics and peers are the addresses of the process.
	front, ready, metrics, peers string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// ownEnds counts processes that ended without a signal of this test.
	ownEnds int
	killed  bool
}

// firstPort and portCount are a range of ports that the system doesn't give to outgoing connections, so that
// the address of a machine whose process is down stays free.
const firstPort, portCount = 20000, 12000

// ports are the addresses that were handed out.
var ports = map[string]bool{}

// freeAddr returns a loopback address that is free for TCP and UDP.
func freeAddr() (string, error) {
	for range 1000 {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.Intn(portCount))
		if ports[a] {
			continue
		}
		l, err := net.Listen("tcp", a)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", a)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		ports[a] = true
		return a, nil
	}
	return "", fmt.Errorf("no free port")
}

func newMachine(dir, program, id, zone string, v *view) (*machine, error) {
	m := &machine{id: id, zone: zone, dir: dir, program: program, view: v}
	for _, a := range []*string{&m.front, &m.ready, &m.metrics, &m.peers} {
		var err error
		if *a, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// settings is deploy/node.ini as the platform fills it for the Shared Memory's small deployment.
const settings = `[node]
id = %s
data_centre = %s
listen = %s
ready_listen = %s
metrics_listen = %s
peers_listen = %s
store = %s
first_start = %t
apply_within = 2000ms
stop_within = 8s

[limits]
memory_mb = 284
link_mbps = 1000
answer_buffer_kb = 64

[keys]
honour_for = 5000ms
strict = true

[repeats]
part = 0.9
burst = 54

[releases]
exposed_part = 0.15
exposed_slack = 30

[replicas]
cold_overage =
cold_slack =
drain_for = 2000ms

[regions]
leith-hall = scot-central
gyle-hall = scot-central
livingston-hall = scot-central

[models]
accept_confidence = 60

[placement]
completion_pause = 2s

[cloud]
address =
duties =
usage_window_s =
usage_late_s =
`

// start starts the process. first is set at the first start of the whole system.
func (m *machine) start(first bool) error {
	p := filepath.Join(m.dir, m.id+".ini")
	t := fmt.Sprintf(settings, m.id, m.zone, m.front, m.ready, m.metrics, m.peers, m.view.addr, first)
	if err := os.WriteFile(p, []byte(t), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	c := exec.Command(m.program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIELDVALE_SETTINGS=" + p}
	c.Stdout, c.Stderr = log, log
	// The process ends with this one.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended, m.killed = c, ended, false
	m.mu.Unlock()
	go func() {
		c.Wait()
		log.Close()
		m.mu.Lock()
		if !m.killed {
			m.ownEnds++
		}
		m.mu.Unlock()
		close(ended)
	}()
	return nil
}

// kill ends the process at once.
func (m *machine) kill() {
	m.mu.Lock()
	c, ended := m.cmd, m.ended
	m.killed, m.cmd = true, nil
	m.mu.Unlock()
	if c == nil {
		return
	}
	c.Process.Signal(syscall.SIGKILL)
	<-ended
}

// runs reports whether a process runs on the machine.
func (m *machine) runs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// isReady asks the process whether it takes new connections, as the platform does.
func (m *machine) isReady() bool {
	if !m.runs() {
		return false
	}
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + m.ready + "/-/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
