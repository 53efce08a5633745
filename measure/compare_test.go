package measure_test

import (
	"os"
	"strings"
	"testing"

	"fieldvale/measure"
)

// TestCompare guards against a comparison that includes workloads on which only one
// of the two variants was run, and against a table or plot that is not written.
func TestCompare(t *testing.T) {
	file, err := os.Open("testdata/trials.csv")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	trials, err := measure.ReadTrials(file)
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	if err := measure.WriteComparison(&table, measure.Compare(trials)); err != nil {
		t.Fatal(err)
	}
	want := `| decision | way | days | mean | difference | spread | |
|---|---|---|---|---|---|---|
| where | stands | 2 | 0.7500 | +0.0000 | 0.0000 | stands |
| where | wide | 2 | 0.7700 | +0.0200 | 0.0141 | other |
| who | stands | 1 | 0.8000 | +0.0000 | 0.0000 | stands |
| who | narrow | 1 | 0.7900 | -0.0100 | 0.0000 | other |
`
	if table.String() != want {
		t.Errorf("got the table\n%s\nwant\n%s", &table, want)
	}
	dir := t.TempDir()
	if err := measure.PlotComparison(measure.Compare(trials), dir); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(dir + "/ways.svg"); err != nil || info.Size() == 0 {
		t.Error("got no plot or an empty one, want a plot in ways.svg: ", err)
	}
}

// TestReadTrialsRejectsBadInput guards against figures taken from a file that lacks
// the header, a column or a numeric figure.
func TestReadTrialsRejectsBadInput(t *testing.T) {
	for _, input := range []string{"", "a,b,c,d\n", "decision,way,day,figure\na,b,c,much\n", "decision,way,day,figure\na,b\n"} {
		if trials, err := measure.ReadTrials(strings.NewReader(input)); err == nil {
			t.Errorf("ReadTrials(%q): got %v, want an error", input, trials)
		}
	}
}
