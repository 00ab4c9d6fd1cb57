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

// Config holds what the bench needs.
type Config struct {
	Binaries launcher.Binaries
	// Only is the name of the one measure to run; empty runs all.
	Only string
	// Runs is the number of runs of each measure, of which the median counts.
	Runs   int
	Seed   uint64
	Output io.Writer
	// Progress receives notes on what is running.
	Progress io.Writer
}

// Figure is one line of the bench.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Baseline is the same figure of what the product is compared with. It is nil where there is no baseline.
	Baseline *float64
}

// String returns the line `name value unit baseline ratio`, with a dash for what does not exist.
func (f Figure) String() string {
	baseline, ratio := "-", "-"
	if f.Baseline != nil {
		baseline = number(*f.Baseline)
		if *f.Baseline != 0 {
			ratio = number(f.Value / *f.Baseline)
		}
	}
	return strings.Join([]string{f.Name, number(f.Value), f.Unit, baseline, ratio}, " ")
}

const significantDigits = 4

func number(v float64) string {
	if math.Abs(v) >= 1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', significantDigits, 64)
}

// sample is one figure of one run.
type sample struct {
	name  string
	value float64
	unit  string
}

// medians returns the median of each figure over the runs, in the order in which the figures first appear.
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

// plain returns figures without a baseline.
func plain(samples []sample) []Figure {
	figures := make([]Figure, len(samples))
	for i, s := range samples {
		figures[i] = Figure{Name: s.name, Value: s.value, Unit: s.unit}
	}
	return figures
}

// compared returns each figure once for each baseline, whose name is added to the figure's.
func compared(samples []sample, baselines map[string][]sample) []Figure {
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

// measure is a part of the bench that runs alone. One may have several names, since its figures come from the same runs.
type measure struct {
	names []string
	// run prints figures as soon as they are known, so that an interrupted bench keeps them.
	run func(ctx context.Context, b *bench) error
}

func measures() []measure {
	return []measure{
		{[]string{"domainOut", "domainBack"}, domain},
		{[]string{"morning", "evening"}, peaks},
		{[]string{"fairness"}, fairness},
		{[]string{"isolation"}, isolation},
		{[]string{"entryOverhead"}, overhead},
		{[]string{"decisionGrowth"}, growth},
		{[]string{"configEverywhere"}, configuration},
		{[]string{"controlCpu", "controlMemory", "controlBytes"}, control},
		{[]string{"stepSkewP99", "rebalanceBytes"}, skew},
	}
}

// bench is one run of the bench.
type bench struct {
	cfg Config
}

func (b *bench) note(format string, args ...any) {
	fmt.Fprintf(b.cfg.Progress, "bench: "+format+"\n", args...)
}

func (b *bench) print(figures []Figure) {
	for _, f := range figures {
		fmt.Fprintln(b.cfg.Output, f)
	}
}

// Run runs the bench and prints a line for each figure.
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
