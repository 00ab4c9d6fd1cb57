package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"currantledge.example/currantledge/internal/standin/engineserver"
	"currantledge.example/currantledge/internal/standin/platformserver"
	"currantledge.example/currantledge/internal/standin/serviceserver"
	"currantledge.example/currantledge/internal/standin/simulator"
)

// newParser returns a parser whose commands run until the context ends.
func newParser(ctx context.Context) (*flags.Parser, error) {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"platform", "table, objects, VM list and weight store", &platformCommand{ctx: ctx}},
		{"engine", "model engine", &engineCommand{ctx: ctx}},
		{"service", "plain service", &serviceCommand{ctx: ctx}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			return nil, errors.Wrapf(err, "add command %s", c.name)
		}
	}
	return parser, nil
}

// server is a stand-in that listens on its address and serves requests once Run is called.
type server interface {
	Address() string
	Run(ctx context.Context) error
}

// serve prints the address to standard output, so that the parent process learns the port that the system chose, and runs
// the server until the context ends.
func serve(ctx context.Context, s server) error {
	fmt.Fprintln(os.Stdout, "listening", s.Address())
	return s.Run(ctx)
}

// checkLoopback returns an error unless the address is a loopback IP address with a port.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q is not IP:port", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return errors.Newf("address %q is not on loopback; use 127.0.0.1:PORT", address)
	}
	return nil
}

// platformCommand runs a stand-in of the platform.
type platformCommand struct {
	ctx        context.Context
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"loopback IP:port"`
	ListLag    time.Duration `long:"list-lag" description:"age of the VM list"`
	WeightRate int64         `long:"weight-rate" description:"bytes per second of the weight store"`
	Seed       int64         `long:"seed" default:"1" description:"seed of random faults"`
}

// Execute runs the command.
func (c *platformCommand) Execute([]string) error {
	if err := checkLoopback(c.Listen); err != nil {
		return err
	}
	server, err := platformserver.New(platformserver.Config{
		Address: c.Listen, ListLag: c.ListLag, WeightRate: c.WeightRate, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	return serve(c.ctx, server)
}

// upstreamOptions are the options that engines and services share.
type upstreamOptions struct {
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"loopback IP:port"`
	Cold       int           `long:"cold" default:"8" description:"running requests above which a cold upstream crashes"`
	Warm       int           `long:"warm" default:"64" description:"running requests above which a warm upstream crashes"`
	WarmAfter  int           `long:"warm-after" default:"50" description:"completions until the upstream is warm"`
	Down       time.Duration `long:"down" default:"2s" description:"time without listening after a crash"`
	Exit       bool          `long:"exit" description:"exit the process after a crash instead of listening again"`
	RecordFile string        `long:"record-file" description:"file that receives the record when the process ends"`
}

func (o upstreamOptions) config() (simulator.Config, error) {
	return simulator.Config{
		Address: o.Listen, ColdCapacity: o.Cold, WarmCapacity: o.Warm, WarmAfter: o.WarmAfter,
		Downtime: o.Down, ExitOnCrash: o.Exit, RecordFile: o.RecordFile,
	}, checkLoopback(o.Listen)
}

// engineCommand runs a stand-in of a model engine.
type engineCommand struct {
	ctx context.Context
	upstreamOptions
	StepBase       time.Duration `long:"step-base" default:"5ms" description:"duration of an empty step"`
	StepPerRequest time.Duration `long:"step-per-request" default:"50us" description:"time that each running request adds to a step"`
	Batch          int           `long:"batch" description:"maximum of running requests, 0 for no limit"`
	Queue          int           `long:"queue" description:"maximum of waiting requests if --batch is set"`
	ColdPrefill    int           `long:"cold-prefill" default:"8" description:"steps that a cold engine adds before the first token, negative for none"`
	ReportLag      time.Duration `long:"report-lag" default:"300ms" description:"age of reports, negative for none"`
	Models         []string      `long:"model" description:"loaded model, repeatable; without any the engine serves every model"`
	Role           string        `long:"role" description:"role of the engine"`
	CheckFence     bool          `long:"check-fence" description:"refuse orders with an old fencing number"`
	CachePrefixes  int           `long:"cache-prefixes" default:"64" description:"size of the prefix cache, negative for none"`
	EventDelay     time.Duration `long:"event-delay" default:"500ms" description:"delay of cache events, negative for none"`
	EventGap       float64       `long:"event-gap" default:"0.05" description:"probability that a cache event is lost"`
	Seed           int64         `long:"seed" default:"1" description:"seed of lost cache events"`
	GroupSize      int           `long:"group-size" description:"number of ranks that step in lock-step, 0 for an engine without group"`
	Rank           int           `long:"rank" description:"rank of the engine in its group, from 0"`
	Coordinator    string        `long:"coordinator" description:"loopback IP:port at which rank 0 coordinates the steps"`
	Experts        int           `long:"experts" default:"64" description:"number of experts"`
	PerToken       time.Duration `long:"per-token" default:"500us" description:"time that each token for the experts of a rank adds to a step"`
	Skew           float64       `long:"skew" default:"0.6" description:"exponent of the popularity of experts"`
	DriftSteps     int           `long:"drift-steps" description:"number of steps in which the popularity shifts by one expert, 0 for no drift"`
	GroupSeed      int64         `long:"group-seed" default:"1" description:"seed of the popularity, the same on all ranks"`
}

// Execute runs the command.
func (c *engineCommand) Execute([]string) error {
	sim, err := c.config()
	if err != nil {
		return err
	}
	if c.Coordinator != "" {
		if err := checkLoopback(c.Coordinator); err != nil {
			return err
		}
	}
	server, err := engineserver.New(engineserver.Config{
		Simulator: sim,
		StepBase:  c.StepBase, StepPerRequest: c.StepPerRequest,
		BatchSize: c.Batch, QueueSize: c.Queue,
		ColdPrefill: c.ColdPrefill,
		ReportLag:   c.ReportLag, Models: c.Models, Role: c.Role, CheckFence: c.CheckFence,
		CachePrefixes: c.CachePrefixes, EventDelay: c.EventDelay, EventGapProbability: c.EventGap, Seed: c.Seed,
		Group: engineserver.GroupConfig{
			Size: c.GroupSize, Rank: c.Rank, Coordinator: c.Coordinator, Experts: c.Experts,
			PerToken: c.PerToken, Skew: c.Skew, DriftSteps: c.DriftSteps, Seed: c.GroupSeed,
		},
	})
	if err != nil {
		return err
	}
	return serve(c.ctx, server)
}

// serviceCommand runs a stand-in of a plain HTTP service.
type serviceCommand struct {
	ctx context.Context
	upstreamOptions
	Latency    time.Duration `long:"latency" default:"20ms" description:"duration of a call, negative for none"`
	ColdFactor float64       `long:"cold-factor" default:"5" description:"factor of the latency of a cold service"`
	Limit      int           `long:"limit" description:"running calls above which the service answers 503, 0 for no limit"`
}

// Execute runs the command.
func (c *serviceCommand) Execute([]string) error {
	sim, err := c.config()
	if err != nil {
		return err
	}
	server, err := serviceserver.New(serviceserver.Config{Simulator: sim, Latency: c.Latency, ColdFactor: c.ColdFactor, Limit: c.Limit})
	if err != nil {
		return err
	}
	return serve(c.ctx, server)
}
