// Fieldvale is the command-line client with which operators manage policies,
// roll-outs and the system. See usage for its exit codes.
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

// Exit codes of every command; usage documents them.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
)

// globalOptions holds the options that every command accepts.
var globalOptions struct {
	Admin string `long:"admin" env:"FIELDVALE_ADMIN" value-name:"URL" description:"administration API of any instance"`
	Key   string `long:"key" env:"FIELDVALE_KEY" description:"administration key"`
	CA    string `long:"ca" env:"FIELDVALE_CA" value-name:"FILE" description:"certificates to trust"`
	Team  string `long:"team" env:"FIELDVALE_TEAM" description:"team to act for"`
	JSON  bool   `long:"json" description:"print JSON for scripts"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the arguments, executes the command that they name and returns
// the exit code.
func run(args []string) int {
	p := flags.NewNamedParser("fieldvale", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = usage
	if _, err := p.AddGroup("Global options", "", &globalOptions); err != nil {
		return printError(err)
	}
	if err := addCommands(p); err != nil {
		return printError(err)
	}
	if _, err := p.ParseArgs(helpFlagLast(args)); err != nil {
		return printError(err)
	}
	return exitOK
}

// helpFlagLast turns "help COMMAND" into "COMMAND --help".
func helpFlagLast(args []string) []string {
	if len(args) > 0 && args[0] == "help" {
		return append(append([]string{}, args[1:]...), "--help")
	}
	return args
}

// command describes one subcommand. Its commander holds the subcommand's
// options and implements flags.Commander.
type command struct {
	name      string
	short     string
	long      string
	commander any
}

// addCommands registers all commands with the parser.
func addCommands(p *flags.Parser) error {
	policy, err := p.AddCommand("policy", "write, test and accept policies", "", &struct{}{})
	if err != nil {
		return err
	}
	if err := addSubcommands(policy, policyCommands()); err != nil {
		return err
	}
	rollout, err := p.AddCommand("rollout", "move a model's new sessions to another version", "", &struct{}{})
	if err != nil {
		return err
	}
	if err := addSubcommands(rollout, rolloutCommands()); err != nil {
		return err
	}
	return addSubcommands(p.Command, systemCommands())
}

// addSubcommands registers commands below p.
func addSubcommands(p *flags.Command, commands []command) error {
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.commander); err != nil {
			return err
		}
	}
	return nil
}

// errRefused is the cause of the error that a command returns after it has
// printed why it refuses its input.
var errRefused = errors.New("refused")

// printError prints the error and returns the exit code for it: help goes to
// standard output with exitOK, everything else to standard error. Connect's
// code Aborted reports a conflict with another operator's change.
func printError(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Println(flagError.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, flagError.Message)
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

// callTimeout bounds one call to the administration API.
const callTimeout = 30 * time.Second

// newAdminClient returns a client of the administration API and a context, with
// its cancel function, for one call.
func newAdminClient() (fieldvalev1connect.AdminClient, context.Context, context.CancelFunc, error) {
	if globalOptions.Admin == "" || globalOptions.Key == "" {
		return nil, nil, nil, errors.New("give --admin and --key, or set FIELDVALE_ADMIN and FIELDVALE_KEY")
	}
	client, err := rpc.NewAdminClient(globalOptions.Admin, globalOptions.Key, globalOptions.CA)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	return client, ctx, cancel, nil
}

// requireTeam returns an error if the operator set no team.
func requireTeam() error {
	if globalOptions.Team == "" {
		return errors.New("give --team or set FIELDVALE_TEAM")
	}
	return nil
}

// printResult prints v as JSON if the option --json is set; otherwise it calls
// printText.
func printResult(v any, printText func()) error {
	if !globalOptions.JSON {
		printText()
		return nil
	}
	encoded, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(encoded))
	return nil
}
