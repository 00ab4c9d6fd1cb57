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

// leadership is the state of the leader while the lease is held.
type leadership struct {
	fence     identifier.Fence
	machine   *switcher.Leader
	estimator *placer.Estimator
	// newestReports holds the newest report of each rank, countedReports the one that the last estimate used.
	newestReports  map[identifier.Rank]progressReport
	countedReports map[identifier.Rank]progressReport
	// estimatedAt and plannedAt are the times of the last estimate and plan. plannedJumps counts the sudden changes of
	// popularity up to the last plan.
	estimatedAt  time.Time
	plannedAt    time.Time
	plannedJumps int
}

// progressReport is the progress of a rank and its tokens since its engine booted, by expert.
type progressReport struct {
	switcher.Progress
	tokens []identifier.Tokens
}

// updateLeadership starts a leader when the lease is acquired and stops it when the lease is lost.
func (c *Coordinator) updateLeadership(ctx context.Context, now time.Time) {
	fence, held := c.cfg.Lease.Held(now)
	if c.leader != nil && (!held || fence != c.leader.fence) {
		c.cfg.Log.Event(logger.EventLeaseLost).Str("group", string(c.cfg.Group)).Uint64("fence", uint64(c.leader.fence)).Send()
		c.leader.machine.Step(now, switcher.LeaseLost{})
		c.leader = nil
	}
	if !held || c.leader != nil {
		return
	}
	c.cfg.Log.Event(logger.EventLeaseAcquired).Str("group", string(c.cfg.Group)).Uint64("fence", uint64(fence)).Send()
	c.leader = &leadership{
		fence:          fence,
		machine:        switcher.NewLeader(switcher.DefaultLeaderConfig(fence, c.cfg.Ranks)),
		estimator:      placer.NewEstimator(placer.DefaultEstimatorConfig(c.cfg.Describe().Experts, c.cfg.Ranks)),
		newestReports:  map[identifier.Rank]progressReport{},
		countedReports: map[identifier.Rank]progressReport{},
		estimatedAt:    now,
	}
	c.stepLeader(ctx, now, switcher.Tick{})
}

// handleProgress records the report of a rank and passes its progress to the leader, if this process leads.
func (c *Coordinator) handleProgress(ctx context.Context, now time.Time, p progressReport) {
	if c.leader == nil {
		return
	}
	// The local time of arrival replaces the time of the report, since the clocks of VMs differ.
	p.AsOf = now
	c.leader.newestReports[p.Rank] = p
	c.stepLeader(ctx, now, p.Progress)
}

// plan updates the estimate of popularity. It proposes a better map every PlanInterval, and at once after a sudden
// change.
func (c *Coordinator) plan(ctx context.Context, now time.Time) {
	l := c.leader
	if now.Sub(l.estimatedAt) < estimateInterval {
		return
	}
	l.estimatedAt = now
	current := l.machine.Row().Record.Committed.Map
	if len(current.Experts) > 0 {
		l.estimator.Observe(now, current, l.measurements(now))
	}
	due := now.Sub(l.plannedAt) >= c.cfg.PlanInterval || l.estimator.Jumps() > l.plannedJumps
	if !due || l.machine.Busy() || len(l.newestReports) < c.cfg.Ranks {
		return
	}
	l.plannedAt, l.plannedJumps = now, l.estimator.Jumps()
	group := c.cfg.Describe()
	for r, speed := range l.estimator.Speeds() {
		if r < len(group.Ranks) {
			group.Ranks[r].Speed = speed
		}
	}
	decision, err := placer.Plan(placer.Input{
		Policy: c.cfg.Policy, Current: current, Popularity: l.estimator.Forecast(c.cfg.PlanInterval),
		Ranks: group.Ranks, ExpertBytes: group.ExpertBytes,
	})
	if err != nil {
		c.cfg.Log.Event(logger.EventPlacementPlanned).Str("group", string(c.cfg.Group)).AnErr("cause", err).Send()
		return
	}
	if !decision.Changed {
		return
	}
	c.cfg.Log.RecordDecision(logger.Decision{
		Event: logger.EventPlacementPlanned, Choice: string(c.cfg.Group), Reason: string(decision.Reason), Fields: []logger.Field{
			{Name: "bytes", Value: fmt.Sprint(decision.Bytes)},
			{Name: "skewBefore", Value: fmt.Sprintf("%.3f", decision.SkewBefore)},
			{Name: "skewAfter", Value: fmt.Sprintf("%.3f", decision.SkewAfter)},
		},
	})
	c.stepLeader(ctx, now, switcher.Propose{Map: decision.Map})
}

// measurements returns the tokens that each rank has processed since the last estimate. It leaves out ranks whose
// reports are missing or too old.
func (l *leadership) measurements(now time.Time) []placer.Report {
	var out []placer.Report
	for rank, p := range l.newestReports {
		counted, ok := l.countedReports[rank]
		l.countedReports[rank] = p
		if !ok || now.Sub(p.AsOf) > maxReportAge || len(counted.tokens) != len(p.tokens) || p.Step <= counted.Step {
			continue
		}
		report := placer.Report{Rank: rank, ComputeTime: time.Duration(p.Step-counted.Step) * p.StepTime}
		for i := range p.tokens {
			// An engine that has restarted counts from 0 again.
			report.Tokens = append(report.Tokens, max(0, p.tokens[i]-counted.tokens[i]))
		}
		out = append(out, report)
	}
	return out
}

// logOutcome logs how a proposal ended.
func (c *Coordinator) logOutcome(a switcher.Finished) {
	c.cfg.Log.RecordDecision(logger.Decision{
		Event: logger.EventMapDecided, Choice: string(c.cfg.Group), Reason: string(a.Outcome),
		Fields: []logger.Field{{Name: "version", Value: fmt.Sprint(a.Version)}},
	})
}
