package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"currantledge.example/currantledge/internal/prover/demonstrator"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/testrunner"
)

const knownRed = "KNOWN-RED.txt"

func newParser(ctx context.Context) (*flags.Parser, error) {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"test", "run go test with the arguments after --", &testCommand{ctx: ctx}},
		{"demo", "run the demo", &demoCommand{ctx: ctx}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			return nil, errors.Wrapf(err, "add command %s", c.name)
		}
	}
	return parser, nil
}

type testCommand struct {
	ctx context.Context
}

// Execute runs the command.
func (c *testCommand) Execute(args []string) error {
	return testrunner.Run(c.ctx, testrunner.Config{Args: args, KnownRed: knownRed, Output: os.Stdout})
}

type demoCommand struct {
	ctx      context.Context
	Binaries string `long:"binaries" description:"folder of the binaries; the default is the folder of this one"`
	Seed     uint64 `long:"seed" default:"1" description:"seed of the load"`
	Keep     bool   `long:"keep" description:"keep the folder with settings and logs"`
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	folder := c.Binaries
	if folder == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find the folder of this binary; give --binaries")
		}
		folder = filepath.Dir(self)
	}
	binaries, err := launcher.FindBinaries(folder)
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
