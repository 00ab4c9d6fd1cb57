// Package demonstrator runs the demo: one deployment on loopback under a morning and an evening load, during which a
// failure domain leaves and returns.
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
	// The demo ends within 90 s in every case; the last seconds are kept for ending processes.
	runTimeout  = 85 * time.Second
	startPeriod = 40 * time.Second
	// finishPeriod is how long the last requests may take. Their answers take about 3 s on idle engines.
	finishPeriod = 15 * time.Second
	stopPeriod   = 15 * time.Second
	// leavePeriod is the longest time after which a failure domain that is out may receive new work.
	leavePeriod = 3 * time.Second
	// settlePeriod is the time after a change from which the time to first token counts.
	settlePeriod     = 5 * time.Second
	progressInterval = 5 * time.Second
	percentile       = 0.95
)

// Schedule says how long the parts of the demo take.
type Schedule struct {
	Morning time.Duration
	// EveningBefore, EveningOut and EveningAfter are the parts of the evening before a failure domain leaves, while it
	// is out, and after it has returned.
	EveningBefore time.Duration
	EveningOut    time.Duration
	EveningAfter  time.Duration
}

// DefaultSchedule leaves time for start and stop within 90 s.
func DefaultSchedule() Schedule {
	return Schedule{
		Morning:       10 * time.Second,
		EveningBefore: 4 * time.Second,
		EveningOut:    10 * time.Second,
		EveningAfter:  6 * time.Second,
	}
}

// Config holds what the demo needs.
type Config struct {
	Binaries launcher.Binaries
	Plan     launcher.Plan
	Schedule Schedule
	Seed     uint64
	// Keep keeps the folder with settings and logs.
	Keep   bool
	Output io.Writer
}

// Demo is one run of the demo.
type Demo struct {
	cfg Config
	// speaking keeps the lines of progress and events apart.
	speaking   sync.Mutex
	started    time.Time
	log        *recorder.Log
	deployment *launcher.Deployment
	left       time.Time
	returned   time.Time
}

// Run runs the demo. It fails if a guarantee was broken, and ends all processes in every case.
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
		d.say("settings and logs are in %s", l.Folder())
	}
	return d.run(ctx, l)
}

func (d *Demo) say(format string, args ...any) {
	d.speaking.Lock()
	defer d.speaking.Unlock()
	fmt.Fprintf(d.cfg.Output, "demo: %5.1f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *Demo) run(ctx context.Context, l *launcher.Launcher) error {
	if err := d.start(ctx, l); err != nil {
		return err
	}
	defer d.deployment.Close()
	if err := d.loadAndChange(ctx); err != nil {
		return err
	}
	records, err := recorder.Collect(ctx, recorder.SourcesOf(d.deployment))
	if err != nil {
		return err
	}
	stopErr := d.stop(ctx)
	l.Close()
	d.say("all processes have ended")
	return errors.CombineErrors(d.conclude(records), stopErr)
}

func (d *Demo) start(ctx context.Context, l *launcher.Launcher) error {
	plan := d.cfg.Plan
	d.say("starting %d entries, %d agents and their stand-ins", plan.Entries, plan.Upstreams())
	ctx, cancel := context.WithTimeout(ctx, startPeriod)
	defer cancel()
	deployment, err := launcher.Deploy(ctx, l, d.cfg.Binaries, plan)
	if err != nil {
		return errors.Wrap(err, "start the deployment")
	}
	d.deployment = deployment
	d.say("all nodes are ready")
	return nil
}

// loadAndChange sends both loads, takes a failure domain out in the evening and returns it.
func (d *Demo) loadAndChange(ctx context.Context) error {
	balancer := newBalancer(d.deployment.Entries)
	defer balancer.close()
	load := newLoad(ctx, loadConfig{Plan: d.cfg.Plan, Seed: d.cfg.Seed, Log: d.log, Pick: balancer.pick})
	defer load.close()
	stopProgress := d.reportProgress(load)
	defer stopProgress()

	if err := d.follow(ctx, load); err != nil {
		return err
	}
	d.say("waiting for open requests")
	load.finish(finishPeriod)
	return errors.Wrap(ctx.Err(), "the demo was interrupted or took too long")
}

// follow follows the schedule until its end or until the demo is interrupted.
func (d *Demo) follow(ctx context.Context, load *load) error {
	domain := d.domain()
	steps := []struct {
		announce string
		mix      mix
		period   time.Duration
		then     func() error
	}{
		{"morning: many short requests", morning, d.cfg.Schedule.Morning, nil},
		{"evening: fewer and longer requests", evening, d.cfg.Schedule.EveningBefore, func() error {
			return d.change(ctx, domain, launcher.StateOut, &d.left)
		}},
		{"evening without " + domain, evening, d.cfg.Schedule.EveningOut, func() error {
			return d.change(ctx, domain, launcher.StateIn, &d.returned)
		}},
		{"evening with all failure domains", evening, d.cfg.Schedule.EveningAfter, nil},
	}
	for _, step := range steps {
		d.say("%s", step.announce)
		load.run(step.mix, step.period)
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "the demo was interrupted or took too long")
		}
		if step.then == nil {
			continue
		}
		if err := step.then(); err != nil {
			return err
		}
	}
	return nil
}

// domain returns the failure domain that leaves. It is not the first one, whose entry takes the operators' changes.
func (d *Demo) domain() string {
	domains := d.cfg.Plan.FailureDomains
	return domains[1%len(domains)]
}

func (d *Demo) change(ctx context.Context, domain, state string, at *time.Time) error {
	*at = time.Now()
	if err := d.deployment.SetFailureDomainState(ctx, domain, state); err != nil {
		return err
	}
	d.say("failure domain %s is %s", domain, state)
	return nil
}

// reportProgress prints a line at intervals until the returned function is called.
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
				d.say("%d requests sent, %d open", sent, open)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func (d *Demo) stop(ctx context.Context) error {
	d.say("stopping all processes")
	ctx, cancel := context.WithTimeout(ctx, stopPeriod)
	defer cancel()
	return errors.Wrap(d.deployment.Stop(ctx), "graceful stop")
}
