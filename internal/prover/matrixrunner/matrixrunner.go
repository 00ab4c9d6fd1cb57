package matrixrunner

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/prover/launcher"
)

const (
	defaultParallel = 4
	// cellsPerTestbed bounds the number of cells that share a deployment, since its records grow.
	cellsPerTestbed = 8
	// cellsPerLockStepTestbed is lower, since engines in lock-step record each step.
	cellsPerLockStepTestbed = 5
	cellTimeout             = 3 * time.Minute
)

// Config configures a run.
type Config struct {
	Binaries launcher.Binaries
	Cells    []Cell
	Seed     uint64
	// Parallel is the number of deployments that run at the same time.
	Parallel int
	// Keep preserves the folders with settings and logs.
	Keep bool
	// KnownRed is the path of the list of known failures, which may be missing.
	KnownRed string
	Output   io.Writer
}

// matrixRun runs the cells and counts the results.
type matrixRun struct {
	cfg   Config
	known map[string]bool

	mu         sync.Mutex
	passed     int
	failed     int
	impossible int
	unexpected int
}

// Run runs the cells and prints their results and a summary. It returns an error if a cell fails that is not a known
// failure, or if the context ends first.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Parallel == 0 {
		cfg.Parallel = defaultParallel
	}
	known, err := readKnownRed(cfg.KnownRed)
	if err != nil {
		return err
	}
	r := &matrixRun{cfg: cfg, known: known}
	r.runAll(ctx, r.runnable())
	notRun := len(cfg.Cells) - r.passed - r.failed - r.impossible
	fmt.Fprintf(cfg.Output, "faults: cells=%d passed=%d failed=%d impossible=%d notRun=%d\n",
		len(cfg.Cells), r.passed, r.failed, r.impossible, notRun)
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "the matrix was interrupted")
	}
	if r.unexpected > 0 {
		return errors.Newf("%d cells failed; see the output above", r.unexpected)
	}
	return nil
}

// readKnownRed returns the names of the cells in lines of the form "cell: FAULT/STEP", none if the file is missing.
func readKnownRed(path string) (map[string]bool, error) {
	known := map[string]bool{}
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return known, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read known failures")
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		name, found := strings.CutPrefix(line, "cell: ")
		if !found {
			continue
		}
		cell, err := ParseCell(strings.TrimSpace(name))
		if err != nil {
			return nil, errors.Wrapf(err, "%s", path)
		}
		known[cell.String()] = true
	}
	return known, nil
}

// runnable returns the cells that can run. It counts and prints the others.
func (r *matrixRun) runnable() []Cell {
	var cells []Cell
	for _, cell := range r.cfg.Cells {
		if reason := ImpossibleReason(cell); reason != "" {
			r.impossible++
			r.printf("%s impossible: %s", cell, reason)
			continue
		}
		cells = append(cells, cell)
	}
	return cells
}

// printf prints a line that begins with "faults: ".
func (r *matrixRun) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.cfg.Output, "faults: %s\n", fmt.Sprintf(format, args...))
}

// runAll distributes batches of cells over parallel workers.
func (r *matrixRun) runAll(ctx context.Context, cells []Cell) {
	batches := make(chan []Cell, len(cells))
	for _, batch := range splitIntoBatches(cells, r.cfg.Parallel) {
		batches <- batch
	}
	close(batches)
	var workers sync.WaitGroup
	for range r.cfg.Parallel {
		workers.Go(func() {
			for batch := range batches {
				r.runBatch(ctx, batch)
			}
		})
	}
	workers.Wait()
}

// splitIntoBatches splits the cells into batches that can share a deployment of one kind, in their order. The cells of a
// batch mostly belong to one row.
func splitIntoBatches(cells []Cell, parallel int) [][]Cell {
	var batches [][]Cell
	for _, kind := range []testbedKind{testbedLockStep, testbedNoFence, testbedPlain, testbedLateEvents} {
		size := cellsPerTestbed
		if kind == testbedLockStep || kind == testbedNoFence {
			size = cellsPerLockStepTestbed
		}
		size = max(1, min(size, (len(cells)+parallel-1)/parallel))
		var ofKind []Cell
		for _, cell := range cells {
			if cell.testbedKind() == kind {
				ofKind = append(ofKind, cell)
			}
		}
		for batch := range slices.Chunk(ofKind, size) {
			batches = append(batches, batch)
		}
	}
	return batches
}

// runBatch runs cells one after another on one deployment, which it replaces after each failed cell.
func (r *matrixRun) runBatch(ctx context.Context, cells []Cell) {
	var b *testbed
	for _, cell := range cells {
		if ctx.Err() != nil {
			break
		}
		if b == nil {
			created, err := newTestbed(ctx, r.cfg.Binaries, testbedPlan(r.cfg.Seed, cell.testbedKind()), r.cfg.Keep)
			if err != nil {
				r.recordResult(cell, []string{err.Error()})
				continue
			}
			b = created
		}
		if !r.runCell(ctx, b, cell) {
			b.close()
			b = nil
		}
	}
	if b != nil {
		b.close()
	}
}

// runCell runs a cell on a testbed and reports whether it passed.
func (r *matrixRun) runCell(ctx context.Context, b *testbed, cell Cell) bool {
	start := time.Now()
	limited, cancel := context.WithTimeout(ctx, cellTimeout)
	defer cancel()
	t := newCellTest(b, cell, r.cfg.Seed)
	problems := t.run(limited)
	if len(problems) > 0 && r.cfg.Keep {
		problems = append(problems, "settings and logs are in "+b.launcher.Folder())
	}
	if len(problems) == 0 {
		r.printf("%s passed in %.1f s, longest answer %.1f s", cell, time.Since(start).Seconds(), t.longestResponse.Seconds())
	}
	r.recordResult(cell, problems)
	return len(problems) == 0
}

// recordResult counts the result of a cell and prints its problems, if any.
func (r *matrixRun) recordResult(cell Cell, problems []string) {
	for _, problem := range problems {
		r.printf("%s seed=%d: %s", cell, r.cfg.Seed, problem)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(problems) == 0 {
		r.passed++
		return
	}
	r.failed++
	if r.known[cell.String()] {
		fmt.Fprintf(r.cfg.Output, "faults: known red: %s\n", cell)
		return
	}
	r.unexpected++
	fmt.Fprintf(r.cfg.Output, "faults: FAIL: %s\n", cell)
}
