// Package commander parses the command line and runs the commands of the program.
package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/loader"
)

// The exit codes of the program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// KeygenNode is a node that receives a certificate.
type KeygenNode struct {
	Name identifier.Node
	Role identifier.Role
}

// KeygenRequest tells which keys to make.
type KeygenRequest struct {
	// Directory receives the files; an authority that it already holds is used again.
	Directory string
	Nodes     []KeygenNode
}

// Dependencies holds everything that the commands use.
type Dependencies struct {
	Output io.Writer
	Errors io.Writer
	// Client sends the requests to entries.
	Client *http.Client
	Getenv func(name string) string
	// Wait pauses between two attempts to reach an entry.
	Wait     func(ctx context.Context) error
	RunEntry func(ctx context.Context, settings loader.Entry) error
	RunAgent func(ctx context.Context, settings loader.Agent) error
	// RunGateway runs a gateway from the platform's settings file.
	RunGateway func(ctx context.Context, settingsPath string) error
	Keygen     func(ctx context.Context, request KeygenRequest) error
}

const retryPause = time.Second

// Run runs the command that the arguments name and returns the exit code of the program.
func Run(ctx context.Context, d Dependencies, args []string) int {
	if d.Client == nil {
		d.Client = http.DefaultClient
	}
	if d.Wait == nil {
		d.Wait = pause
	}
	parser := flags.NewNamedParser("currantledge", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A load balancer for expert-parallel model groups."
	if err := register(ctx, &d, parser); err != nil {
		fmt.Fprintln(d.Errors, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return report(d, err)
}

func report(d Dependencies, err error) int {
	var usage *flags.Error
	var conflict *ConflictError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(d.Output, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(d.Errors, "%s\nrun currantledge --help or currantledge COMMAND --help\n", usage.Message)
		return ExitUsage
	case errors.As(err, &conflict):
		fmt.Fprintln(d.Errors, err)
		return ExitConflict
	default:
		fmt.Fprintln(d.Errors, err)
		return ExitFailed
	}
}

// entrance registers one command.
type entrance struct {
	name    string
	summary string
	detail  string
	command flags.Commander
}

func register(ctx context.Context, d *Dependencies, parser *flags.Parser) error {
	remote := func() remoteCommand { return remoteCommand{base: base{ctx: ctx, d: d}} }
	local := base{ctx: ctx, d: d}
	entrances := []entrance{
		{"entry", "Run an entry", entryHelp, &entryCommand{base: local}},
		{"agent", "Run an agent", agentHelp, &agentCommand{base: local}},
		{"gateway", "Run a gateway on the users' platform", gatewayHelp, &gatewayCommand{base: local}},
		{"apply", "Declare resources", applyHelp, &applyCommand{remoteCommand: remote()}},
		{"get", "Show resources, nodes, maps or decisions", getHelp, &getCommand{remoteCommand: remote()}},
		{"watch", "Follow changes of resources", watchHelp, &watchCommand{remoteCommand: remote()}},
		{"drain", "Take a failure domain or an upstream out", drainHelp, &stateCommand{remoteCommand: remote(), out: true}},
		{"return", "Take a failure domain or an upstream in again", returnHelp, &stateCommand{remoteCommand: remote()}},
		{"status", "Show the nodes and their revisions", statusHelp, &statusCommand{remoteCommand: remote()}},
		{"explain", "Show the decisions on a request", explainHelp, &explainCommand{remoteCommand: remote()}},
		{"check", "Validate settings and resources offline", checkHelp, &checkCommand{base: local}},
		{"keygen", "Make the fleet's keys", keygenHelp, &keygenCommand{base: local}},
	}
	for _, e := range entrances {
		if _, err := parser.AddCommand(e.name, e.summary, e.detail, e.command); err != nil {
			return errors.Wrapf(err, "register the command %s", e.name)
		}
	}
	return nil
}

// base is what all commands hold.
type base struct {
	ctx context.Context
	d   *Dependencies
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
