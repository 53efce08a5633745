// Fieldvale-node is fieldvale on the users' platform: one process an
// instance. See description for how to run it.
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

It routes by the configuration in the platform's store, keeps to the bounds
of its settings, and says when it is ready. It keeps nothing.

SIGTERM or SIGINT stops it in order: it is no longer ready, goes on taking
requests until the platform has noticed, answers all that run, and exits
with 0. SIGHUP reads the settings file again.

The settings file is INI; examples/node.ini has every key with a comment.
Its path is given by -c or by FIELDVALE_SETTINGS.`

// Exit codes: failed while it ran, or by its command line or settings.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// options are what the command line takes.
type options struct {
	Config string `short:"c" long:"config" value-name:"FILE" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings, list every fault, and exit"`
}

func main() { os.Exit(run()) }

// run reads the command line and the settings and returns the exit code.
func run() int {
	o, err := parse()
	if err != nil {
		return exitOf(err)
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

// errParser says that the options' own description is faulty.
var errParser = errors.New("the options can't be described")

// parse reads the command line; the parser has told of its errors.
func parse() (options, error) {
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

// exitOf is the exit code for a command line that was not taken.
func exitOf(err error) int {
	var f *flags.Error
	switch {
	case errors.Is(err, errParser):
		return exitFailed
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		return exitOK
	}
	return exitSettings
}

// serve runs the instance until it is told to stop.
func serve(s settings.Node, path string) int {
	w := logging.NewBounded(os.Stdout)
	defer w.Close()
	l, err := logging.New(w, s.Level, log.Fields{"instance": s.ID})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	x, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	if err := newNode(s, path, l).run(x, hup); err != nil {
		l.WithError(err).Error("failed")
		return exitFailed
	}
	return exitOK
}
