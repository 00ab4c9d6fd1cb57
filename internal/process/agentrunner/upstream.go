package agentrunner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/waiter"
)

const (
	reportInterval = 250 * time.Millisecond
	reportTimeout  = time.Second
	// failedReports is how many reports in a row must fail before an upstream counts as not answering. One lost
	// report during a long step is no failure.
	failedReports = 2
)

// bytes is an offset in an answer.
type bytes = identifier.Bytes

// attempt names an answer; run is nil if it has ended and was forgotten.
type attempt struct {
	request  identifier.Request
	number   identifier.Attempt
	customer identifier.Customer
	run      *run
}

type runKey struct {
	request identifier.Request
	number  identifier.Attempt
}

// upstream watches the upstream and runs requests on it.
type upstream struct {
	agent   *Agent
	engine  *driver.Engine
	service *driver.Service
	ready   atomic.Bool
	// mapless is set while the engine waits for the first expert map of its group.
	mapless  atomic.Bool
	stepTime atomic.Int64

	mu     sync.Mutex
	runs   map[runKey]*run
	boot   identifier.Boot
	failed int

	// deaths is held while a death is found and counted.
	deaths  sync.Mutex
	crashed identifier.Boot
}

func newUpstream(a *Agent) *upstream {
	u := &upstream{agent: a, runs: map[runKey]*run{}}
	u.engine, u.service = newDrivers(a.settings)
	return u
}

func (u *upstream) begin(r *run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[runKey{r.dispatch.Request, r.dispatch.Attempt}] = r
}

func (u *upstream) end(r *run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.runs, runKey{r.dispatch.Request, r.dispatch.Attempt})
}

func (u *upstream) find(m messenger.Attach) *run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[runKey{m.Request, m.Attempt}]
}

func (u *upstream) open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.runs)
}

// watch reads reports until ctx ends.
func (u *upstream) watch(ctx context.Context) error {
	for {
		u.probe(ctx)
		if !waiter.For(ctx, reportInterval) {
			return nil
		}
	}
}

// probe reads one report and tells whether the upstream has died since the last one.
func (u *upstream) probe(ctx context.Context) (died bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := u.report(ctx)
	if ctx.Err() != nil && err != nil {
		// A report that takes too long is a slow upstream, not a dead one.
		return false
	}
	u.mu.Lock()
	if err != nil {
		u.failed++
		died = u.failed >= failedReports
		u.mu.Unlock()
		if died {
			u.setReady(false)
		}
		return died
	}
	u.failed = 0
	died = u.boot != "" && report.Boot != u.boot
	u.boot = report.Boot
	u.mu.Unlock()
	if died {
		u.agent.log.Event(logger.EventUpstreamFailed).Str("cause", "upstream restarted").Send()
		u.agent.admission.cool("upstream restarted")
	}
	u.stepTime.Store(int64(report.StepTime))
	u.agent.member.report(report)
	u.setMapless(len(report.ExpertTokens) > 0 && report.MapVersion == 0)
	u.setReady(true)
	return died
}

func (u *upstream) report(ctx context.Context) (driver.Report, error) {
	if u.service != nil {
		return u.service.Report(ctx)
	}
	return u.engine.Report(ctx)
}

// setMapless keeps requests away from an engine that would let them wait for its first map.
func (u *upstream) setMapless(mapless bool) {
	if u.mapless.Swap(mapless) != mapless {
		u.agent.adopted()
	}
}

// setReady cools the upstream down when it stops answering, since it comes back cold.
func (u *upstream) setReady(ready bool) {
	if u.ready.Swap(ready) == ready {
		return
	}
	if !ready {
		u.agent.log.Event(logger.EventUpstreamFailed).Str("cause", "upstream does not answer").Send()
		u.agent.admission.cool("upstream does not answer")
	}
	u.agent.adopted()
}

// current returns the boot id that the upstream reported last.
func (u *upstream) current() identifier.Boot {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.boot
}

// broke is called when a request that started under a boot id lost its upstream. It names the death if the upstream
// itself died, and counts each death once.
func (u *upstream) broke(ctx context.Context, boot identifier.Boot) (identifier.Crash, bool) {
	crash := identifier.Crash(string(u.agent.settings.Upstream) + "/" + string(boot))
	// A run leaves the running set when this returns. If it did so before the death is counted, the death would not be
	// counted against its digest.
	u.deaths.Lock()
	defer u.deaths.Unlock()
	if boot != "" && u.crashed == boot {
		return crash, true
	}
	if !u.diedSince(ctx, boot) {
		return "", false
	}
	u.crashed = boot
	u.agent.admission.crashed(crash)
	// Nothing starts until a report names the next boot. A request that started under the old boot id would have its
	// own crash taken for this one.
	u.setReady(false)
	return crash, true
}

// diedSince asks the upstream for its boot id. An upstream that refuses the connection or has another boot id has
// died.
func (u *upstream) diedSince(ctx context.Context, boot identifier.Boot) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := u.report(ctx)
	if err != nil {
		return true
	}
	return report.Boot != boot
}
