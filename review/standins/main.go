// Command standins plays the scripts of the review: it starts processes of the project's own program
// before stand-ins of the platform, the replicas and the clients, and checks what these have seen.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record writes lines to the record of a script.
type record struct {
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, a ...any) {
	t := fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, a...) + "\n"
	r.f.WriteString(t)
	os.Stdout.WriteString(t)
}

// env has what all scripts need.
type env struct {
	*record
	// program is the path of fieldvale-node, dir a temporary folder.
	program, dir string
	trouble      bool
}

var scripts = map[string]func(*env) (broken bool, err error){
	"restart": playRestart,
	"stray":   playStray,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins SCRIPT PROGRAM RECORD")
		return exitFailed
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	e := &env{record: &record{f, time.Now()}, program: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := scripts[os.Args[1]](e)
	switch {
	case err != nil:
		e.printf("the case could not run: %v", err)
		return exitFailed
	case broken:
		e.printf("the rule was broken")
		return exitBroken
	}
	e.printf("the rule held")
	return exitHeld
}

// eventually waits until ok returns true.
func eventually(within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
