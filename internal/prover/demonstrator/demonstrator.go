// Package demonstrator runs the demo: a deployment on loopback under a morning load and an evening load. During the
// evening, a failure domain is taken out and returned. The demo checks the guarantees against what callers received and
// upstreams recorded.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	// runTimeout is shorter than the 90 s within which the demo must end. The remaining seconds are for ending its
	// processes.
	runTimeout   = 85 * time.Second
	startTimeout = 40 * time.Second
	// finishTimeout is the longest wait for the end of the last requests, which take about 3 s on idle engines.
	finishTimeout = 15 * time.Second
	stopTimeout   = 15 * time.Second
	// exclusionDelay is the longest time for which a failure domain may receive new work after it was taken out.
	exclusionDelay = 3 * time.Second
	// settlePeriod is the time after the failure domain was taken out. Streams that start within it do not count in the
	// time to first token while the failure domain is out.
	settlePeriod     = 5 * time.Second
	progressInterval = 5 * time.Second
	// quantile is the printed quantile of the time to first token.
	quantile = 0.95
)

// Schedule holds the durations of the phases of the demo.
type Schedule struct {
	Morning time.Duration
	// EveningBefore, EveningOut and EveningAfter are the phases of the evening before a failure domain is taken out, while
	// it is out, and after its return.
	EveningBefore time.Duration
	EveningOut    time.Duration
	EveningAfter  time.Duration
}

// DefaultSchedule returns a schedule that leaves time for starting and stopping within 90 s.
func DefaultSchedule() Schedule {
	return Schedule{
		Morning:       10 * time.Second,
		EveningBefore: 4 * time.Second,
		EveningOut:    10 * time.Second,
		EveningAfter:  6 * time.Second,
	}
}

// Config configures the demo.
type Config struct {
	Binaries launcher.Binaries
	Plan     launcher.Plan
	Schedule Schedule
	Seed     uint64
	// Keep preserves the folder with settings and logs.
	Keep   bool
	Output io.Writer
}

// Demo is the state of Run.
type Demo struct {
	cfg Config
	// outputMu serializes the printed lines.
	outputMu   sync.Mutex
	started    time.Time
	log        *recorder.Log
	deployment *launcher.Deployment
	// domainOutAt and domainBackAt are the times at which the failure domain was taken out and returned.
	domainOutAt  time.Time
	domainBackAt time.Time
}

// Run runs the demo. It returns an error if a guarantee was violated. All processes have ended when it returns.
func Run(ctx context.Context, cfg Config) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	l, err := launcher.New(launcher.Config{Keep: cfg.Keep})
	if err != nil {
		return err
	}
	defer l.Close()
	d := &Demo{cfg: cfg, started: time.Now(), log: &recorder.Log{}}
	if cfg.Keep {
		d.printf("settings and logs are in %s", l.Folder())
	}
	return d.run(ctx, l)
}

// printf prints a line with the time since the start.
func (d *Demo) printf(format string, args ...any) {
	d.outputMu.Lock()
	defer d.outputMu.Unlock()
	fmt.Fprintf(d.cfg.Output, "demo: %5.1f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *Demo) run(ctx context.Context, l *launcher.Launcher) error {
	if err := d.start(ctx, l); err != nil {
		return err
	}
	defer d.deployment.Close()
	if err := d.runLoad(ctx); err != nil {
		return err
	}
	records, err := recorder.Collect(ctx, recorder.SourcesOf(d.deployment))
	if err != nil {
		return err
	}
	stopErr := d.stop(ctx)
	l.Close()
	d.printf("all processes have ended")
	return errors.CombineErrors(d.printResults(records), stopErr)
}

func (d *Demo) start(ctx context.Context, l *launcher.Launcher) error {
	plan := d.cfg.Plan
	d.printf("starting %d entries, %d agents and their stand-ins", plan.Entries, plan.Upstreams())
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	deployment, err := launcher.Deploy(ctx, l, d.cfg.Binaries, plan)
	if err != nil {
		return errors.Wrap(err, "start the deployment")
	}
	d.deployment = deployment
	d.printf("all nodes are ready")
	return nil
}

// runLoad runs the schedule and waits for the requests that are still open.
func (d *Demo) runLoad(ctx context.Context) error {
	balancer := newBalancer(d.deployment.Entries)
	defer balancer.close()
	load := newLoad(ctx, loadConfig{Plan: d.cfg.Plan, Seed: d.cfg.Seed, Log: d.log, Pick: balancer.pick})
	defer load.close()
	stopProgress := d.reportProgress(load)
	defer stopProgress()

	if err := d.runSchedule(ctx, load); err != nil {
		return err
	}
	d.printf("waiting for open requests")
	load.finish(finishTimeout)
	return errors.Wrap(ctx.Err(), "the demo was interrupted or took too long")
}

// runSchedule runs the phases of the schedule. It ends early if the demo is interrupted.
func (d *Demo) runSchedule(ctx context.Context, load *load) error {
	domain := d.domain()
	phases := []struct {
		title    string
		mix      mix
		duration time.Duration
		then     func() error
	}{
		{"morning: many short requests", morning, d.cfg.Schedule.Morning, nil},
		{"evening: fewer and longer requests", evening, d.cfg.Schedule.EveningBefore, func() error {
			return d.setDomainState(ctx, domain, launcher.StateOut, &d.domainOutAt)
		}},
		{"evening without " + domain, evening, d.cfg.Schedule.EveningOut, func() error {
			return d.setDomainState(ctx, domain, launcher.StateIn, &d.domainBackAt)
		}},
		{"evening with all failure domains", evening, d.cfg.Schedule.EveningAfter, nil},
	}
	for _, phase := range phases {
		d.printf("%s", phase.title)
		load.run(phase.mix, phase.duration)
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "the demo was interrupted or took too long")
		}
		if phase.then == nil {
			continue
		}
		if err := phase.then(); err != nil {
			return err
		}
	}
	return nil
}

// domain returns the failure domain that is taken out. It is not the first one, whose entry receives the operators'
// changes.
func (d *Demo) domain() string {
	domains := d.cfg.Plan.FailureDomains
	return domains[1%len(domains)]
}

// setDomainState changes the state of a failure domain. It stores the time just before the change in at.
func (d *Demo) setDomainState(ctx context.Context, domain, state string, at *time.Time) error {
	*at = time.Now()
	if err := d.deployment.SetFailureDomainState(ctx, domain, state); err != nil {
		return err
	}
	d.printf("failure domain %s is %s", domain, state)
	return nil
}

// reportProgress prints the numbers of sent and open requests at intervals until the returned function is called.
func (d *Demo) reportProgress(load *load) func() {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				sent, open := load.counts()
				d.printf("%d requests sent, %d open", sent, open)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func (d *Demo) stop(ctx context.Context) error {
	d.printf("stopping all processes")
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return errors.Wrap(d.deployment.Stop(ctx), "stop the deployment gracefully")
}
