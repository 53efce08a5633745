// Fieldvale-measure prints the figures that docs/MEASURES.md and
// docs/CAPACITY.md stand on.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"fieldvale/measure"
)

const usage = `fieldvale-measure replays the decision code on seeded traces, beside baselines,
and measures the cost of the router and of the control by the size of the
fleet. It prints one line for each figure and writes plots.

--trials compares ways to decide by runs made elsewhere: a file of comma-separated
lines with decision, way, day and figure, the way that stands first. It prints a
table with means, paired differences and their spread.`

var options struct {
	Seed   uint64   `long:"seed" default:"1" description:"seed of the traces"`
	Item   []string `long:"item" description:"measure only these: cascade, placement, overload, rollout, policy, bills, router, fleet"`
	Sizes  []int    `long:"size" description:"sizes of fleets; 7, 35, 100 and 350 if none"`
	Trials string   `long:"trials" value-name:"FILE" description:"compare the ways to decide whose runs the file lists, and measure nothing"`
	Plots  string   `long:"plots" value-name:"DIR" description:"write plots there"`
}

func main() {
	p := flags.NewNamedParser("fieldvale-measure", flags.Default)
	p.LongDescription = usage
	if _, err := p.AddGroup("Options", "", &options); err != nil {
		exit(err)
	}
	if _, err := p.Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
	if err := run(); err != nil {
		exit(err)
	}
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, "fieldvale-measure:", err)
	os.Exit(1)
}

func wanted(item string) bool {
	for _, x := range options.Item {
		if x == item {
			return true
		}
	}
	return len(options.Item) == 0
}

// compare sets the ways to decide of a file beside each other.
func compare(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "compare")
	}
	defer f.Close()
	l, err := measure.ReadTrials(f)
	if err != nil {
		return err
	}
	c := measure.Compare(l)
	if err := measure.WriteComparison(os.Stdout, c); err != nil || options.Plots == "" {
		return err
	}
	return measure.PlotComparison(c, options.Plots)
}

func run() error {
	if options.Trials != "" {
		return compare(options.Trials)
	}
	r := measure.NewReport(os.Stdout)
	for _, x := range []struct {
		name string
		f    func() error
	}{
		{"cascade", func() error { measure.Cascade(r, options.Seed); return nil }},
		{"placement", func() error { measure.Placement(r, options.Seed); return nil }},
		{"overload", func() error { measure.Overload(r, options.Seed); return nil }},
		{"rollout", func() error { measure.Rollout(r, options.Seed); return nil }},
		{"policy", func() error { return measure.Policy(r) }},
		{"bills", func() error { return measure.Bills(r) }},
		{"router", func() error { return measure.Router(r, options.Seed) }},
		{"fleet", func() error { return measure.Fleet(r, options.Sizes) }},
	} {
		if !wanted(x.name) {
			continue
		}
		if err := x.f(); err != nil {
			return errors.Wrap(err, x.name)
		}
	}
	if options.Plots == "" {
		return nil
	}
	return measure.Plots(r, options.Plots)
}
