// Command currantledge is a load balancer for expert-parallel model groups.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"currantledge.example/currantledge/internal/process/agentrunner"
	"currantledge.example/currantledge/internal/process/entryrunner"
	"currantledge.example/currantledge/internal/process/keymaker"
	"currantledge.example/currantledge/internal/process/loader"
)

func main() {
	os.Exit(execute())
}

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flags.NewParser(nil, flags.Default)
	mustAdd(parser, "entry", "run an entry", &entryCommand{ctx: ctx})
	mustAdd(parser, "agent", "run an agent", &agentCommand{ctx: ctx})
	mustAdd(parser, "keygen", "make the fleet's keys", &keygenCommand{})
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 1
	}
	return 0
}

func mustAdd(p *flags.Parser, name, short string, data any) {
	if _, err := p.AddCommand(name, short, short, data); err != nil {
		panic(err)
	}
}

type entryCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file"`
	ctx      context.Context
}

func (c *entryCommand) Execute([]string) error {
	settings, err := loader.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	return entryrunner.Run(c.ctx, entryrunner.Config{Settings: settings, Output: os.Stderr})
}

type agentCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file"`
	ctx      context.Context
}

func (c *agentCommand) Execute([]string) error {
	settings, err := loader.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	return agentrunner.Run(c.ctx, agentrunner.Config{Settings: settings, Output: os.Stderr})
}

type keygenCommand struct {
	Out  string   `long:"out" required:"true" description:"directory of the key files"`
	Node []string `long:"node" description:"NAME:ROLE, repeatable"`
}

func (c *keygenCommand) Execute([]string) error {
	cfg := keymaker.Config{Directory: c.Out, Now: time.Now()}
	for _, text := range c.Node {
		node, err := keymaker.ParseNode(text)
		if err != nil {
			return err
		}
		cfg.Nodes = append(cfg.Nodes, node)
	}
	if err := keymaker.Make(cfg); err != nil {
		return err
	}
	fmt.Println("keys written to", c.Out)
	return nil
}
