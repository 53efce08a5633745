// Fieldvale-soak runs soak tests with injected faults, each reproducible by its
// seed. See usage for how to run it.
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

const usage = `fieldvale-soak runs instances of fieldvale-node as separate processes and
injects faults from outside: connections that are slow, reset or silent,
processes that are killed, stopped and paused, a store that refuses calls or
drops its history. It checks what clients and replicas observe and prints one
line for each seed, with the failures by cause. If a guarantee was violated it
prints the faults and the end of the log, and exits with 1.`

type options struct {
	Binary          string        `long:"binary" default:"bin/fieldvale-node" description:"the program to test"`
	Seed            uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds           int           `long:"seeds" default:"1" description:"number of seeds, run one after another"`
	FaultTime       time.Duration `long:"for" default:"10s" description:"time for which faults are injected in the run of each seed"`
	Nodes           int           `long:"nodes" default:"5" description:"number of instances"`
	Replicas        int           `long:"replicas" default:"4" description:"number of replicas"`
	Clients         int           `long:"clients" default:"12" description:"number of clients"`
	CrashingRequest bool          `long:"crashing" description:"keep sending a request that crashes the replicas that run it"`
	CrashingPart    bool          `long:"crashing-part" description:"keep sending requests with a part of their prompts that crashes the replicas that answer them"`
	Skewed          bool          `long:"skewed" description:"send most requests to one instance, to another one every few seconds"`
	Fragile         bool          `long:"fragile" description:"have replicas take few requests at a time and crash when they reject many"`
	Limits          bool          `long:"limited" description:"have replicas advertise rate limits throughout the run"`
	StoreOutages    bool          `long:"forgetting" description:"have the store refuse instances and drop its history throughout the run"`
	Notices         bool          `long:"noticing" description:"have replicas announce that they drain, or request backoff, throughout the run"`
	Failing         bool          `long:"failing" description:"have replicas fail most requests, and check the retries of all instances"`
	Replacing       bool          `long:"replacing" description:"replace instances that are lost for good, and kill all others meanwhile"`
	Garbled         bool          `long:"garbled" description:"have replicas send bytes that are no answer before some of their answers"`
	Endless         bool          `long:"endless" description:"as garbled, with bytes that never end"`
	Loaded          bool          `long:"loaded" description:"place streams by completion, with slow replicas and clients and one customer that sends more than the others"`
}

func main() { os.Exit(run()) }

// run tests one seed after the other and returns the exit code.
func run() int {
	var opts options
	parser := flags.NewNamedParser("fieldvale-soak", flags.Default)
	parser.LongDescription = usage
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return 2
	}
	if _, err := parser.Parse(); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	defer cancel()
	failed := 0
	for i := range opts.Seeds {
		if !runSeed(ctx, opts, opts.Seed+uint64(i)) {
			failed++
		}
		if ctx.Err() != nil {
			break
		}
	}
	fmt.Printf("seeds=%d failed=%d\n", opts.Seeds, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// runSeed runs the soak test of one seed, prints its result and reports whether
// it passed.
func runSeed(ctx context.Context, opts options, seed uint64) bool {
	dir, err := os.MkdirTemp("", "fieldvale-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer os.RemoveAll(dir)
	binary, err := filepath.Abs(opts.Binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	result, err := soak.Run(ctx, soak.Settings{Seed: seed, Binary: binary, FaultTime: opts.FaultTime, Nodes: opts.Nodes, Replicas: opts.Replicas, Clients: opts.Clients, CrashingRequest: opts.CrashingRequest, CrashingPart: opts.CrashingPart, Skewed: opts.Skewed, Fragile: opts.Fragile, Limits: opts.Limits, Notices: opts.Notices, StoreOutages: opts.StoreOutages, Loaded: opts.Loaded, Replacing: opts.Replacing, Failing: opts.Failing, Garbled: opts.Garbled, Endless: opts.Endless, Dir: dir})
	ok := err == nil && len(result.Violations) == 0
	fmt.Printf("seed=%d ok=%t answered=%d failed=%d after: answered=%d failed=%d faults=%d crashed=%d resumed=%d slow_read=%d release=%s\n", seed, ok, result.Answered, result.Failed, result.AnsweredAfterFaults, result.FailedAfterFaults, len(result.Faults), result.CrashedReplicas, result.Resumed, result.SlowRead, result.Release)
	for _, c := range slices.Sorted(maps.Keys(result.Causes)) {
		fmt.Printf("  %6d %s\n", result.Causes[c], c)
	}
	if !ok {
		fmt.Printf("error: %v\nbroken:\n  %s\nfaults:\n  %s\nlog:\n%s\n", err, strings.Join(result.Violations, "\n  "), strings.Join(result.Faults, "\n  "), result.Log)
	}
	return ok
}
