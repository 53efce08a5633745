// Fieldvale-soak runs fault soaks by seed. See usage for how to run it.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"fieldvale/platform/soak"
)

const usage = `fieldvale-soak runs instances of fieldvale-node as processes of their own and
injects faults from outside: ways that are slow, reset or silent, processes that
are killed, stopped and paused, a store that refuses or forgets. It checks what
clients and replicas see, prints a line a seed with the failures by cause, and exits with 1 if a promise
was broken; the faults and the end of the log are printed then.`

type options struct {
	Binary     string        `long:"binary" default:"bin/fieldvale-node" description:"the program to soak"`
	Seed       uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds      int           `long:"seeds" default:"1" description:"how many seeds, one after another"`
	For        time.Duration `long:"for" default:"10s" description:"how long faults are injected, a seed"`
	Nodes      int           `long:"nodes" default:"5" description:"instances"`
	Replicas   int           `long:"replicas" default:"4" description:"replicas"`
	Clients    int           `long:"clients" default:"12" description:"clients"`
	Crashing   bool          `long:"crashing" description:"send a request all the while under which replicas end"`
	Limited    bool          `long:"limited" description:"have replicas name limits all the while"`
	Forgetting bool          `long:"forgetting" description:"have the store turn instances away and drop its history all the while"`
	Noticing   bool          `long:"noticing" description:"have replicas say that they leave, or ask for rest, all the while"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	p := flags.NewNamedParser("fieldvale-soak", flags.Default)
	p.LongDescription = usage
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		return 2
	}
	if _, err := p.Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	x, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	defer cancel()
	failed := 0
	for i := range o.Seeds {
		if !once(x, o, o.Seed+uint64(i)) {
			failed++
		}
		if x.Err() != nil {
			break
		}
	}
	fmt.Printf("seeds=%d failed=%d\n", o.Seeds, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

func once(ctx context.Context, o options, seed uint64) bool {
	d, err := os.MkdirTemp("", "fieldvale-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer os.RemoveAll(d)
	b, err := filepath.Abs(o.Binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	r, err := soak.Run(ctx, soak.Settings{Seed: seed, Binary: b, FaultTime: o.For, Nodes: o.Nodes, Replicas: o.Replicas, Clients: o.Clients, CrashingRequest: o.Crashing, Limits: o.Limited, Notices: o.Noticing, StoreOutages: o.Forgetting, Dir: d})
	ok := err == nil && len(r.Violations) == 0
	fmt.Printf("seed=%d ok=%t answered=%d failed=%d after: answered=%d failed=%d faults=%d crashed=%d release=%s\n", seed, ok, r.Answered, r.Failed, r.AnsweredAfterFaults, r.FailedAfterFaults, len(r.Faults), r.CrashedReplicas, r.Release)
	for _, c := range slices.Sorted(maps.Keys(r.Causes)) {
		fmt.Printf("  %6d %s\n", r.Causes[c], c)
	}
	if !ok {
		fmt.Printf("error: %v\nbroken:\n  %s\nfaults:\n  %s\nlog:\n%s\n", err, strings.Join(r.Violations, "\n  "), strings.Join(r.Faults, "\n  "), r.Log)
	}
	return ok
}
