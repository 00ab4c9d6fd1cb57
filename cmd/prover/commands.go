package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"currantledge.example/currantledge/internal/prover/bencher"
	"currantledge.example/currantledge/internal/prover/demonstrator"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/matrixrunner"
	"currantledge.example/currantledge/internal/prover/soaker"
	"currantledge.example/currantledge/internal/prover/testrunner"
)

// knownRedFile lists the tests and fault matrix cells that are known to fail.
const knownRedFile = "KNOWN-RED.txt"

// newParser returns a parser whose commands run until the context ends.
func newParser(ctx context.Context) (*flags.Parser, error) {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"test", "run go test with the arguments after --", &testCommand{ctx: ctx}},
		{"demo", "run the demo", &demoCommand{ctx: ctx}},
		{"faults", "run the fault matrix", &faultsCommand{ctx: ctx}},
		{"bench", "run the benchmarks", &benchCommand{ctx: ctx}},
		{"soak", "run gateways under random faults", &soakCommand{ctx: ctx}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			return nil, errors.Wrapf(err, "add command %s", c.name)
		}
	}
	return parser, nil
}

// testCommand runs go test. It fails if a test fails that is not listed as known.
type testCommand struct {
	ctx context.Context
}

// Execute runs the command.
func (c *testCommand) Execute(args []string) error {
	return testrunner.Run(c.ctx, testrunner.Config{Args: args, KnownRed: knownRedFile, Output: os.Stdout})
}

// findBinaries finds the binaries of a deployment in a folder, by default that of this binary.
func findBinaries(folder string) (launcher.Binaries, error) {
	if folder == "" {
		self, err := os.Executable()
		if err != nil {
			return launcher.Binaries{}, errors.Wrap(err, "find the folder of this binary; give --binaries")
		}
		folder = filepath.Dir(self)
	}
	return launcher.FindBinaries(folder)
}

// soakCommand runs gateways under random faults.
type soakCommand struct {
	ctx      context.Context
	Binaries string   `long:"binaries" description:"folder of the binaries; the default is the folder of this one"`
	Seeds    int      `long:"seeds" default:"5" description:"number of seeds"`
	Seed     uint64   `long:"seed" default:"1" description:"the first seed"`
	Also     []uint64 `long:"also" description:"additional seed, repeatable"`
	Parallel int      `long:"parallel" default:"4" description:"number of seeds that run in parallel"`
	Keep     bool     `long:"keep" description:"keep the folders with settings and logs"`
}

// Execute runs the command.
func (c *soakCommand) Execute([]string) error {
	binaries, err := findBinaries(c.Binaries)
	if err != nil {
		return err
	}
	seeds := c.Also
	for i := range uint64(c.Seeds) {
		seeds = append(seeds, c.Seed+i)
	}
	return soaker.Run(c.ctx, soaker.Config{
		Binaries: binaries, Seeds: seeds, Parallel: c.Parallel, Keep: c.Keep, Output: os.Stdout,
	})
}

// demoCommand runs the demo.
type demoCommand struct {
	ctx      context.Context
	Binaries string `long:"binaries" description:"folder of the binaries; the default is the folder of this one"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of the load"`
	Keep     bool   `long:"keep" description:"keep the folder with settings and logs"`
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	binaries, err := findBinaries(c.Binaries)
	if err != nil {
		return err
	}
	return demonstrator.Run(c.ctx, demonstrator.Config{
		Binaries: binaries,
		Plan:     launcher.KeCentral(),
		Schedule: demonstrator.DefaultSchedule(),
		Seed:     c.Seed,
		Keep:     c.Keep,
		Output:   os.Stdout,
	})
}

// The values of --part.
const (
	partMatrix    = "matrix"
	partCheck     = "check"
	partPairs     = "pairs"
	partSequences = "sequences"
	// sequenceCells is the number of cells in all sequences together.
	sequenceCells = 64
)

// faultsCommand runs cells of the fault matrix, each of which injects faults into a small deployment at one step of its
// work.
type faultsCommand struct {
	ctx      context.Context
	Binaries string   `long:"binaries" description:"folder of the binaries; the default is the folder of this one"`
	Seed     uint64   `long:"seed" default:"1" description:"seed of the load and of the network faults"`
	Cells    []string `long:"cell" description:"run only this cell, FAULT/STEP or FAULT+FAULT/STEP, repeatable"`
	Part     string   `long:"part" default:"matrix" choice:"matrix" choice:"check" choice:"pairs" choice:"sequences" description:"what to run"`
	Parallel int      `long:"parallel" default:"4" description:"number of deployments that run in parallel"`
	Keep     bool     `long:"keep" description:"keep the folders with settings and logs"`
}

// Execute runs the command.
func (c *faultsCommand) Execute([]string) error {
	binaries, err := findBinaries(c.Binaries)
	if err != nil {
		return err
	}
	cells, err := c.cells()
	if err != nil {
		return err
	}
	return matrixrunner.Run(c.ctx, matrixrunner.Config{
		Binaries: binaries,
		Cells:    cells,
		Seed:     c.Seed,
		Parallel: c.Parallel,
		Keep:     c.Keep,
		KnownRed: knownRedFile,
		Output:   os.Stdout,
	})
}

// cells returns the cells to run: those of --cell or, without any, those of --part.
func (c *faultsCommand) cells() ([]matrixrunner.Cell, error) {
	if len(c.Cells) > 0 {
		var cells []matrixrunner.Cell
		for _, name := range c.Cells {
			cell, err := matrixrunner.ParseCell(name)
			if err != nil {
				return nil, err
			}
			cells = append(cells, cell)
		}
		return cells, nil
	}
	switch c.Part {
	case partCheck:
		return matrixrunner.CheckCells(), nil
	case partPairs:
		return matrixrunner.PairCells(), nil
	case partSequences:
		return matrixrunner.SequenceCells(c.Seed, sequenceCells), nil
	case partMatrix:
		return matrixrunner.AllCells(), nil
	default:
		return nil, errors.Newf("part %q is unknown", c.Part)
	}
}

// benchCommand runs the benchmarks.
type benchCommand struct {
	ctx      context.Context
	Binaries string `long:"binaries" description:"folder of the binaries; the default is the folder of this one"`
	Only     string `long:"only" value-name:"NAME" description:"run only the benchmark with this name"`
	Runs     int    `long:"runs" default:"3" description:"runs of each benchmark; their median is reported"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of the loads"`
}

// Execute runs the command.
func (c *benchCommand) Execute([]string) error {
	binaries, err := findBinaries(c.Binaries)
	if err != nil {
		return err
	}
	if c.Runs < 1 {
		return errors.Newf("--runs %d measures nothing; use 1 or more", c.Runs)
	}
	return bencher.Run(c.ctx, bencher.Config{
		Binaries: binaries, Only: c.Only, Runs: c.Runs, Seed: c.Seed, Output: os.Stdout, Progress: os.Stderr,
	})
}
