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
	// reportInterval is the time between two reads of the upstream's report.
	reportInterval = 250 * time.Millisecond
	// reportTimeout bounds each call to the upstream other than the requests of entries.
	reportTimeout = time.Second
	// failureThreshold is the number of reports in a row that must fail before an upstream counts as not responding. One
	// lost report during a long step is not a failure.
	failureThreshold = 2
)

// byteOffset is an offset in the body of a response.
type byteOffset = identifier.Bytes

// attempt identifies the response to one attempt of a request. Its run is nil if the run has ended.
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

// upstream polls the reports of the agent's upstream and holds the runs on it. One of engine and service is nil.
type upstream struct {
	agent   *Agent
	engine  *driver.Engine
	service *driver.Service
	ready   atomic.Bool
	// awaitsMap is set while the engine waits for the first expert map of its group.
	awaitsMap atomic.Bool
	// stepTime is the step time of the last report, in nanoseconds.
	stepTime atomic.Int64

	mu   sync.Mutex
	runs map[runKey]*run
	// boot is the boot id of the last report.
	boot identifier.Boot
	// failures counts the reports in a row that have failed.
	failures int

	// crashMu is held while a crash is confirmed and recorded; lastCrashedBoot is the boot id of the last one.
	crashMu         sync.Mutex
	lastCrashedBoot identifier.Boot
}

func newUpstream(a *Agent) *upstream {
	u := &upstream{agent: a, runs: map[runKey]*run{}}
	u.engine, u.service = newDrivers(a.settings)
	return u
}

func (u *upstream) add(r *run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[runKey{r.dispatch.Request, r.dispatch.Attempt}] = r
}

func (u *upstream) remove(r *run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.runs, runKey{r.dispatch.Request, r.dispatch.Attempt})
}

func (u *upstream) find(m messenger.Attach) *run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[runKey{m.Request, m.Attempt}]
}

func (u *upstream) runCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.runs)
}

// pollReports reads a report every reportInterval until ctx ends.
func (u *upstream) pollReports(ctx context.Context) error {
	for {
		u.pollReport(ctx)
		if !waiter.For(ctx, reportInterval) {
			return nil
		}
	}
}

// pollReport reads and applies one report. It reports whether the upstream was lost: it has restarted since the last
// report, or failureThreshold reports in a row have failed.
func (u *upstream) pollReport(ctx context.Context) (lost bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := u.fetchReport(ctx)
	if ctx.Err() != nil && err != nil {
		// An upstream whose report times out is slow, not down.
		return false
	}
	u.mu.Lock()
	if err != nil {
		u.failures++
		lost = u.failures >= failureThreshold
		u.mu.Unlock()
		if lost {
			u.setReady(false)
		}
		return lost
	}
	u.failures = 0
	lost = u.boot != "" && report.Boot != u.boot
	u.boot = report.Boot
	u.mu.Unlock()
	if lost {
		u.agent.log.Event(logger.EventUpstreamFailed).Str("cause", "upstream restarted").Send()
		u.agent.admission.markCold("upstream restarted")
	}
	u.stepTime.Store(int64(report.StepTime))
	u.agent.member.reportEngine(report)
	u.setAwaitsMap(len(report.ExpertTokens) > 0 && report.MapVersion == 0)
	u.setReady(true)
	return lost
}

// fetchReport reads the report of the engine or service.
func (u *upstream) fetchReport(ctx context.Context) (driver.Report, error) {
	if u.service != nil {
		return u.service.Report(ctx)
	}
	return u.engine.Report(ctx)
}

// setAwaitsMap sets whether the engine waits for its first expert map. Until then the engine is drained, since requests
// would wait in it.
func (u *upstream) setAwaitsMap(awaits bool) {
	if u.awaitsMap.Swap(awaits) != awaits {
		u.agent.applyState()
	}
}

// setReady sets whether the upstream responds. One that stops responding counts as cold, since it restarts cold.
func (u *upstream) setReady(ready bool) {
	if u.ready.Swap(ready) == ready {
		return
	}
	if !ready {
		u.agent.log.Event(logger.EventUpstreamFailed).Str("cause", "upstream does not answer").Send()
		u.agent.admission.markCold("upstream does not answer")
	}
	u.agent.applyState()
}

// currentBoot returns the boot id of the last report.
func (u *upstream) currentBoot() identifier.Boot {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.boot
}

// confirmCrash is called when the response to a request that started under a boot id broke off. It reports whether the
// upstream crashed, and returns the crash. It records each crash once.
func (u *upstream) confirmCrash(ctx context.Context, boot identifier.Boot) (identifier.Crash, bool) {
	crash := identifier.Crash(string(u.agent.settings.Upstream) + "/" + string(boot))
	// A run is removed from the running digests after this returns. If it were removed before the crash is recorded, the
	// crash would not count for its digest.
	u.crashMu.Lock()
	defer u.crashMu.Unlock()
	if boot != "" && u.lastCrashedBoot == boot {
		return crash, true
	}
	if !u.hasCrashed(ctx, boot) {
		return "", false
	}
	u.lastCrashedBoot = boot
	u.agent.admission.recordCrash(crash)
	// No request starts until a report has the next boot id. If a request started under the old boot id, its own crash
	// would be taken for this one.
	u.setReady(false)
	return crash, true
}

// hasCrashed reports whether the upstream has crashed since it had a boot id: its report fails, for example because it
// refuses the connection, or has another boot id.
func (u *upstream) hasCrashed(ctx context.Context, boot identifier.Boot) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := u.fetchReport(ctx)
	if err != nil {
		return true
	}
	return report.Boot != boot
}
