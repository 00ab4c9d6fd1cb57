package mapleader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/estimator"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/sampler"
)

const (
	// stepsAge is how long steps show that a group is in use, although no gateway reports requests there.
	stepsAge = time.Second
	// steppedReads is how many reads in a row have to show later steps: a report may be older than the end of the last pass.
	steppedReads = 2
	// maxStepPause is the longest time between two reads of steps that follow each other.
	maxStepPause = 2*maxWait + 100*time.Millisecond
)

// stepWatch tells whether a group makes passes, from the steps in the counts and reports of its ranks.
type stepWatch struct {
	step identifier.Step
	// readAt is when the step was read, and later how many reads in a row have shown a later step than the one before.
	readAt time.Time
	later  int
	// steppedAt is when the steps last showed passes.
	steppedAt time.Time
}

func (w *stepWatch) record(now time.Time, step identifier.Step) {
	if step > w.step && now.Sub(w.readAt) <= maxStepPause {
		w.later++
	} else {
		w.later = 0
	}
	w.step, w.readAt = step, now
	if w.later >= steppedReads {
		w.steppedAt = now
	}
}

// use returns what the leader knows of the use of a group.
func (l *Leader) use(now time.Time, g *managedGroup) sampler.Use {
	id := g.id()
	use := sampler.Use{Busy: l.cfg.Busy == nil || l.cfg.Busy(id) || now.Sub(g.steps.steppedAt) < stepsAge}
	use.PassAt, use.PassTook = l.lastPass(id)
	return use
}

// observeCounts reads the counts of some ranks and passes them to the estimator and the sampler. It returns those of the
// first rank that could be read.
func (l *Leader) observeCounts(ctx context.Context, g *managedGroup, reading sampler.Reading) (mapswitcher.Counts, error) {
	ranks, members := g.ranks(0, sampler.UsualRanks)
	furtherRanks, further := g.ranks(sampler.UsualRanks, reading.Ranks)
	var furtherCounts []mapswitcher.Counts
	var furtherErrs []error
	done := make(chan struct{})
	go func() {
		defer close(done)
		furtherCounts, furtherErrs = gather(ctx, further, 1, g.engines.Counts)
	}()
	counts, errs := gather(ctx, members, maxCallTries, g.engines.Counts)
	<-done
	l.countNumbers(reading.Reason, append(counts, furtherCounts...))
	usable, err := usableCounts(g.group.Epoch, counts, errs)
	if err != nil {
		return mapswitcher.Counts{}, err
	}
	first, usual := counts[usable[0]], ranks
	ranks = nil
	var values [][]float64
	for _, i := range usable {
		ranks, values = append(ranks, usual[i]), append(values, counts[i].Counts)
	}
	for i, c := range furtherCounts {
		if furtherErrs[i] == nil && c.Epoch == g.group.Epoch && g.rebased[furtherRanks[i]] {
			ranks, values = append(ranks, furtherRanks[i]), append(values, c.Counts)
		}
	}
	clear(g.rebased)
	if err := l.endHolds(ctx, g, first.Step); err != nil {
		return mapswitcher.Counts{}, err
	}
	now := time.Now()
	verdict := g.estimator.Observe(now, ranks, values)
	g.sampler.RecordRead(now, verdict)
	g.seenAt, g.lastReason = now, reading.Reason
	g.steps.record(now, first.Step)
	if verdict == estimator.VerdictIdle {
		// Ranks in a failure domain that is out of service serve no requests, so their counts show no demand. Such ranks
		// may be neighbours, so the next ones are half of the group away.
		g.firstSampled += len(g.group.Members)/2 + 1
	}
	return first, nil
}

// usableCounts returns the indexes of the counts that are of an epoch and could be read. A rank that gives only wrong answers
// is left out. It returns an error if another rank did not respond, or if no counts are left.
func usableCounts(epoch mapswitcher.Epoch, counts []mapswitcher.Counts, errs []error) ([]int, error) {
	var usable []int
	wrong := mapswitcher.ErrEpochChanged
	for i, c := range counts {
		var answer *mapswitcher.AnswerError
		switch {
		case errors.As(errs[i], &answer):
			wrong = errs[i]
		case errs[i] != nil:
			return nil, errs[i]
		case c.Epoch == epoch:
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return nil, wrong
	}
	return usable, nil
}

// rebase reads the counts of the ranks that are read beside the usual ones after a shift, from which on their next counts
// are a sample of the new demand. Ranks that do not respond are left out, since the usual ones suffice for a map.
func (l *Leader) rebase(ctx context.Context, g *managedGroup) {
	ranks, members := g.ranks(sampler.UsualRanks, sampler.ShiftedRanks)
	counts, errs := gather(ctx, members, 1, g.engines.Counts)
	for i, c := range counts {
		if errs[i] == nil && c.Epoch == g.group.Epoch {
			g.estimator.Rebase(ranks[i:i+1], [][]float64{c.Counts})
			g.rebased[ranks[i]] = true
		}
	}
	l.countNumbers(sampler.ReasonShifted, counts)
}

// checkIdle reads the report of one rank of a group that is not in use, which shows whether the group is still the same
// and whether requests run there of which no gateway has told the leader. A report is up to reportLag old.
func (l *Leader) checkIdle(ctx context.Context, g *managedGroup) error {
	g.checks++
	m := g.group.Members[g.checks%len(g.group.Members)]
	read := func() (mapswitcher.Report, error) {
		reports, errs := gather(ctx, []mapswitcher.Member{m}, maxCallTries, g.engines.Report)
		return reports[0], errs[0]
	}
	r, err := read()
	if err != nil {
		return err
	}
	now := time.Now()
	g.seenAt = now
	g.steps.record(now, r.Step)
	isOld := now.Sub(g.foundAt) < 2*reportLag || l.recentlyOpened(g.id())
	hasChanged := func(r mapswitcher.Report) bool {
		return !isOld && (!r.Open || r.Epoch != g.group.Epoch) || r.Epoch > g.group.Epoch
	}
	if !hasChanged(r) {
		return nil
	}
	// A single report may be spoiled.
	if r, err = read(); err != nil {
		return err
	}
	if hasChanged(r) {
		return mapswitcher.ErrEpochChanged
	}
	return nil
}

// countNumbers adds the numbers in some counts to those that were read for a reason.
func (l *Leader) countNumbers(reason sampler.Reason, counts []mapswitcher.Counts) {
	l.numbersMu.Lock()
	defer l.numbersMu.Unlock()
	for _, c := range counts {
		l.numbersRead[reason] += float64(len(c.Counts))
	}
}

// NumbersRead returns how many numbers the leader has read in the counts of all groups, by reason. It may be called
// concurrently.
func (l *Leader) NumbersRead() map[string]float64 {
	l.numbersMu.Lock()
	defer l.numbersMu.Unlock()
	out := make(map[string]float64, len(l.numbersRead))
	for reason, n := range l.numbersRead {
		out[string(reason)] = n
	}
	return out
}
