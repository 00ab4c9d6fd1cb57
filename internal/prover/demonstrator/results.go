package demonstrator

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	guaranteeDomainOut = "G3 no new work in a failure domain that is out"
	// maxShownViolations bounds the printed violations of each guarantee, so that one guarantee does not hide others.
	maxShownViolations = 4
	// maxShownCauses bounds the printed causes of requests that were not complete.
	maxShownCauses = 20
)

// printResults checks the exchanges against the records and prints the results, with the counts of outcomes in the last
// line. It returns an error if a guarantee was violated.
func (d *Demo) printResults(records []recorder.SourceRecord) error {
	report := recorder.Examine(d.log.Exchanges(), records)
	report.Violations = append(report.Violations, d.checkDomain(records)...)
	summary := report.Summary()
	d.printStatistics(report)
	d.printViolations(report.Violations)
	fmt.Fprintf(d.cfg.Output, "demo: %s\n", summary)
	switch {
	case summary.Failed():
		return errors.New("responses were wrong or cut, or calls were duplicated")
	case len(report.Violations) > 0:
		return errors.Newf("%d violations of guarantees; see the lines above", len(report.Violations))
	case summary.Abandoned > 0:
		return errors.Newf("%d requests had no response %s after the load ended", summary.Abandoned, finishTimeout)
	case summary.Complete == 0:
		return errors.New("no request was complete")
	}
	return nil
}

// printStatistics prints times to first token and the causes of outcomes other than complete.
func (d *Demo) printStatistics(report recorder.Report) {
	isStream := func(e *recorder.Exchange) bool { return e.Model != nil && e.Model.Stream }
	d.printf("time to first token: 95%% of streams within %s", round(report.FirstTokenQuantile(quantile, isStream)))
	whileOut := func(e *recorder.Exchange) bool {
		return isStream(e) && e.Start.After(d.domainOutAt.Add(settlePeriod)) && e.Start.Before(d.domainBackAt)
	}
	d.printf("while the failure domain was out, from %s after the change: 95%% within %s",
		settlePeriod, round(report.FirstTokenQuantile(quantile, whileOut)))
	causes := map[string]int{}
	for _, v := range report.Verdicts {
		switch v.Outcome {
		case recorder.OutcomeComplete:
		case recorder.OutcomeNotRun, recorder.OutcomeUnknown:
			causes[string(v.Outcome)+" "+v.Cause]++
		default:
			causes[strings.TrimSpace(string(v.Outcome)+" "+v.Cause+" "+v.Detail)]++
		}
	}
	d.printCauses(causes)
}

// printViolations prints at most maxShownViolations violations of each guarantee and the number of the others.
func (d *Demo) printViolations(violations []recorder.Violation) {
	shown := map[string]int{}
	for _, v := range violations {
		shown[v.Guarantee]++
		if shown[v.Guarantee] <= maxShownViolations {
			d.printf("violation: %s", v)
		}
	}
	for _, v := range violations {
		if more := shown[v.Guarantee] - maxShownViolations; more > 0 {
			d.printf("violation: %s: %d more", v.Guarantee, more)
			shown[v.Guarantee] = 0
		}
	}
}

// printCauses prints the most frequent causes.
func (d *Demo) printCauses(causes map[string]int) {
	names := make([]string, 0, len(causes))
	for name := range causes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return causes[names[i]] > causes[names[j]] })
	for _, name := range names[:min(len(names), maxShownCauses)] {
		d.printf("%d times %s", causes[name], name)
	}
}

func round(t time.Duration) time.Duration {
	return t.Round(time.Millisecond)
}

// checkDomain checks that the failure domain received no new work while it was out, and received work again after its
// return.
func (d *Demo) checkDomain(records []recorder.SourceRecord) []recorder.Violation {
	_, agents := d.deployment.NodesIn(d.domain())
	inDomain := map[string]bool{}
	for _, a := range agents {
		inDomain[a.Standin.Name] = true
	}
	var last time.Time
	late, afterReturn := 0, 0
	for _, r := range records {
		for _, call := range r.Record.Calls {
			switch {
			case !inDomain[r.Source.Name] || call.Start.Before(d.domainOutAt):
			case call.Start.After(d.domainBackAt):
				afterReturn++
			default:
				last = latest(last, call.Start)
				if call.Start.After(d.domainOutAt.Add(exclusionDelay)) {
					late++
				}
			}
		}
	}
	if !last.IsZero() {
		d.printf("the last new work arrived in %s %s after it was taken out", d.domain(), round(last.Sub(d.domainOutAt)))
	}
	d.printf("%d calls arrived in %s after its return", afterReturn, d.domain())
	var violations []recorder.Violation
	if late > 0 {
		violations = append(violations, recorder.Violation{
			Guarantee: guaranteeDomainOut, Detail: fmt.Sprintf("%d calls arrived later than %s", late, exclusionDelay),
		})
	}
	if afterReturn == 0 {
		violations = append(violations, recorder.Violation{Guarantee: "return", Detail: "no call arrived after the return"})
	}
	return violations
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
