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

// admission shares the granter and the quarantiner between goroutines and sends what the granter issues.
type admission struct {
	agent *Agent

	mu          sync.Mutex
	granter     *granter.Granter
	quarantiner *quarantiner.Quarantiner
	digests     map[identifier.Digest]int
	limits      granter.Limits
	reason      string
	limit       identifier.Credits
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
		quarantiner: quarantiner.New(quarantiner.Config{}),
		digests:     map[identifier.Digest]int{},
	}
}

// update runs a step of the granter and sends what it issued.
func (m *admission) update(step func(now time.Time, g *granter.Granter) []granter.IssuedGrant) {
	m.mu.Lock()
	issues := step(time.Now(), m.granter)
	limit := m.granter.Load().Limit
	changed := limit != m.limit
	m.limit = limit
	cause := m.granter.ColdReason()
	m.mu.Unlock()
	if changed {
		m.agent.log.Event(logger.EventLimitChanged).Int("limit", int(limit)).Str("coldReason", cause).Send()
	}
	for _, issue := range issues {
		m.agent.log.Event(logger.EventGranted).Str("entry", string(issue.Entry)).Int("credits", int(issue.Grant.Credits)).
			Bool("standing", issue.Grant.Standing).Send()
		m.agent.links.post(issue.Entry, issue.Grant)
	}
}

func (m *admission) tick() {
	m.update(func(now time.Time, g *granter.Granter) []granter.IssuedGrant { return g.Tick(now) })
}

// apply takes the limits from the configuration and drains while there is a reason to.
func (m *admission) apply(u declarer.Upstream, reason string) {
	limits := granter.Limits{Cold: u.ColdLimit, Warm: u.WarmLimit, WarmAfter: u.WarmAfter}
	m.mu.Lock()
	changed := reason != m.reason
	m.reason = reason
	m.mu.Unlock()
	if changed {
		m.agent.log.Decide(logger.Decision{
			Event: logger.EventDraining, Choice: string(m.agent.settings.Upstream), Reason: orElse(reason, "in service"),
		})
	}
	m.update(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
		g.SetDraining(reason != "")
		if limits == m.limits {
			return g.Tick(now)
		}
		m.limits = limits
		return g.SetLimits(now, limits)
	})
}

func orElse(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// admit uses a credit for a request. The verdict on its digest is taken first.
func (m *admission) admit(entry identifier.Node, d messenger.Dispatch) messenger.Reason {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch m.quarantiner.Verdict(now, d.Digest) {
	case quarantiner.VerdictRefuse:
		m.giveBack(now, entry, d.Serial)
		return messenger.ReasonQuarantined
	case quarantiner.VerdictAlone:
		if m.digests[d.Digest] > 0 {
			m.giveBack(now, entry, d.Serial)
			return messenger.ReasonOverloaded
		}
	case quarantiner.VerdictClear:
	}
	reason := m.granter.Admit(now, entry, granter.Admission{
		Request: d.Request, Customer: d.Customer, Incarnation: d.Incarnation, Serial: d.Serial,
	})
	if reason == "" {
		m.digests[d.Digest]++
	}
	return reason
}

// giveBack returns the credit of a refused request, which would otherwise be held until it expires.
func (m *admission) giveBack(now time.Time, entry identifier.Node, serial identifier.Serial) {
	for _, issue := range m.granter.ReturnCredits(now, entry, messenger.ReturnGrant{Serial: serial, Credits: 1}) {
		m.agent.links.post(issue.Entry, issue.Grant)
	}
}

// finish gives the capacity of a request back.
func (m *admission) finish(d messenger.Dispatch, succeeded bool) {
	m.mu.Lock()
	m.digests[d.Digest]--
	if m.digests[d.Digest] == 0 {
		delete(m.digests, d.Digest)
	}
	m.mu.Unlock()
	m.update(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
		return g.Finish(now, d.Request, succeeded)
	})
}

func (m *admission) firstToken(id identifier.Request, after time.Duration) {
	m.update(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
		g.RecordFirstToken(now, id, after)
		return nil
	})
}

// cool starts the slow start again.
func (m *admission) cool(reason string) {
	m.update(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
		g.MarkCold(now, reason)
		return nil
	})
}

// crashed marks the digests that ran when the upstream died and tells entries at once.
func (m *admission) crashed(crash identifier.Crash) {
	m.mu.Lock()
	running := make([]identifier.Digest, 0, len(m.digests))
	for d := range m.digests {
		running = append(running, d)
	}
	m.quarantiner.RecordCrash(time.Now(), crash, running)
	m.mu.Unlock()
	for _, d := range running {
		m.agent.log.Event(logger.EventSuspected).Str("digest", string(d)).Send()
	}
	m.agent.links.beat()
}

func (m *admission) merge(s []messenger.Suspicion) {
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
