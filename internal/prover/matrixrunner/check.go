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
	// propagationTimeout is the longest time until all processes have adopted an accepted change.
	propagationTimeout = 6 * time.Second
	// catchUpTimeout is the longest time until a process that was cut off or frozen has caught up.
	catchUpTimeout = 3 * time.Second
	// maxProblems bounds the problems that are reported for a cell.
	maxProblems = 12
	// crashRecoveryTimeout is longer than the 2 s for which a crashed stand-in does not respond.
	crashRecoveryTimeout = 5 * time.Second
)

// check checks all guarantees. It is called after the load has stopped.
func (t *cellTest) check(ctx context.Context) {
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
	for _, v := range report.Verdicts[t.checkedExchanges:] {
		t.checkVerdict(v, crashed[v.Exchange.Request])
	}
	t.checkedExchanges = len(exchanges)
	t.checkExclusions(records)
	t.checkCrashes(records)
	if len(t.problems) > maxProblems {
		t.problems = append(t.problems[:maxProblems], fmt.Sprintf("and %d more", len(t.problems)-maxProblems))
	}
}

// collect reads the records of all stand-ins. It retries for crashRecoveryTimeout, since crashed stand-ins do not
// respond.
func (t *cellTest) collect(ctx context.Context) ([]recorder.SourceRecord, error) {
	deadline := time.Now().Add(crashRecoveryTimeout)
	for {
		records, err := recorder.Collect(ctx, recorder.SourcesOf(t.Deployment))
		if err == nil || time.Now().After(deadline) || !waiter.For(ctx, pollInterval) {
			return records, err
		}
	}
}

// crashedRequests returns the requests that were running on an upstream when it crashed.
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

// checkVerdict checks that the caller received a response in time, that a cut response ended with problem details, and
// that planned stops cut no response. Cut responses of an entry that the fault killed are exempt from the last two
// checks. Requests that were running on an upstream when it crashed, and cells whose faults interrupt streams, are
// exempt from the last one.
func (t *cellTest) checkVerdict(v recorder.Verdict, crashed bool) {
	e := v.Exchange
	t.longestResponse = max(t.longestResponse, e.End.Sub(e.Start))
	label := fmt.Sprintf("request %q at %s, sent %s", e.Request, e.EntryURL, e.Start.Format("15:04:05.000"))
	if e.Abandoned {
		t.fail("%s received no response within %v", label, responseTimeout)
		return
	}
	if v.Outcome != recorder.OutcomeCut || t.killedEntries[e.EntryURL] {
		return
	}
	if v.Detail != recorder.DetailErrorEvent {
		t.fail("%s was cut without an error event that holds a problem: %s", label, v.Detail)
		return
	}
	if t.plannedStop && !t.cell.interruptsStreams() && !crashed {
		t.fail("%s was cut by a planned stop: %s", label, v.Cause)
	}
}

// checkExclusions checks that an agent received no new work while its failure domain was out or its upstream leaving.
func (t *cellTest) checkExclusions(records []recorder.SourceRecord) {
	for _, x := range t.exclusions {
		from := x.from.Add(exclusionDelay)
		if reachable, found := t.reachableSince[x.agent.Name]; found && reachable.Add(catchUpTimeout).After(from) {
			from = reachable.Add(catchUpTimeout)
		}
		for _, r := range records {
			if r.Source.Name != x.agent.Standin.Name {
				continue
			}
			for _, call := range r.Record.Calls {
				if call.Start.After(from) && call.Start.Before(x.to) {
					t.fail("%s received new work %v after the change was accepted: request %s", x.agent.Name, call.Start.Sub(x.from), call.Request)
				}
			}
		}
	}
}

// checkCrashes checks that upstreams crashed only as often as the faults of the cell allow.
func (t *cellTest) checkCrashes(records []recorder.SourceRecord) {
	crashes := 0
	for _, r := range records {
		crashes += r.Record.Crashes
	}
	if count := crashes - t.earlierCrashes; count > t.allowedCrashes {
		t.fail("upstreams crashed %d times, at most %d crashes are allowed", count, t.allowedCrashes)
	}
	t.earlierCrashes = crashes
}

// checkRevisions waits until every process has adopted all accepted revisions. It checks that each did so in time and
// that no process went back to an earlier revision.
func (t *cellTest) checkRevisions(ctx context.Context) {
	for _, n := range t.Nodes() {
		for _, c := range t.changes {
			t.checkPropagation(ctx, n, c)
		}
	}
	for _, regression := range t.monitor.regressions() {
		t.fail("%s", regression)
	}
}

func (t *cellTest) checkPropagation(ctx context.Context, n *launcher.Node, c change) {
	deadline := c.at.Add(propagationTimeout)
	if reachable, found := t.reachableSince[n.Name]; found && reachable.Add(t.catchUpLimit(n)).After(deadline) {
		deadline = reachable.Add(t.catchUpLimit(n))
	}
	for {
		reached, late := t.monitor.reached(n.Name, t.pid(n), c.revision, deadline)
		if late {
			t.fail("%s did not have revision %d at the deadline; the change was accepted at %s", n.Name, c.revision, c.at.Format("15:04:05.000"))
			return
		}
		if reached {
			return
		}
		if time.Now().After(deadline.Add(recoveryTimeout)) || !waiter.For(ctx, pollInterval) {
			t.fail("%s did not report its revision", n.Name)
			return
		}
	}
}

// catchUpLimit returns the longest time that a node may take to catch up once it is reachable again. A restarted
// process loads its configuration again and has as long as a change takes to propagate.
func (t *cellTest) catchUpLimit(n *launcher.Node) time.Duration {
	if t.restarted[n.Name] {
		return propagationTimeout
	}
	return catchUpTimeout
}

// checkConflicts checks that no revision was assigned twice, and that of several changes that required the same ETag at
// most one was accepted.
func (t *cellTest) checkConflicts() {
	revisions, etags := map[uint64]bool{}, map[string]bool{}
	for _, c := range t.changes {
		if revisions[c.revision] {
			t.fail("revision %d was assigned to two changes", c.revision)
		}
		revisions[c.revision] = true
		if c.etag != "" && etags[c.etag] {
			t.fail("two changes based on ETag %s were accepted", c.etag)
		}
		etags[c.etag] = true
	}
}
