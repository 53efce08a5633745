package measure

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Trial is the result of one run of one variant of a decision on one workload.
type Trial struct {
	// Decision names the decision for which variants are compared.
	Decision string
	Variant  string
	// Workload identifies the simulated load, its seed included. Variants are compared
	// on equal workloads only.
	Workload string
	Figure   float64
}

// Comparison compares a variant with the baseline of its decision over the
// workloads on which both were run. Mean is the mean of the variant's figures.
type Comparison struct {
	Decision, Variant string
	Workloads         int
	Mean              float64
	// Difference is the mean of the differences to the baseline, and Spread their
	// standard deviation, which is 0 for fewer than two workloads.
	Difference, Spread float64
}

// IsWithinSpread reports whether the variant differs from the baseline by no more
// than the spread. The two then can't be distinguished, and the simpler one is kept.
func (c Comparison) IsWithinSpread() bool { return math.Abs(c.Difference) <= c.Spread }

// trialColumns is the required header of a file of trials. Its columns way and day
// hold Trial.Variant and Trial.Workload.
var trialColumns = []string{"decision", "way", "day", "figure"}

// ReadTrials reads trials from CSV with the header trialColumns.
func ReadTrials(r io.Reader) ([]Trial, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "measure.ReadTrials")
	}
	if len(rows) == 0 || !slices.Equal(rows[0], trialColumns) {
		return nil, errors.Newf("measure.ReadTrials: the first line is not %q", trialColumns)
	}
	var trials []Trial
	for i, row := range rows[1:] {
		figure, err := strconv.ParseFloat(row[3], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "measure.ReadTrials: line %d: figure is not a number", i+2)
		}
		trials = append(trials, Trial{Decision: row[0], Variant: row[1], Workload: row[2], Figure: figure})
	}
	return trials, nil
}

// Compare compares each variant with the first one listed for its decision, which
// is the baseline. The baseline itself is included.
func Compare(trials []Trial) []Comparison {
	var comparisons []Comparison
	baselines := map[string]string{}
	seen := map[[2]string]bool{}
	for _, t := range trials {
		if _, ok := baselines[t.Decision]; !ok {
			baselines[t.Decision] = t.Variant
		}
		if key := [2]string{t.Decision, t.Variant}; !seen[key] {
			seen[key] = true
			comparisons = append(comparisons, compareVariants(figuresByWorkload(trials, t.Decision, baselines[t.Decision]), figuresByWorkload(trials, t.Decision, t.Variant), t))
		}
	}
	return comparisons
}

// figuresByWorkload returns the figures of one variant by workload.
func figuresByWorkload(trials []Trial, decision, variant string) map[string]float64 {
	figures := map[string]float64{}
	for _, t := range trials {
		if t.Decision == decision && t.Variant == variant {
			figures[t.Workload] = t.Figure
		}
	}
	return figures
}

// compareVariants compares a variant's figures with the baseline's, both by
// workload. The trial t names the decision and the variant.
func compareVariants(baseline, variant map[string]float64, t Trial) Comparison {
	c := Comparison{Decision: t.Decision, Variant: t.Variant}
	var differences []float64
	for workload, figure := range variant {
		if base, ok := baseline[workload]; ok {
			differences = append(differences, figure-base)
			c.Mean += figure
		}
	}
	c.Workloads = len(differences)
	if c.Workloads == 0 {
		return c
	}
	c.Mean /= float64(c.Workloads)
	c.Difference, c.Spread = meanAndStdDev(differences)
	return c
}

// meanAndStdDev returns the mean and the sample standard deviation, which is 0 for
// fewer than two values.
func meanAndStdDev(values []float64) (mean, stdDev float64) {
	for _, x := range values {
		mean += x / float64(len(values))
	}
	if len(values) < 2 {
		return mean, 0
	}
	for _, x := range values {
		stdDev += (x - mean) * (x - mean) / float64(len(values)-1)
	}
	return mean, math.Sqrt(stdDev)
}

// WriteComparison writes the comparisons as a Markdown table. Its last column is
// "stands" for a baseline, "equal" for a variant within the spread, else "other".
func WriteComparison(w io.Writer, comparisons []Comparison) error {
	if _, err := fmt.Fprintln(w, "| decision | way | days | mean | difference | spread | |\n|---|---|---|---|---|---|---|"); err != nil {
		return errors.Wrap(err, "measure.WriteComparison")
	}
	hasBaseline := map[string]bool{}
	for _, c := range comparisons {
		verdict := "other"
		switch {
		case !hasBaseline[c.Decision]:
			verdict = "stands"
		case c.IsWithinSpread():
			verdict = "equal"
		}
		hasBaseline[c.Decision] = true
		if _, err := fmt.Fprintf(w, "| %s | %s | %d | %.4f | %+.4f | %.4f | %s |\n", c.Decision, c.Variant, c.Workloads, c.Mean, c.Difference, c.Spread, verdict); err != nil {
			return errors.Wrap(err, "measure.WriteComparison")
		}
	}
	return nil
}

// PlotComparison writes the differences, with error bars of one spread, to the file
// ways.svg in dir.
func PlotComparison(comparisons []Comparison, dir string) error {
	p := plot.New()
	p.Title.Text = "Difference to the baseline, with its standard deviation"
	var points plotter.XYs
	var spreads plotter.YErrors
	var names []string
	for _, c := range comparisons {
		if c.Difference == 0 && c.Spread == 0 {
			continue
		}
		points = append(points, plotter.XY{X: float64(len(points)), Y: c.Difference})
		spreads = append(spreads, struct{ Low, High float64 }{c.Spread, c.Spread})
		names = append(names, c.Variant)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "measure.PlotComparison")
	}
	errorBars, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{points, spreads})
	if err != nil {
		return errors.Wrap(err, "measure.PlotComparison")
	}
	p.Add(scatter, errorBars)
	p.NominalX(names...)
	return errors.Wrap(p.Save(vg.Length(len(names)+2)*2*vg.Centimeter, plotHeight, filepath.Join(dir, "ways.svg")), "measure.PlotComparison")
}
