package bencher

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/prover/launcher"
)

// Config holds the settings of a bench.
type Config struct {
	Binaries launcher.Binaries
	// Only is the name of the only measure to run. If it is empty, all measures run.
	Only string
	// Runs is the number of runs of each measure. Each figure is the median of its runs.
	Runs int
	Seed uint64
	// Output receives the figures.
	Output io.Writer
	// Progress receives messages about the measures that run.
	Progress io.Writer
}

// Figure is one result of the bench, which prints it in one line.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Baseline is the value with which Value is compared. It is nil if there is none.
	Baseline *float64
}

// String returns the line `name value unit baseline ratio`, with a dash for a missing baseline or ratio.
func (f Figure) String() string {
	baseline, ratio := "-", "-"
	if f.Baseline != nil {
		baseline = formatNumber(*f.Baseline)
		if *f.Baseline != 0 {
			ratio = formatNumber(f.Value / *f.Baseline)
		}
	}
	return strings.Join([]string{f.Name, formatNumber(f.Value), f.Unit, baseline, ratio}, " ")
}

const significantDigits = 4

// formatNumber formats a value with four significant digits, or as an integer from 1000 on.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', significantDigits, 64)
}

// sample is the value of a figure in one run.
type sample struct {
	name  string
	value float64
	unit  string
}

// medians returns the median of each figure over the runs, in the order in which the figures first occur.
func medians(runs [][]sample) []sample {
	var out []sample
	values := map[string][]float64{}
	for _, run := range runs {
		for _, s := range run {
			if _, known := values[s.name]; !known {
				out = append(out, s)
			}
			values[s.name] = append(values[s.name], s.value)
		}
	}
	for i := range out {
		out[i].value = median(values[out[i].name])
	}
	return out
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(values)
	sort.Float64s(sorted)
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// withoutBaseline converts samples to figures without a baseline.
func withoutBaseline(samples []sample) []Figure {
	figures := make([]Figure, len(samples))
	for i, s := range samples {
		figures[i] = Figure{Name: s.name, Value: s.value, Unit: s.unit}
	}
	return figures
}

// withBaselines returns a figure for each sample and each baseline with a sample of the same name. The name of the
// baseline is appended to that of the figure.
func withBaselines(samples []sample, baselines map[string][]sample) []Figure {
	names := make([]string, 0, len(baselines))
	for name := range baselines {
		names = append(names, name)
	}
	sort.Strings(names)
	var figures []Figure
	for _, s := range samples {
		for _, name := range names {
			for _, b := range baselines[name] {
				if b.name == s.name {
					figures = append(figures, Figure{Name: s.name + "/" + name, Value: s.value, Unit: s.unit, Baseline: &b.value})
				}
			}
		}
	}
	return figures
}

// measure is a part of the bench that can run alone. It has several names if the same runs yield several kinds of
// figures.
type measure struct {
	names []string
	// run prints figures as soon as they are known, so that an interrupted bench does not lose them.
	run func(ctx context.Context, b *bench) error
}

func measures() []measure {
	return []measure{
		{[]string{"domainOut", "domainBack"}, measureDomain},
		{[]string{"morning", "evening"}, measurePeaks},
		{[]string{"fairness"}, measureFairness},
		{[]string{"isolation"}, measureIsolation},
		{[]string{"entryOverhead"}, measureOverhead},
		{[]string{"decisionGrowth"}, measureGrowth},
		{[]string{"configEverywhere"}, measureConfiguration},
		{[]string{"controlCpu", "controlMemory", "controlBytes"}, measureControl},
		{[]string{"stepSkewP99", "rebalanceBytes"}, measureSkew},
	}
}

// bench is the state of Run.
type bench struct {
	cfg Config
}

// note prints a progress message.
func (b *bench) note(format string, args ...any) {
	fmt.Fprintf(b.cfg.Progress, "bench: "+format+"\n", args...)
}

func (b *bench) print(figures []Figure) {
	for _, f := range figures {
		fmt.Fprintln(b.cfg.Output, f)
	}
}

// Run runs the selected measures and prints a line for each figure. It stops at the first measure that fails.
func Run(ctx context.Context, cfg Config) error {
	selected := measures()
	if cfg.Only != "" {
		selected = slices.DeleteFunc(selected, func(m measure) bool { return !slices.Contains(m.names, cfg.Only) })
		if len(selected) == 0 {
			return errors.Newf("there is no measure %q; use one of %s", cfg.Only, strings.Join(Names(), " "))
		}
	}
	b := &bench{cfg: cfg}
	for _, m := range selected {
		b.note("%s", strings.Join(m.names, " and "))
		if err := m.run(ctx, b); err != nil {
			return errors.Wrapf(err, "measure %s", m.names[0])
		}
	}
	return nil
}

// Names returns the names of all measures in the order in which they run.
func Names() []string {
	var names []string
	for _, m := range measures() {
		names = append(names, m.names...)
	}
	return names
}
