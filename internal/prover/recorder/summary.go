package recorder

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Summary counts the outcomes of exchanges.
type Summary struct {
	Sent       int
	Complete   int
	NotRun     int
	Unknown    int
	Wrong      int
	Cut        int
	Duplicated int
	// Abandoned counts the exchanges that their callers ended early. String omits it.
	Abandoned int
}

// Summary counts the outcomes of the verdicts.
func (r Report) Summary() Summary {
	s := Summary{Sent: len(r.Verdicts), Duplicated: r.Duplicated}
	for _, v := range r.Verdicts {
		switch v.Outcome {
		case OutcomeComplete:
			s.Complete++
		case OutcomeNotRun:
			s.NotRun++
		case OutcomeUnknown:
			s.Unknown++
		case OutcomeWrong:
			s.Wrong++
		case OutcomeCut:
			s.Cut++
		case OutcomeAbandoned:
			s.Abandoned++
		}
	}
	return s
}

// String returns the counts in the form of the last line of the demo.
func (s Summary) String() string {
	return fmt.Sprintf("sent=%d complete=%d notRun=%d unknown=%d wrong=%d cut=%d duplicated=%d",
		s.Sent, s.Complete, s.NotRun, s.Unknown, s.Wrong, s.Cut, s.Duplicated)
}

// Failed reports whether a guarantee to callers was violated or a response was interrupted.
func (s Summary) Failed() bool {
	return s.Wrong > 0 || s.Cut > 0 || s.Duplicated > 0
}

// FirstTokenQuantile returns the q-quantile of the time to first token of the complete exchanges that match. It is zero
// if there is none.
func (r Report) FirstTokenQuantile(q float64, matches func(*Exchange) bool) time.Duration {
	var times []time.Duration
	for _, v := range r.Verdicts {
		if v.Outcome == OutcomeComplete && matches(v.Exchange) {
			times = append(times, v.Exchange.TimeToFirstToken())
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	rank := int(math.Ceil(q*float64(len(times)))) - 1
	return times[max(rank, 0)]
}
