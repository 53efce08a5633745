// Fieldvale-measure prints the figures on which docs/MEASURES.md and
// docs/CAPACITY.md are based.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"fieldvale/measure"
)

const usage = `fieldvale-measure runs the decision code and baselines on seeded traces, and
measures the cost of the router, and that of the control by the size of the
fleet. It prints one line for each figure and writes plots.

--trials compares variants of a decision by the figures of earlier runs. The file
is CSV with the columns decision, way (the variant), day (the workload) and
figure; the first variant of a decision is its baseline. It prints a table with
means, paired differences and their standard deviation.`

var options struct {
	Seed   uint64   `long:"seed" default:"1" description:"seed of the traces"`
	Item   []string `long:"item" description:"measure only these: cascade, placement, overload, rollout, policy, bills, router, fleet"`
	Sizes  []int    `long:"size" description:"sizes of fleets; 7, 35, 100 and 350 if none"`
	Trials string   `long:"trials" value-name:"FILE" description:"compare the variants of decisions whose runs the file lists, and measure nothing"`
	Plots  string   `long:"plots" value-name:"DIR" description:"directory for the plots; none are written without it"`
}

func main() {
	parser := flags.NewNamedParser("fieldvale-measure", flags.Default)
	parser.LongDescription = usage
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		fatal(err)
	}
	if _, err := parser.Parse(); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
	if err := run(); err != nil {
		fatal(err)
	}
}

// fatal prints the error and exits with 1.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, "fieldvale-measure:", err)
	os.Exit(1)
}

// isSelected reports whether --item lists the item or is absent.
func isSelected(item string) bool {
	for _, selected := range options.Item {
		if selected == item {
			return true
		}
	}
	return len(options.Item) == 0
}

// compare reads the trials in a file, prints the comparison of their variants and
// plots it if --plots is set.
func compare(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "compare")
	}
	defer file.Close()
	trials, err := measure.ReadTrials(file)
	if err != nil {
		return err
	}
	comparisons := measure.Compare(trials)
	if err := measure.WriteComparison(os.Stdout, comparisons); err != nil || options.Plots == "" {
		return err
	}
	return measure.PlotComparison(comparisons, options.Plots)
}

// run compares trials or runs the selected measurements, then writes the plots.
func run() error {
	if options.Trials != "" {
		return compare(options.Trials)
	}
	report := measure.NewReport(os.Stdout)
	for _, experiment := range []struct {
		name string
		run  func() error
	}{
		{"cascade", func() error { measure.Cascade(report, options.Seed); return nil }},
		{"placement", func() error { measure.Placement(report, options.Seed); return nil }},
		{"overload", func() error { measure.Overload(report, options.Seed); return nil }},
		{"rollout", func() error { measure.Rollout(report, options.Seed); return nil }},
		{"policy", func() error { return measure.Policy(report) }},
		{"bills", func() error { return measure.Bills(report) }},
		{"router", func() error { return measure.Router(report, options.Seed) }},
		{"fleet", func() error { return measure.Fleet(report, options.Sizes) }},
	} {
		if !isSelected(experiment.name) {
			continue
		}
		if err := experiment.run(); err != nil {
			return errors.Wrap(err, experiment.name)
		}
	}
	if options.Plots == "" {
		return nil
	}
	return measure.Plots(report, options.Plots)
}
