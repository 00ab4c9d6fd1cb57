package commander

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/loader"
	"currantledge.example/currantledge/internal/version/declarer"
	"currantledge.example/currantledge/platform"
)

type entryCommand struct {
	base
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings of the entry"`
}

// Execute runs the entry until the context ends.
func (c *entryCommand) Execute([]string) error {
	settings, err := loader.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	return c.deps.RunEntry(c.ctx, settings)
}

type agentCommand struct {
	base
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings of the agent"`
}

// Execute runs the agent until the context ends.
func (c *agentCommand) Execute([]string) error {
	settings, err := loader.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	return c.deps.RunAgent(c.ctx, settings)
}

type gatewayCommand struct {
	base
	Settings string `long:"settings" value-name:"FILE" description:"settings of the platform; default: the file that CURRANTLEDGE_NODE_FILE names"`
}

// Execute runs the gateway until the context ends.
func (c *gatewayCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		path = c.deps.Getenv(platform.SettingsVariable)
	}
	return c.deps.RunGateway(c.ctx, path)
}

type checkCommand struct {
	base
	EntrySettings []string `long:"entry-settings" value-name:"FILE" description:"settings of one entry"`
	AgentSettings []string `long:"agent-settings" value-name:"FILE" description:"settings of one agent"`
	Entries       []string `long:"entries" value-name:"FILE" description:"settings of several entries with a common part"`
	Agents        []string `long:"agents" value-name:"FILE" description:"settings of several agents with a common part"`
	Args          struct {
		Resources []string `positional-arg-name:"RESOURCES" description:"files of resources"`
	} `positional-args:"true"`
}

// Execute checks all files before it returns an error, so that one run reports every problem.
func (c *checkCommand) Execute([]string) error {
	var problems []string
	checked := 0
	record := func(err error) {
		checked++
		if err != nil {
			problems = append(problems, err.Error())
		}
	}
	checkEach(c.EntrySettings, loader.LoadEntry, record)
	checkEach(c.AgentSettings, loader.LoadAgent, record)
	checkEach(c.Entries, loader.LoadEntries, record)
	checkEach(c.Agents, loader.LoadAgents, record)
	if len(c.Args.Resources) > 0 {
		sources, err := readSources(c.Args.Resources)
		if err == nil {
			_, err = declarer.DecodeFiles(sources...)
		}
		record(err)
		checked += len(c.Args.Resources) - 1
	}
	if checked == 0 {
		return errors.New("nothing to check; name files of settings or resources")
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	fmt.Fprintf(c.deps.Output, "%d files are valid\n", checked)
	return nil
}

// checkEach loads each file and passes the error, or nil, to record.
func checkEach[T any](paths []string, load func(string) (T, error), record func(error)) {
	for _, path := range paths {
		_, err := load(path)
		record(err)
	}
}

func readSources(paths []string) ([]declarer.Source, error) {
	var sources []declarer.Source
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read the resources; give the path of a readable file")
		}
		sources = append(sources, declarer.Source{Name: path, Text: text})
	}
	return sources, nil
}

type keygenCommand struct {
	base
	Directory string   `long:"out" default:"keys" value-name:"DIRECTORY" description:"receives the PEM files"`
	Nodes     []string `long:"node" value-name:"NAME:ROLE" description:"a node that receives a certificate, repeatable; ROLE is entry or agent"`
}

// Execute creates the keys.
func (c *keygenCommand) Execute([]string) error {
	request := KeygenRequest{Directory: c.Directory}
	for _, text := range c.Nodes {
		name, role, ok := strings.Cut(text, ":")
		node := KeygenNode{Name: identifier.Node(name), Role: identifier.Role(role)}
		if !ok || name == "" || (node.Role != identifier.RoleEntry && node.Role != identifier.RoleAgent) {
			return errors.Newf("--node %s is invalid; write NAME:entry or NAME:agent", text)
		}
		request.Nodes = append(request.Nodes, node)
	}
	return c.deps.Keygen(c.ctx, request)
}
