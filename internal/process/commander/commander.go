// Package commander parses the command line of currantledge and runs its commands: the processes of a deployment (entry,
// agent, gateway), the operators' commands, which call the API of entries or ask a gateway, and offline commands.
package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"currantledge.example/currantledge/internal/connection/headchecker"
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

// KeygenNode is a node for which keygen creates a key and a certificate.
type KeygenNode struct {
	Name identifier.Node
	Role identifier.Role
}

// KeygenRequest lists the keys to create.
type KeygenRequest struct {
	// Directory receives the files. A certificate authority that it already contains is reused.
	Directory string
	Nodes     []KeygenNode
}

// Dependencies holds the functions and streams that the commands use, so that tests can replace them.
type Dependencies struct {
	Output      io.Writer
	ErrorOutput io.Writer
	// Client sends the requests to entries and gateways; by default one with the transport of http.DefaultClient that
	// rejects invalid statuses.
	Client *http.Client
	Getenv func(name string) string
	// Wait waits before a broken watch is opened again, by default one second. It returns an error once the context ends.
	Wait     func(ctx context.Context) error
	RunEntry func(ctx context.Context, settings loader.Entry) error
	RunAgent func(ctx context.Context, settings loader.Agent) error
	// RunGateway runs a gateway with the settings file of the platform.
	RunGateway func(ctx context.Context, settingsPath string) error
	Keygen     func(ctx context.Context, request KeygenRequest) error
}

// retryInterval is the time before a broken watch is opened again.
const retryInterval = time.Second

// Run runs the command that the arguments name, without the program's name, and returns the exit code of the program.
func Run(ctx context.Context, d Dependencies, args []string) int {
	if d.Client == nil {
		d.Client = newClient()
		defer d.Client.CloseIdleConnections()
	}
	if d.Wait == nil {
		d.Wait = waitRetryInterval
	}
	parser := flags.NewNamedParser("currantledge", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A load balancer for expert-parallel model groups."
	if err := registerCommands(ctx, &d, parser); err != nil {
		fmt.Fprintln(d.ErrorOutput, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return exitCode(d, err)
}

// newClient returns a client with the settings of http.DefaultClient that rejects invalid statuses.
func newClient() *http.Client {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		base = &http.Transport{Proxy: http.ProxyFromEnvironment}
	}
	return &http.Client{Transport: headchecker.NewTransport(base)}
}

// exitCode prints the error or the help of a command and returns the exit code of the program.
func exitCode(d Dependencies, err error) int {
	var usage *flags.Error
	var conflict *ConflictError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(d.Output, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(d.ErrorOutput, "%s\nrun currantledge --help or currantledge COMMAND --help\n", usage.Message)
		return ExitUsage
	case errors.As(err, &conflict):
		fmt.Fprintln(d.ErrorOutput, err)
		return ExitConflict
	default:
		fmt.Fprintln(d.ErrorOutput, err)
		return ExitFailed
	}
}

// commandSpec is a command with its help.
type commandSpec struct {
	name    string
	summary string
	detail  string
	command flags.Commander
}

func registerCommands(ctx context.Context, d *Dependencies, parser *flags.Parser) error {
	remote := func() remoteCommand { return remoteCommand{base: base{ctx: ctx, deps: d}} }
	local := base{ctx: ctx, deps: d}
	specs := []commandSpec{
		{"entry", "Run an entry", entryHelp, &entryCommand{base: local}},
		{"agent", "Run an agent", agentHelp, &agentCommand{base: local}},
		{"gateway", "Run a gateway on the users' platform", gatewayHelp, &gatewayCommand{base: local}},
		{"apply", "Declare resources", applyHelp, &applyCommand{remoteCommand: remote()}},
		{"get", "Show resources, nodes, maps or decisions", getHelp, &getCommand{remoteCommand: remote()}},
		{"watch", "Follow changes of resources", watchHelp, &watchCommand{remoteCommand: remote()}},
		{"drain", "Take a failure domain or an upstream out of service", drainHelp, &stateCommand{remoteCommand: remote(), out: true}},
		{"return", "Return a failure domain or an upstream to service", returnHelp, &stateCommand{remoteCommand: remote()}},
		{"status", "Show the nodes and their revisions", statusHelp, &statusCommand{remoteCommand: remote()}},
		{"explain", "Show the decisions on a request", explainHelp, &explainCommand{remoteCommand: remote()}},
		{"where", "Show where a gateway would send a request now", whereHelp, &whereCommand{base: local}},
		{"check", "Validate settings and resources offline", checkHelp, &checkCommand{base: local}},
		{"keygen", "Create the fleet's keys and certificates", keygenHelp, &keygenCommand{base: local}},
	}
	for _, s := range specs {
		if _, err := parser.AddCommand(s.name, s.summary, s.detail, s.command); err != nil {
			return errors.Wrapf(err, "register the command %s", s.name)
		}
	}
	return nil
}

// base holds what all commands share: the context that ends them and their dependencies.
type base struct {
	ctx  context.Context
	deps *Dependencies
}

// waitRetryInterval is the default of Dependencies.Wait.
func waitRetryInterval(ctx context.Context) error {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
