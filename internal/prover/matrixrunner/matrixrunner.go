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
	// cellsPerSite bounds how long a deployment is shared, since its records grow.
	cellsPerSite = 8
	// cellsInLockStep is lower, since engines in lock-step record each step.
	cellsInLockStep = 5
	cellPeriod      = 3 * time.Minute
)

// Config holds what a run needs.
type Config struct {
	Binaries launcher.Binaries
	Cells    []Cell
	Seed     uint64
	// Parallel is the number of deployments side by side.
	Parallel int
	// Keep keeps the folders with settings and logs.
	Keep bool
	// KnownRed is the path of the list of known failures.
	KnownRed string
	Output   io.Writer
}

// runner runs the cells and counts the results.
type runner struct {
	cfg   Config
	known map[string]bool

	mu         sync.Mutex
	passed     int
	failed     int
	impossible int
	unexpected int
}

// Run runs the cells and prints failed ones and a closing count. It fails if a cell fails that is not listed as known.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Parallel == 0 {
		cfg.Parallel = defaultParallel
	}
	known, err := readKnownRed(cfg.KnownRed)
	if err != nil {
		return err
	}
	r := &runner{cfg: cfg, known: known}
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

// readKnownRed reads the cells named in lines "cell: FAULT/STEP".
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

// runnable lists the cells that cannot run and returns the others.
func (r *runner) runnable() []Cell {
	var cells []Cell
	for _, cell := range r.cfg.Cells {
		if reason := Impossible(cell); reason != "" {
			r.impossible++
			r.say("%s impossible: %s", cell, reason)
			continue
		}
		cells = append(cells, cell)
	}
	return cells
}

func (r *runner) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.cfg.Output, "faults: %s\n", fmt.Sprintf(format, args...))
}

// runAll shares the cells out to parallel deployments, in parts that keep a row's cells together.
func (r *runner) runAll(ctx context.Context, cells []Cell) {
	parts := make(chan []Cell, len(cells))
	for _, part := range split(cells, r.cfg.Parallel) {
		parts <- part
	}
	close(parts)
	var workers sync.WaitGroup
	for range r.cfg.Parallel {
		workers.Go(func() {
			for part := range parts {
				r.runPart(ctx, part)
			}
		})
	}
	workers.Wait()
}

// split cuts the cells into parts that share a deployment of one kind.
func split(cells []Cell, parallel int) [][]Cell {
	var parts [][]Cell
	for _, kind := range []siteKind{siteLockStep, siteNoFence, sitePlain, siteLateEvents} {
		size := cellsPerSite
		if kind == siteLockStep || kind == siteNoFence {
			size = cellsInLockStep
		}
		size = max(1, min(size, (len(cells)+parallel-1)/parallel))
		var part []Cell
		for _, cell := range cells {
			if cell.site() == kind {
				part = append(part, cell)
			}
		}
		for chunk := range slices.Chunk(part, size) {
			parts = append(parts, chunk)
		}
	}
	return parts
}

// runPart runs cells on one deployment, and on a new one after each failure.
func (r *runner) runPart(ctx context.Context, cells []Cell) {
	var s *site
	for _, cell := range cells {
		if ctx.Err() != nil {
			break
		}
		if s == nil {
			created, err := newSite(ctx, r.cfg.Binaries, smallPlan(r.cfg.Seed, cell.site()), r.cfg.Keep)
			if err != nil {
				r.conclude(cell, []string{err.Error()})
				continue
			}
			s = created
		}
		if !r.runCell(ctx, s, cell) {
			s.close()
			s = nil
		}
	}
	if s != nil {
		s.close()
	}
}

// runCell runs a cell and tells whether it passed.
func (r *runner) runCell(ctx context.Context, s *site, cell Cell) bool {
	start := time.Now()
	limited, cancel := context.WithTimeout(ctx, cellPeriod)
	defer cancel()
	t := newTrial(s, cell, r.cfg.Seed)
	problems := t.run(limited)
	if len(problems) > 0 && r.cfg.Keep {
		problems = append(problems, "settings and logs are in "+s.launcher.Folder())
	}
	if len(problems) == 0 {
		r.say("%s passed in %.1f s, longest answer %.1f s", cell, time.Since(start).Seconds(), t.longest.Seconds())
	}
	r.conclude(cell, problems)
	return len(problems) == 0
}

func (r *runner) conclude(cell Cell, problems []string) {
	for _, problem := range problems {
		r.say("%s seed=%d: %s", cell, r.cfg.Seed, problem)
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
