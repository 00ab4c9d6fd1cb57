package agentrunner

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/granter"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/request/quarantiner"
	"currantledge.example/currantledge/internal/version/declarer"
)

// admission decides which dispatched requests may start. It makes the granter and the quarantiner safe for concurrent use
// and sends the grants to the entries.
type admission struct {
	agent *Agent

	mu          sync.Mutex
	granter     *granter.Granter
	quarantiner *quarantiner.Quarantiner
	// runningDigests counts the running requests of each digest.
	runningDigests map[identifier.Digest]int
	limits         granter.Limits
	// drainReason is why the upstream drains; empty while it is in service.
	drainReason string
	loggedLimit identifier.Credits
}

func newAdmission(a *Agent) *admission {
	return &admission{
		agent: a,
		granter: granter.New(granter.Config{
			Incarnation: a.incarnation,
			Share: func(c identifier.Customer) identifier.Share {
				return a.store.Snapshot().Customers[c].Share
			},
		}),
		quarantiner:    quarantiner.New(quarantiner.Config{}),
		runningDigests: map[identifier.Digest]int{},
	}
}

// withGranter calls step with the lock held, then logs a changed limit and sends the issued grants.
func (m *admission) withGranter(step func(now time.Time, g *granter.Granter) []granter.IssuedGrant) {
	m.mu.Lock()
	issued := step(time.Now(), m.granter)
	limit := m.granter.Load().Limit
	changed := limit != m.loggedLimit
	m.loggedLimit = limit
	cause := m.granter.ColdReason()
	m.mu.Unlock()
	if changed {
		m.agent.log.Event(logger.EventLimitChanged).Int("limit", int(limit)).Str("coldReason", cause).Send()
	}
	for _, g := range issued {
		m.agent.log.Event(logger.EventGranted).Str("entry", string(g.Entry)).Int("credits", int(g.Grant.Credits)).
			Bool("standing", g.Grant.Standing).Send()
		m.agent.entryLinks.enqueue(g.Entry, g.Grant)
	}
}

func (m *admission) tick() {
	m.withGranter(func(now time.Time, g *granter.Granter) []granter.IssuedGrant { return g.Tick(now) })
}

// configure sets the limits of the configuration and drains the upstream while drainReason is not empty.
func (m *admission) configure(u declarer.Upstream, drainReason string) {
	limits := granter.Limits{Cold: u.ColdLimit, Warm: u.WarmLimit, WarmAfter: u.WarmAfter}
	m.mu.Lock()
	changed := drainReason != m.drainReason
	m.drainReason = drainReason
	m.mu.Unlock()
	if changed {
		m.agent.log.RecordDecision(logger.Decision{
			Event: logger.EventDrainChanged, Choice: string(m.agent.settings.Upstream), Reason: orDefault(drainReason, "in service"),
		})
	}
	m.withGranter(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
		g.SetDraining(drainReason != "")
		if limits == m.limits {
			return g.Tick(now)
		}
		m.limits = limits
		return g.SetLimits(now, limits)
	})
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// admit checks the verdict on the digest of a request, then uses a credit for it. An empty reason means that the request
// is admitted.
func (m *admission) admit(entry identifier.Node, d messenger.Dispatch) messenger.Reason {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch m.quarantiner.Verdict(now, d.Digest) {
	case quarantiner.VerdictRefuse:
		m.returnCredit(now, entry, d.Serial)
		return messenger.ReasonQuarantined
	case quarantiner.VerdictAlone:
		if m.runningDigests[d.Digest] > 0 {
			m.returnCredit(now, entry, d.Serial)
			return messenger.ReasonOverloaded
		}
	case quarantiner.VerdictClear:
	}
	reason := m.granter.Admit(now, entry, granter.Admission{
		Request: d.Request, Customer: d.Customer, Incarnation: d.Incarnation, Serial: d.Serial,
	})
	if reason == "" {
		m.runningDigests[d.Digest]++
	}
	return reason
}

// returnCredit returns the credit of a refused request, which would otherwise be held until it expires.
func (m *admission) returnCredit(now time.Time, entry identifier.Node, serial identifier.Serial) {
	for _, g := range m.granter.ReturnCredits(now, entry, messenger.ReturnGrant{Serial: serial, Credits: 1}) {
		m.agent.entryLinks.enqueue(g.Entry, g.Grant)
	}
}

// finish ends an admitted request, whose capacity becomes free.
func (m *admission) finish(d messenger.Dispatch, succeeded bool) {
	m.mu.Lock()
	m.runningDigests[d.Digest]--
	if m.runningDigests[d.Digest] == 0 {
		delete(m.runningDigests, d.Digest)
	}
	m.mu.Unlock()
	m.withGranter(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
		return g.Finish(now, d.Request, succeeded)
	})
}

func (m *admission) recordFirstToken(id identifier.Request, after time.Duration) {
	m.withGranter(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
		g.RecordFirstToken(now, id, after)
		return nil
	})
}

// markCold restarts the slow start of the upstream.
func (m *admission) markCold(reason string) {
	m.withGranter(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
		g.MarkCold(now, reason)
		return nil
	})
}

// recordCrash records the digests that were running when the upstream crashed, and reports them to the entries
// immediately.
func (m *admission) recordCrash(crash identifier.Crash) {
	m.mu.Lock()
	running := make([]identifier.Digest, 0, len(m.runningDigests))
	for d := range m.runningDigests {
		running = append(running, d)
	}
	m.quarantiner.RecordCrash(time.Now(), crash, running)
	m.mu.Unlock()
	for _, d := range running {
		m.agent.log.Event(logger.EventDigestSuspected).Str("digest", string(d)).Send()
	}
	m.agent.entryLinks.triggerHeartbeats()
}

func (m *admission) mergeSuspicions(s []messenger.Suspicion) {
	if len(s) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quarantiner.Merge(time.Now(), s)
}

func (m *admission) suspicions() []messenger.Suspicion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.quarantiner.Suspicions(time.Now())
}

func (m *admission) load() messenger.Load {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.granter.Load()
}
