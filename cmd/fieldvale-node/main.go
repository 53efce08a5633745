// Fieldvale-node is fieldvale on the users' platform: one process an
// instance. See usage for how to run it.
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
)

const usage = `fieldvale-node answers requests on the users' platform.

It routes by the configuration in the platform's store, keeps to the bounds
of its settings, and says when it is ready. It keeps nothing.

SIGTERM or SIGINT stops it in order: it is no longer ready, goes on taking
requests until the platform has noticed, answers all that run, and exits
with 0. SIGHUP reads the settings file again.

The settings file is INI; examples/node.ini has every key with a comment.
Its path is given by -c or by FIELDVALE_SETTINGS.`

const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	Config string `short:"c" long:"config" value-name:"FILE" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings, list every fault, and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	p := flags.NewNamedParser("fieldvale-node", flags.Default)
	p.LongDescription = usage
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		return exitFailed
	}
	if _, err := p.Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return exitOK
		}
		return exitSettings
	}
	if o.Config == "" {
		o.Config = settings.NodeFile()
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
