package process

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
)

// Exit codes of the processes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Logger is what a process logs to.
type Logger = log.Interface

// Runner is a process that runs until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// Maker puts a process together.
type Maker func(l Logger) Runner

type options struct {
	Config string `short:"c" long:"config" required:"true" value-name:"FILE" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings, list every fault, and exit"`
}

// Main reads the command line and settings of a process and runs it until
// SIGTERM or SIGINT. It returns the exit code: 2 for faults of the command
// line or the settings, 1 for a failure while it ran.
func Main[S any](name, usage string, load func(string) (S, []error), plan func(S) (id, level string, m Maker)) int {
	var o options
	p := flags.NewNamedParser(name, flags.Default)
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
	s, e := load(o.Config)
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
	return run(name, s, plan)
}

func run[S any](name string, s S, plan func(S) (id, level string, m Maker)) int {
	id, level, m := plan(s)
	l, err := logging.New(os.Stderr, level, log.Fields{"process": name, "instance": id})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	x, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := m(l).Run(x); err != nil {
		l.WithError(err).Error("failed")
		return exitFailed
	}
	return exitOK
}
