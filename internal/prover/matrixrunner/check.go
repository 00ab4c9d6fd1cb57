package matrixrunner

import (
	"context"
	"fmt"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
	"currantledge.example/currantledge/internal/standin/simulator"
)

const (
	// spreadPeriod is the time after which an accepted change is in force everywhere.
	spreadPeriod = 6 * time.Second
	// catchUpPeriod is the time in which a process that was cut off or frozen catches up.
	catchUpPeriod = 3 * time.Second
	maxProblems   = 12
	// fallPeriod is longer than the 2 s in which a stand-in that fell over does not answer.
	fallPeriod = 5 * time.Second
)

// check checks all guarantees after the load has ended.
func (t *trial) check(ctx context.Context) {
	t.checkRevisions(ctx)
	t.checkConflicts()
	records, err := t.collect(ctx)
	if err != nil {
		t.fail("%v", err)
		return
	}
	exchanges := t.log.Exchanges()
	report := recorder.Examine(exchanges, records)
	for _, v := range report.Violations {
		t.fail("%s", v)
	}
	crashed := crashedRequests(records)
	for _, v := range report.Verdicts[t.examined:] {
		t.checkVerdict(v, crashed[v.Exchange.Request])
	}
	t.examined = len(exchanges)
	t.checkClosures(records)
	t.checkFalls(records)
	if len(t.problems) > maxProblems {
		t.problems = append(t.problems[:maxProblems], fmt.Sprintf("and %d more", len(t.problems)-maxProblems))
	}
}

// collect reads the records of all stand-ins. One that fell over does not answer for a while.
func (t *trial) collect(ctx context.Context) ([]recorder.SourceRecord, error) {
	deadline := time.Now().Add(fallPeriod)
	for {
		records, err := recorder.Collect(ctx, recorder.SourcesOf(t.Deployment))
		if err == nil || time.Now().After(deadline) || !waiter.For(ctx, monitorInterval) {
			return records, err
		}
	}
}

// crashedRequests returns the requests that ran on an upstream when it fell over.
func crashedRequests(records []recorder.SourceRecord) map[string]bool {
	crashed := map[string]bool{}
	for _, r := range records {
		for _, call := range r.Record.Calls {
			if call.Outcome == simulator.OutcomeCrashed {
				crashed[call.Request] = true
			}
		}
	}
	return crashed
}

// checkVerdict checks that a caller got a whole answer or a truthful problem, and that planned stops cut nothing. What
// ran on an upstream that fell over was not cut by the planned stop.
func (t *trial) checkVerdict(v recorder.Verdict, crashed bool) {
	e := v.Exchange
	t.longest = max(t.longest, e.End.Sub(e.Start))
	named := fmt.Sprintf("request %q at %s, sent %s", e.Request, e.EntryURL, e.Start.Format("15:04:05.000"))
	if e.Abandoned {
		t.fail("%s got no answer within %v", named, answerPeriod)
		return
	}
	if v.Outcome != recorder.OutcomeCut || t.broken[e.EntryURL] {
		return
	}
	if v.Detail != recorder.DetailErrorEvent {
		t.fail("%s broke off without a problem: %s", named, v.Detail)
		return
	}
	if t.planned && !t.cell.severs() && !crashed {
		t.fail("%s was cut by a planned stop: %s", named, v.Cause)
	}
}

// checkClosures checks that an agent whose domain is out, or whose upstream is leaving, got no new work.
func (t *trial) checkClosures(records []recorder.SourceRecord) {
	for _, c := range t.closures {
		from := c.from.Add(closedPeriod)
		if healed, found := t.healed[c.agent.Name]; found && healed.Add(catchUpPeriod).After(from) {
			from = healed.Add(catchUpPeriod)
		}
		for _, r := range records {
			if r.Source.Name != c.agent.Standin.Name {
				continue
			}
			for _, call := range r.Record.Calls {
				if call.Start.After(from) && call.Start.Before(c.to) {
					t.fail("%s got new work %v after the change was accepted: request %s", c.agent.Name, call.Start.Sub(c.from), call.Request)
				}
			}
		}
	}
}

// checkFalls checks that no upstream fell over but by the crashing request.
func (t *trial) checkFalls(records []recorder.SourceRecord) {
	falls := 0
	for _, r := range records {
		falls += r.Record.Crashes
	}
	if fell := falls - t.falls; fell > t.crashes {
		t.fail("upstreams fell over %d times, at most %d are allowed", fell, t.crashes)
	}
	t.falls = falls
}

// checkRevisions waits until every process has all accepted revisions and checks that none was late or fell back.
func (t *trial) checkRevisions(ctx context.Context) {
	for _, n := range t.Nodes() {
		for _, c := range t.changes {
			t.checkSpread(ctx, n, c)
		}
	}
	for _, fall := range t.monitor.fallen() {
		t.fail("%s", fall)
	}
}

func (t *trial) checkSpread(ctx context.Context, n *launcher.Node, c change) {
	deadline := c.at.Add(spreadPeriod)
	if healed, found := t.healed[n.Name]; found && healed.Add(t.catchUp(n)).After(deadline) {
		deadline = healed.Add(t.catchUp(n))
	}
	for {
		reached, late := t.monitor.reached(n.Name, t.pid(n), c.revision, deadline)
		if late {
			t.fail("%s had not revision %d at the deadline, accepted at %s", n.Name, c.revision, c.at.Format("15:04:05.000"))
			return
		}
		if reached {
			return
		}
		if time.Now().After(deadline.Add(healPeriod)) || !waiter.For(ctx, monitorInterval) {
			t.fail("%s reports no revision", n.Name)
			return
		}
	}
}

// catchUp returns how long a node may take after it can be reached again. A new process has the time of a change.
func (t *trial) catchUp(n *launcher.Node) time.Duration {
	if t.restarted[n.Name] {
		return spreadPeriod
	}
	return catchUpPeriod
}

// checkConflicts checks that no two changes of the same resource that were based on the same revision were accepted.
func (t *trial) checkConflicts() {
	revisions, matches := map[uint64]bool{}, map[string]bool{}
	for _, c := range t.changes {
		if revisions[c.revision] {
			t.fail("revision %d was given to two changes", c.revision)
		}
		revisions[c.revision] = true
		if c.match != "" && matches[c.match] {
			t.fail("two changes based on revision %s were accepted", c.match)
		}
		matches[c.match] = true
	}
}
