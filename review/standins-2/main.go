// Command standins-2 plays the scripts of the second review. It starts processes of the project's own program
// before stand-ins of the platform, the replicas and the clients, and checks what these have seen.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record writes lines to the record of a script. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
}

// note writes a line to the record only.
func (r *record) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, a ...any) {
	r.note(format, a...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// env has what all scripts need.
type env struct {
	*record
	// program is the path of fieldvale-node, dir a temporary folder.
	program, dir string
	trouble      bool
	store        *store
	nodes        []*node
	replicas     []*replica

	runsMu sync.Mutex
	// runs has the replica that began to run each request last, sentTo the machine that it was sent to.
	runs, sentTo map[string]string
}

// markRun records that the replica has begun to run the request.
func (e *env) markRun(id, replica string) {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	e.runs[id] = replica
}

// markSent records that the request is sent to the machine.
func (e *env) markSent(id string, n *node) {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	e.sentTo[id] = n.id
}

// ran reports whether a replica has run the request.
func (e *env) ran(id string) bool {
	e.runsMu.Lock()
	defer e.runsMu.Unlock()
	return e.runs[id] != ""
}

// scripts return whether the rule was broken.
var scripts = map[string]func(*env) (bool, error){
	"crash":  playCrash,
	"leave":  playLeave,
	"bodies": playBodies,
	"thaw":   playThaw,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		return runReplica(os.Args[2])
	}
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 SCRIPT PROGRAM RECORD")
		return exitFailed
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	w := bufio.NewWriter(f)
	defer w.Flush()
	e := &env{record: &record{w: w, start: time.Now()}, program: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", runs: map[string]string{}, sentTo: map[string]string{}}
	defer e.stopAll()
	broken, err := scripts[os.Args[1]](e)
	switch {
	case err != nil:
		e.say("the case could not run: %v", err)
		return exitFailed
	case broken:
		e.say("the rule was broken")
		return exitBroken
	}
	e.say("the rule held")
	return exitHeld
}

// stopAll ends all processes that the script started.
func (e *env) stopAll() {
	for _, n := range e.nodes {
		n.kill()
	}
	for _, r := range e.replicas {
		r.kill()
	}
}

// eventually waits until ok returns true.
func eventually(within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
