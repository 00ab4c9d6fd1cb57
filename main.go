// Command currantledge is a load balancer for expert-parallel model groups.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"currantledge.example/currantledge/internal/connection/authenticator"
	"currantledge.example/currantledge/internal/process/agentrunner"
	"currantledge.example/currantledge/internal/process/commander"
	"currantledge.example/currantledge/internal/process/entryrunner"
	"currantledge.example/currantledge/internal/process/gatewayrunner"
	"currantledge.example/currantledge/internal/process/keymaker"
	"currantledge.example/currantledge/internal/process/loader"
)

func main() {
	os.Exit(run())
}

// run executes the command line until it ends or the process is signalled to stop, and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.Run(ctx, commander.Dependencies{
		Output:      os.Stdout,
		ErrorOutput: os.Stderr,
		Getenv:      os.Getenv,
		RunEntry: func(ctx context.Context, settings loader.Entry) error {
			return entryrunner.Run(ctx, entryrunner.Config{Settings: settings, Output: os.Stderr})
		},
		RunAgent: func(ctx context.Context, settings loader.Agent) error {
			return agentrunner.Run(ctx, agentrunner.Config{Settings: settings, Output: os.Stderr})
		},
		RunGateway: func(ctx context.Context, path string) error {
			return gatewayrunner.Run(ctx, gatewayrunner.Config{
				SettingsPath: path, Output: os.Stdout, LogLevel: zerolog.InfoLevel,
			})
		},
		Keygen: generateKeys,
	}, os.Args[1:])
}

// generateKeys writes the key files of the requested nodes to a directory.
func generateKeys(_ context.Context, request commander.KeygenRequest) error {
	cfg := keymaker.Config{Directory: request.Directory, Now: time.Now()}
	for _, n := range request.Nodes {
		cfg.Nodes = append(cfg.Nodes, authenticator.Identity{Node: n.Name, Role: n.Role})
	}
	return keymaker.Make(cfg)
}
