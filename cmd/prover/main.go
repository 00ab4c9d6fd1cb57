// Command prover checks the project as a whole: it runs the tests, the demo, the fault matrix, the soak test and the
// benchmarks.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs the command that the arguments name and returns the exit code.
func execute(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser, err := newParser(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "prover:", err)
		return 1
	}
	_, err = parser.ParseArgs(args)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(os.Stdout, usage.Message)
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "prover:", err)
		return 1
	}
	return 0
}
