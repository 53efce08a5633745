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

// Logger is the logger of a process.
type Logger = log.Interface

// Runner is a process that runs until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// RunnerFactory returns a process that logs to l.
type RunnerFactory func(l Logger) Runner

// options are the command-line options.
type options struct {
	Config string `short:"c" long:"config" required:"true" value-name:"FILE" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings, list every fault, and exit"`
}

// Main reads the command line and the settings of a process and runs it until SIGTERM or
// SIGINT. load reads the settings file, and configure returns the instance's id, its log
// level and the function that creates the process. Main returns the exit code: 2 for an
// invalid command line or invalid settings, 1 for a failure at run time.
func Main[S any](name, usage string, load func(string) (S, []error), configure func(S) (id, level string, m RunnerFactory)) int {
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
	return run(name, s, configure)
}

// run runs the process until SIGTERM or SIGINT, and returns the exit code.
func run[S any](name string, s S, configure func(S) (id, level string, m RunnerFactory)) int {
	id, level, m := configure(s)
	l, err := logging.New(os.Stderr, level, log.Fields{"process": name, "instance": id})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := m(l).Run(ctx); err != nil {
		l.WithError(err).Error("failed")
		return exitFailed
	}
	return exitOK
}
