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

// Trial is one run of one way to decide, on one day with one seed.
type Trial struct {
	Decision string
	Way      string
	// Day names what was played, its seed included: ways are compared on the same.
	Day    string
	Figure float64
}

// Paired is one way beside the one that stands, over the days that both were played
// on.
type Paired struct {
	Decision, Way string
	Days          int
	Mean          float64
	// Difference is the mean of the differences to the way that stands, and Spread their
	// standard deviation; below two days there is none.
	Difference, Spread float64
}

// IsEqual reports whether the ways can't be told apart: they differ by less than the
// spread. Then the simpler one stays.
func (p Paired) IsEqual() bool { return math.Abs(p.Difference) <= p.Spread }

// trialColumns are the first line of a file of trials.
var trialColumns = []string{"decision", "way", "day", "figure"}

// ReadTrials reads comma-separated lines of decision, way, day and figure.
func ReadTrials(r io.Reader) ([]Trial, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "measure.ReadTrials")
	}
	if len(rows) == 0 || !slices.Equal(rows[0], trialColumns) {
		return nil, errors.Newf("measure.ReadTrials: the first line is not %q", trialColumns)
	}
	var l []Trial
	for i, x := range rows[1:] {
		f, err := strconv.ParseFloat(x[3], 64)
		if err != nil {
			return nil, errors.Wrapf(err, "measure.ReadTrials: line %d", i+2)
		}
		l = append(l, Trial{Decision: x[0], Way: x[1], Day: x[2], Figure: f})
	}
	return l, nil
}

// Compare sets each way beside the first one of its decision, which stands.
func Compare(l []Trial) []Paired {
	var r []Paired
	stands := map[string]string{}
	seen := map[[2]string]bool{}
	for _, t := range l {
		if _, ok := stands[t.Decision]; !ok {
			stands[t.Decision] = t.Way
		}
		if k := [2]string{t.Decision, t.Way}; !seen[k] {
			seen[k] = true
			r = append(r, pair(figures(l, t.Decision, stands[t.Decision]), figures(l, t.Decision, t.Way), t))
		}
	}
	return r
}

// figures are those of one way by day.
func figures(l []Trial, decision, way string) map[string]float64 {
	m := map[string]float64{}
	for _, t := range l {
		if t.Decision == decision && t.Way == way {
			m[t.Day] = t.Figure
		}
	}
	return m
}

// pair compares a way with the one that stands.
func pair(stands, way map[string]float64, t Trial) Paired {
	p := Paired{Decision: t.Decision, Way: t.Way}
	var d []float64
	for day, f := range way {
		if s, ok := stands[day]; ok {
			d = append(d, f-s)
			p.Mean += f
		}
	}
	p.Days = len(d)
	if p.Days == 0 {
		return p
	}
	p.Mean /= float64(p.Days)
	p.Difference, p.Spread = meanAndSpread(d)
	return p
}

// meanAndSpread returns the mean and the standard deviation; that is 0 for less than
// two values.
func meanAndSpread(l []float64) (mean, spread float64) {
	for _, x := range l {
		mean += x / float64(len(l))
	}
	if len(l) < 2 {
		return mean, 0
	}
	for _, x := range l {
		spread += (x - mean) * (x - mean) / float64(len(l)-1)
	}
	return mean, math.Sqrt(spread)
}

// WriteComparison writes the table.
func WriteComparison(w io.Writer, l []Paired) error {
	if _, err := fmt.Fprintln(w, "| decision | way | days | mean | difference | spread | |\n|---|---|---|---|---|---|---|"); err != nil {
		return errors.Wrap(err, "measure.WriteComparison")
	}
	first := map[string]bool{}
	for _, p := range l {
		word := "other"
		switch {
		case !first[p.Decision]:
			word = "stands"
		case p.IsEqual():
			word = "equal"
		}
		first[p.Decision] = true
		if _, err := fmt.Fprintf(w, "| %s | %s | %d | %.4f | %+.4f | %.4f | %s |\n", p.Decision, p.Way, p.Days, p.Mean, p.Difference, p.Spread, word); err != nil {
			return errors.Wrap(err, "measure.WriteComparison")
		}
	}
	return nil
}

// PlotComparison writes the differences with their spread as an SVG file.
func PlotComparison(l []Paired, dir string) error {
	p := plot.New()
	p.Title.Text = "Difference to the way that stands, with its spread"
	var x plotter.XYs
	var e plotter.YErrors
	var names []string
	for _, v := range l {
		if v.Difference == 0 && v.Spread == 0 {
			continue
		}
		x = append(x, plotter.XY{X: float64(len(x)), Y: v.Difference})
		e = append(e, struct{ Low, High float64 }{v.Spread, v.Spread})
		names = append(names, v.Way)
	}
	s, err := plotter.NewScatter(x)
	if err != nil {
		return errors.Wrap(err, "measure.PlotComparison")
	}
	b, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{x, e})
	if err != nil {
		return errors.Wrap(err, "measure.PlotComparison")
	}
	p.Add(s, b)
	p.NominalX(names...)
	return errors.Wrap(p.Save(vg.Length(len(names)+2)*2*vg.Centimeter, plotHeight, filepath.Join(dir, "ways.svg")), "measure.PlotComparison")
}
