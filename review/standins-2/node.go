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

// node is one machine of the deployment with its process of the deploy file's role.
type node struct {
	id, zone                     string
	front, ready, metrics, peers string
	program, dir, store          string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// Ports below the range that the system gives to outgoing connections, so that an address stays free while its
// process is down. Each run takes a block of them.
const (
	firstPort  = 12000
	blockPorts = 128
	blocks     = 140
)

// ports is the block of this run: the next port to hand out, and the listener at the block's first port that keeps
// other runs from taking it.
var ports struct {
	next, end int
	lock      net.Listener
}

// takeBlock takes a block that no other run has.
func takeBlock() error {
	for range 10 * blocks {
		p := firstPort + blockPorts*rand.Intn(blocks)
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
	for ; ports.next < ports.end; ports.next++ {
		a := fmt.Sprintf("127.0.0.1:%d", ports.next)
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
		ports.next++
		return a, nil
	}
	return "", fmt.Errorf("no free port")
}

// settings is deploy/node.ini as the platform fills it for the Shared Memory's small deployment, which leaves the
// fields empty that its settings don't have.
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
memory_mb = %d
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

// memoryMB is the memory of a machine on the sheet.
const memoryMB = 284

// addNode adds a machine; its process is not started yet.
func (e *env) addNode(id, zone string) (*node, error) {
	n := &node{id: id, zone: zone, program: e.program, dir: e.dir, store: e.store.addr}
	for _, a := range []*string{&n.front, &n.ready, &n.metrics, &n.peers} {
		var err error
		if *a, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	e.nodes = append(e.nodes, n)
	return n, nil
}

// start starts the process. first is set at the first start of the whole system.
func (n *node) start(first bool) error {
	p := filepath.Join(n.dir, n.id+".ini")
	t := fmt.Sprintf(settings, n.id, n.zone, n.front, n.ready, n.metrics, n.peers, n.store, first, memoryMB)
	if err := os.WriteFile(p, []byte(t), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(n.program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIELDVALE_SETTINGS=" + p}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = c, ended
	n.mu.Unlock()
	go func() {
		c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	c, ended := n.cmd, n.ended
	n.cmd = nil
	n.mu.Unlock()
	if c == nil {
		return
	}
	c.Process.Signal(syscall.SIGKILL)
	<-ended
}

// pid returns the process id; 0 if none runs.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// isReady asks the process whether it takes new connections, as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + n.ready + "/-/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startAll starts all machines and waits until each is ready and registered.
func (e *env) startAll() error {
	for _, n := range e.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	ok := eventually(15*time.Second, func() bool {
		for _, n := range e.nodes {
			if !n.isReady() || !e.store.has("fieldvale/instance/"+n.id) {
				return false
			}
		}
		return true
	})
	if !ok {
		return fmt.Errorf("the machines are not ready after 15 s")
	}
	return nil
}
