// Command prover runs the project's tests, demo, fault matrix and bench.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"currantledge.example/currantledge/internal/prover/testrunner"
)

func main() {
	os.Exit(execute(os.Args[1:]))
}

func execute(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "prover:", err)
		return 1
	}
	return 0
}

func run(ctx context.Context, args []string) error {
	if len(args) < 1 || args[0] != "test" {
		return fmt.Errorf("unknown command; use: prover test [--] ARGS")
	}
	args = args[1:]
	if len(args) > 0 && args[0] == "--" {
		args = args[1:]
	}
	return testrunner.Run(ctx, testrunner.Config{Args: args, KnownRed: "KNOWN-RED.txt", Output: os.Stdout})
}
