// Fieldvale-node routes requests to backend servers on the users' platform. Each process
// is one instance of the fleet. See description for how to run it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"fieldvale/adapter/logging"
	"fieldvale/adapter/settings"
	"fieldvale/platform"
)

const description = `fieldvale-node answers requests on the users' platform.

It routes by the configuration in the platform's store, enforces the limits
in its settings, and reports whether it is ready. It stores no data of its own.

SIGTERM or SIGINT shuts it down gracefully: it stops being ready, accepts
requests until the platform has noticed, finishes those in progress, and exits
with 0. SIGHUP reads the settings file again.

The settings file is INI; examples/node.ini has every key with a comment.
Its path is given by -c or by FIELDVALE_SETTINGS.`

// Exit codes: exitFailed is for a failure at run time, exitSettings for an invalid command
// line or invalid settings.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// options are the command-line options.
type options struct {
	Config string `short:"c" long:"config" value-name:"FILE" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings, list every fault, and exit"`
}

func main() { os.Exit(run()) }

// run reads the command line and the settings, serves, and returns the exit code.
func run() int {
	o, err := parseOptions()
	if err != nil {
		return exitCode(err)
	}
	s, e := settings.LoadNode(o.Config)
	for _, err := range e {
		fmt.Fprintln(os.Stderr, err)
	}
	if len(e) > 0 {
		return exitSettings
	}
	if o.Check {
		fmt.Println("settings are sound")
		return exitOK
	}
	return serve(s, o.Config)
}

// errParser marks an error in the definition of the options, as opposed to an error in the
// user's command line.
var errParser = errors.New("invalid definition of the command-line options")

// parseOptions reads the command line. The parser has already printed the error that it
// returns.
func parseOptions() (options, error) {
	var o options
	p := flags.NewNamedParser("fieldvale-node", flags.Default)
	p.LongDescription = description
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		return o, errors.Mark(err, errParser)
	}
	if _, err := p.Parse(); err != nil {
		return o, err
	}
	if o.Config == "" {
		o.Config = os.Getenv(platform.SettingsEnv)
	}
	return o, nil
}

// exitCode returns the exit code for an error of parseOptions; a request for help is not a
// failure.
func exitCode(err error) int {
	var f *flags.Error
	switch {
	case errors.Is(err, errParser):
		return exitFailed
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		return exitOK
	}
	return exitSettings
}

// serve runs the instance until SIGTERM or SIGINT, and returns the exit code.
func serve(s settings.Node, path string) int {
	w := logging.NewBoundedWriter(os.Stdout)
	defer w.Close()
	l, err := logging.New(w, s.Level, log.Fields{"instance": s.ID})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := newNode(s, path, l).run(ctx, hup); err != nil {
		l.WithError(err).Error("failed")
		return exitFailed
	}
	return exitOK
}
