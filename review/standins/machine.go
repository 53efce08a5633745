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

// firstPort, blockPorts and blockCount are a range of ports that the system doesn't give to outgoing
// connections, so that the address of a machine whose process is down stays free. A run takes a block of them.
const firstPort, blockPorts, blockCount = 20000, 64, 180

// ports is the block of this run.
var ports struct {
	// next is the next port to hand out, end that after the last one.
	next, end int
	// lock holds the first port of the block, so that no other run takes it.
	lock net.Listener
}

// takeBlock takes a block that no other run has.
func takeBlock() error {
	for range 10 * blockCount {
		p := firstPort + blockPorts*rand.Intn(blockCount)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err == nil {
			ports.lock, ports.next, ports.end = l, p+1, p+blockPorts
			return nil
		}
	}
	return fmt.Errorf("no free block of ports")
}

// freeAddr returns a loopback address that is free for TCP and UDP.
func freeAddr() (string, error) {
	if ports.lock == nil {
		if err := takeBlock(); err != nil {
			return "", err
		}
	}
	for ports.next < ports.end {
		a := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
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
