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
	guaranteeLeave = "G3 no new work in a failure domain that is out"
	// maxShown bounds the printed violations of each guarantee, so that none hides those of another.
	maxShown = 4
	// maxCauses bounds the printed causes.
	maxCauses = 20
)

// conclude prints what the records show, with the counts in the last line.
func (d *Demo) conclude(records []recorder.SourceRecord) error {
	report := recorder.Examine(d.log.Exchanges(), records)
	report.Violations = append(report.Violations, d.checkDomain(records)...)
	summary := report.Summary()
	d.describe(report)
	d.describeViolations(report.Violations)
	fmt.Fprintf(d.cfg.Output, "demo: %s\n", summary)
	switch {
	case summary.Failed():
		return errors.New("answers were wrong, cut or duplicated")
	case len(report.Violations) > 0:
		return errors.Newf("%d violations of guarantees; see the lines above", len(report.Violations))
	case summary.Abandoned > 0:
		return errors.Newf("%d requests had no answer %s after the load ended", summary.Abandoned, finishPeriod)
	case summary.Complete == 0:
		return errors.New("no request was complete")
	}
	return nil
}

// describe prints times and the causes of refusals.
func (d *Demo) describe(report recorder.Report) {
	isStream := func(e *recorder.Exchange) bool { return e.Model != nil && e.Model.Stream }
	d.say("time to first token: 95%% of streams within %s", round(report.FirstTokenQuantile(percentile, isStream)))
	whileOut := func(e *recorder.Exchange) bool {
		return isStream(e) && e.Start.After(d.left.Add(settlePeriod)) && e.Start.Before(d.returned)
	}
	d.say("while the failure domain was out, from %s after the change: 95%% within %s",
		settlePeriod, round(report.FirstTokenQuantile(percentile, whileOut)))
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
	d.describeCauses(causes)
}

func (d *Demo) describeViolations(violations []recorder.Violation) {
	shown := map[string]int{}
	for _, v := range violations {
		shown[v.Guarantee]++
		if shown[v.Guarantee] <= maxShown {
			d.say("violation: %s", v)
		}
	}
	for _, v := range violations {
		if more := shown[v.Guarantee] - maxShown; more > 0 {
			d.say("violation: %s: %d more", v.Guarantee, more)
			shown[v.Guarantee] = 0
		}
	}
}

func (d *Demo) describeCauses(causes map[string]int) {
	names := make([]string, 0, len(causes))
	for name := range causes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return causes[names[i]] > causes[names[j]] })
	for _, name := range names[:min(len(names), maxCauses)] {
		d.say("%d times %s", causes[name], name)
	}
}

func round(t time.Duration) time.Duration {
	return t.Round(time.Millisecond)
}

// checkDomain checks that the failure domain got no new work while it was out, and work again after its return.
func (d *Demo) checkDomain(records []recorder.SourceRecord) []recorder.Violation {
	_, agents := d.deployment.NodesIn(d.domain())
	inDomain := map[string]bool{}
	for _, a := range agents {
		inDomain[a.Standin.Name] = true
	}
	var last time.Time
	late, returned := 0, 0
	for _, r := range records {
		for _, call := range r.Record.Calls {
			switch {
			case !inDomain[r.Source.Name] || call.Start.Before(d.left):
			case call.Start.After(d.returned):
				returned++
			default:
				last = latest(last, call.Start)
				if call.Start.After(d.left.Add(leavePeriod)) {
					late++
				}
			}
		}
	}
	if !last.IsZero() {
		d.say("the last new work arrived in %s %s after it was taken out", d.domain(), round(last.Sub(d.left)))
	}
	d.say("%d calls arrived in %s after its return", returned, d.domain())
	var violations []recorder.Violation
	if late > 0 {
		violations = append(violations, recorder.Violation{
			Guarantee: guaranteeLeave, Detail: fmt.Sprintf("%d calls arrived later than %s", late, leavePeriod),
		})
	}
	if returned == 0 {
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
