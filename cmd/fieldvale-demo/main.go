// Fieldvale-demo starts a small system of processes on loopback. It checks the
// system's guarantees under injected faults, or leaves the system running for
// manual tests.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"
)

const usage = `fieldvale-demo starts 3 entries and 3 controls in three data centres, with
stand-ins of the platform and of backend servers, all on loopback.

    run   send requests of both workloads, kill an instance midway, roll a
          version out and withdraw one, and check the outcome of each request
          at the client and at the stand-ins
    up    leave the system running until it is interrupted`

// options are the options of both subcommands.
type options struct {
	Bin      string `long:"bin" default:"bin" description:"directory of the built programs"`
	Examples string `long:"examples" default:"examples" description:"directory of the example policies"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of the requests"`
	Requests int    `long:"requests" default:"360" description:"requests to send"`
}

func main() {
	parser := flags.NewNamedParser("fieldvale-demo", flags.Default)
	parser.LongDescription = usage
	for _, c := range []struct {
		name, short string
		commander   any
	}{
		{"run", "send requests and check the guarantees", &runCommand{}},
		{"up", "leave the system running", &upCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, "", c.commander); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}
