package coordinator

import (
	"context"
	"fmt"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/version/placer"
	"currantledge.example/currantledge/internal/version/switcher"
)

// leadership is the state of the leader between gaining and losing the lease.
type leadership struct {
	fence     identifier.Fence
	machine   *switcher.Leader
	estimator *placer.Estimator
	// reports holds the newest report of each rank, counted the one before it that was used for an estimate.
	reports map[identifier.Rank]progressReport
	counted map[identifier.Rank]progressReport
	// observed and planned are the times of the last estimate and plan, jumps the sudden changes that were planned for.
	observed time.Time
	planned  time.Time
	jumps    int
}

// progressReport is the progress of a rank with its tokens by expert since its engine booted.
type progressReport struct {
	switcher.Progress
	tokens []identifier.Tokens
}

// lead starts a leader when the lease is gained and ends it when it is lost.
func (c *Coordinator) lead(ctx context.Context, now time.Time) {
	fence, held := c.cfg.Lease.Held(now)
	if c.leader != nil && (!held || fence != c.leader.fence) {
		c.cfg.Log.Event(logger.EventLeaseLost).Str("group", string(c.cfg.Group)).Uint64("fence", uint64(c.leader.fence)).Send()
		c.leader.machine.Step(now, switcher.Deposed{})
		c.leader = nil
	}
	if !held || c.leader != nil {
		return
	}
	c.cfg.Log.Event(logger.EventLeaseTaken).Str("group", string(c.cfg.Group)).Uint64("fence", uint64(fence)).Send()
	c.leader = &leadership{
		fence:     fence,
		machine:   switcher.NewLeader(switcher.DefaultLeader(fence, c.cfg.Ranks)),
		estimator: placer.NewEstimator(placer.DefaultEstimator(c.cfg.Describe().Experts, c.cfg.Ranks)),
		reports:   map[identifier.Rank]progressReport{},
		counted:   map[identifier.Rank]progressReport{},
		observed:  now,
	}
	c.stepLeader(ctx, now, switcher.Tick{})
}

// progress takes the report of a rank.
func (c *Coordinator) progress(ctx context.Context, now time.Time, p progressReport) {
	if c.leader == nil {
		return
	}
	// The time of arrival on this clock stands for the report's own, since clocks of VMs differ.
	p.AsOf = now
	c.leader.reports[p.Rank] = p
	c.stepLeader(ctx, now, p.Progress)
}

// plan proposes a better map from time to time, and at once after a sudden change of popularity.
func (c *Coordinator) plan(ctx context.Context, now time.Time) {
	l := c.leader
	if now.Sub(l.observed) < observeEvery {
		return
	}
	l.observed = now
	current := l.machine.Row().Record.Committed.Map
	if len(current.Experts) > 0 {
		l.estimator.Observe(now, current, l.measured(now))
	}
	due := now.Sub(l.planned) >= c.cfg.PlanEvery || l.estimator.Jumps() > l.jumps
	if !due || l.machine.Busy() || len(l.reports) < c.cfg.Ranks {
		return
	}
	l.planned, l.jumps = now, l.estimator.Jumps()
	group := c.cfg.Describe()
	for r, speed := range l.estimator.Speeds() {
		if r < len(group.Ranks) {
			group.Ranks[r].Speed = speed
		}
	}
	decision, err := placer.Plan(placer.Input{
		Policy: c.cfg.Policy, Current: current, Popularity: l.estimator.Forecast(c.cfg.PlanEvery),
		Ranks: group.Ranks, ExpertBytes: group.ExpertBytes,
	})
	if err != nil {
		c.cfg.Log.Event(logger.EventMapPlaced).Str("group", string(c.cfg.Group)).AnErr("cause", err).Send()
		return
	}
	if !decision.Changed {
		return
	}
	c.cfg.Log.Decide(logger.Decision{
		Event: logger.EventMapPlaced, Choice: string(c.cfg.Group), Reason: string(decision.Reason), Fields: []logger.Field{
			{Name: "bytes", Value: fmt.Sprint(decision.Bytes)},
			{Name: "skewBefore", Value: fmt.Sprintf("%.3f", decision.Before)},
			{Name: "skewAfter", Value: fmt.Sprintf("%.3f", decision.After)},
		},
	})
	c.stepLeader(ctx, now, switcher.Propose{Map: decision.Map})
}

// measured returns the tokens that each rank processed since the last estimate.
func (l *leadership) measured(now time.Time) []placer.Report {
	var out []placer.Report
	for rank, p := range l.reports {
		before, ok := l.counted[rank]
		l.counted[rank] = p
		if !ok || now.Sub(p.AsOf) > reportAge || len(before.tokens) != len(p.tokens) || p.Step <= before.Step {
			continue
		}
		report := placer.Report{Rank: rank, Busy: time.Duration(p.Step-before.Step) * p.StepTime}
		for i := range p.tokens {
			// An engine that restarted counts from 0 again.
			report.Tokens = append(report.Tokens, max(0, p.tokens[i]-before.tokens[i]))
		}
		out = append(out, report)
	}
	return out
}

func (c *Coordinator) finished(a switcher.Finished) {
	c.cfg.Log.Decide(logger.Decision{
		Event: logger.EventMapDecided, Choice: string(c.cfg.Group), Reason: string(a.Outcome),
		Fields: []logger.Field{{Name: "version", Value: fmt.Sprint(a.Version)}},
	})
}
