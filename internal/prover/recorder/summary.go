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
	// Abandoned counts the exchanges that their callers ended. It is no part of the closing line.
	Abandoned int
}

// Summary counts the outcomes.
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

// String returns the counts in the form of the demo's closing line.
func (s Summary) String() string {
	return fmt.Sprintf("sent=%d complete=%d notRun=%d unknown=%d wrong=%d cut=%d duplicated=%d",
		s.Sent, s.Complete, s.NotRun, s.Unknown, s.Wrong, s.Cut, s.Duplicated)
}

// Failed tells whether a guarantee to callers was broken or an answer was interrupted.
func (s Summary) Failed() bool {
	return s.Wrong > 0 || s.Cut > 0 || s.Duplicated > 0
}

// Percentile returns the time to first token that a share of the complete exchanges stays within. It is zero without
// complete exchanges.
func (r Report) Percentile(share float64, keep func(*Exchange) bool) time.Duration {
	var times []time.Duration
	for _, v := range r.Verdicts {
		if v.Outcome == OutcomeComplete && keep(v.Exchange) {
			times = append(times, v.Exchange.TimeToFirstToken())
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	rank := int(math.Ceil(share*float64(len(times)))) - 1
	return times[max(rank, 0)]
}
