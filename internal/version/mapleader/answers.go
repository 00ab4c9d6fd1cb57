package mapleader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/version/mapswitcher"
	"currantledge.example/currantledge/internal/version/rankchecker"
)

// checkedEngines calls the ranks of a group and turns answers that no sound rank can give into errors, so that callers ask
// again.
type checkedEngines struct {
	mapswitcher.Engines
	// epoch is that of the group once it is known, else 0.
	epoch      mapswitcher.Epoch
	checker    *rankchecker.Checker
	rejections *rejections
}

// newCheckedEngines returns the client of the ranks of a group of a service.
func (l *Leader) newCheckedEngines(st *serviceState) *checkedEngines {
	return &checkedEngines{
		Engines: l.cfg.Engines,
		checker: rankchecker.New(rankchecker.Config{
			Shape:    rankchecker.Shape{Sets: st.Engine.Sets, Experts: st.Engine.Experts, Places: st.Engine.Places},
			PassTime: st.Engine.StepTime * time.Duration(max(st.Engine.StepsPerPass, 1)),
		}),
		rejections: st.rejections,
	}
}

// Report returns the state of a rank.
func (e *checkedEngines) Report(ctx context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
	return e.rejections.report(ctx, e.Engines, m)
}

// RankMap returns the expert map of a rank.
func (e *checkedEngines) RankMap(ctx context.Context, m mapswitcher.Member) (mapswitcher.RankMap, error) {
	out, err := e.Engines.RankMap(ctx, m)
	if err == nil {
		err = e.checker.CheckRankMap(out)
	}
	e.rejections.record(m.Upstream, err)
	return out, err
}

// Counts returns the counts of a rank.
func (e *checkedEngines) Counts(ctx context.Context, m mapswitcher.Member) (mapswitcher.Counts, error) {
	out, err := e.Engines.Counts(ctx, m)
	if err == nil {
		err = e.checker.CheckCounts(time.Now(), m.Upstream, e.epoch, out)
	}
	e.rejections.record(m.Upstream, err)
	return out, err
}

// rejectionInterval is the time between two log lines on the answers of one service. A rank that answers wrongly all the
// time is asked many times a second.
const rejectionInterval = time.Second

// rejections logs and counts the answers of the ranks of a service that were rejected. It is safe for concurrent use.
type rejections struct {
	service identifier.Service
	log     *logger.Logger
	meter   *meter.Meter

	mu sync.Mutex
	// loggedAt is when a rejected answer was last logged, and unlogged the number of those since.
	loggedAt time.Time
	unlogged int
}

// report returns the state of a rank, or an error if no rank can be in it.
func (r *rejections) report(ctx context.Context, engines mapswitcher.Engines, m mapswitcher.Member) (mapswitcher.Report, error) {
	out, err := engines.Report(ctx, m)
	if err == nil {
		err = rankchecker.CheckReport(out)
	}
	r.record(m.Upstream, err)
	return out, err
}

// record records the error of an answer, if it is one that no sound rank can give. The upstream is empty if the answers of
// several ranks contradict each other.
func (r *rejections) record(upstream identifier.Upstream, err error) {
	var answer *mapswitcher.AnswerError
	if !errors.As(err, &answer) {
		return
	}
	r.meter.Increment(meter.AnswersRejected)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.loggedAt) < rejectionInterval {
		r.unlogged++
		return
	}
	r.log.Event(logger.EventAnswerRejected).Str("service", string(r.service)).Str("upstream", string(upstream)).
		Str("field", answer.Field).Str("value", answer.Value).Str("problem", answer.Problem).Int("unlogged", r.unlogged).Send()
	r.loggedAt, r.unlogged = now, 0
}
