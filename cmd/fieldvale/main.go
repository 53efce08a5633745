// Fieldvale is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"fieldvale/adapter/rpc"
	"fieldvale/gen/fieldvale/v1/fieldvalev1connect"
)

const usage = `fieldvale is the operators' command line. It writes, tests and accepts policies,
drives roll-outs and withdrawals, and shows the state of the system.

Commands that talk to the system need the address of the administration API of
any one instance and a key:

    --admin or FIELDVALE_ADMIN   such as https://10.0.0.5:7443
    --key   or FIELDVALE_KEY     the administration key
    --team  or FIELDVALE_TEAM    the team to act for

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 conflict with another
operator's change, 4 the system or its store can't be reached now; the same
command may be repeated.`

// Exit codes.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
)

// global holds the options of all commands.
var global struct {
	Admin string `long:"admin" env:"FIELDVALE_ADMIN" value-name:"URL" description:"administration API of any instance"`
	Key   string `long:"key" env:"FIELDVALE_KEY" description:"administration key"`
	CA    string `long:"ca" env:"FIELDVALE_CA" value-name:"FILE" description:"certificates to trust"`
	Team  string `long:"team" env:"FIELDVALE_TEAM" description:"team to act for"`
	JSON  bool   `long:"json" description:"print JSON for scripts"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	p := flags.NewNamedParser("fieldvale", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = usage
	if _, err := p.AddGroup("Global options", "", &global); err != nil {
		return fail(err)
	}
	if err := addCommands(p); err != nil {
		return fail(err)
	}
	if _, err := p.ParseArgs(helpFirst(args)); err != nil {
		return fail(err)
	}
	return exitOK
}

// helpFirst turns "help COMMAND" into "COMMAND --help".
func helpFirst(args []string) []string {
	if len(args) > 0 && args[0] == "help" {
		return append(append([]string{}, args[1:]...), "--help")
	}
	return args
}

// command is one subcommand as it is added to the parser.
type command struct {
	name  string
	short string
	long  string
	data  any
}

func addCommands(p *flags.Parser) error {
	c, err := p.AddCommand("policy", "write, test and accept policies", "", &struct{}{})
	if err != nil {
		return err
	}
	if err := addAll(c, policyCommands()); err != nil {
		return err
	}
	r, err := p.AddCommand("rollout", "move a model's new sessions to another version", "", &struct{}{})
	if err != nil {
		return err
	}
	if err := addAll(r, rolloutCommands()); err != nil {
		return err
	}
	return addAll(p.Command, systemCommands())
}

func addAll(p *flags.Command, l []command) error {
	for _, c := range l {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return nil
}

// errRefused marks a refusal that was explained on the output already.
var errRefused = errors.New("refused")

// fail prints the error and returns its exit code.
func fail(err error) int {
	var f *flags.Error
	if errors.As(err, &f) {
		if f.Type == flags.ErrHelp {
			fmt.Println(f.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, f.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "fieldvale:", err)
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUnavailable
	}
	return exitRefused
}

// callTimeout bounds one command's call.
const callTimeout = 30 * time.Second

// admin returns the client and a context for one call.
func admin() (fieldvalev1connect.AdminClient, context.Context, context.CancelFunc, error) {
	if global.Admin == "" || global.Key == "" {
		return nil, nil, nil, errors.New("give --admin and --key, or set FIELDVALE_ADMIN and FIELDVALE_KEY")
	}
	c, err := rpc.NewAdmin(global.Admin, global.Key, global.CA)
	if err != nil {
		return nil, nil, nil, err
	}
	x, cancel := context.WithTimeout(context.Background(), callTimeout)
	return c, x, cancel, nil
}

func needTeam() error {
	if global.Team == "" {
		return errors.New("give --team or set FIELDVALE_TEAM")
	}
	return nil
}

// show prints v as JSON if that was asked for, else calls text.
func show(v any, text func()) error {
	if !global.JSON {
		text()
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	return nil
}
