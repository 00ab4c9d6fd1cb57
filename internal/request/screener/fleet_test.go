package screener_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/screener"
)

const (
	step          = 10 * time.Millisecond
	reportDelay   = 20 * time.Millisecond
	sendInterval  = 200 * time.Millisecond
	soundRunTime  = 30 * time.Millisecond
	deadlyRunTime = 50 * time.Millisecond
	restartTime   = 3500 * time.Millisecond
	// knownAfter and maxLateRuns are the users' bounds: a request that has ended three upstreams reaches at most three
	// more later than this after the third.
	knownAfter  = 3 * time.Second
	maxLateRuns = 3
	attempts    = 2
)

// run is one request on an upstream of the simulated service.
type run struct {
	prompt   screener.Prompt
	gateway  int
	upstream int
	began    time.Time
	attempt  int
	trial    identifier.PromptPart
}

// fleet simulates gateways in front of the upstreams of a plain service. One request ends each upstream that runs it.
type fleet struct {
	t        *testing.T
	random   *rand.Rand
	gateways []*screener.Screener
	// upAt is when each upstream is up again, and starts counts its starts.
	upAt   []time.Time
	starts []int
	runs   []run
	// crashes holds when the deadly request ended upstreams; lateRuns counts its later runs by the users' bound.
	crashes               []time.Time
	lateRuns              int
	sound, soundRefused   int
	polled, polledRefused int
	reports               []func(now time.Time)
	reportsDue            []time.Time
}

func newFleet(t *testing.T, seed uint64, gateways, upstreams int) *fleet {
	t.Helper()
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 0)), upAt: make([]time.Time, upstreams), starts: make([]int, upstreams)}
	for i := range gateways {
		f.gateways = append(f.gateways, newScreener(identifier.Node(fmt.Sprint("n", i))))
	}
	return f
}

// submit sends a request as a gateway does and reports whether it was refused.
func (f *fleet) submit(now time.Time, r run, exclude int) bool {
	r.trial = ""
	switch v := f.gateways[r.gateway].Verdict(now, r.prompt).(type) {
	case screener.Refused:
		return true
	case screener.Isolated:
		if !f.gateways[r.gateway].BeginTrial(v.Part) {
			return true
		}
		r.trial = v.Part
	}
	var up []int
	for i, at := range f.upAt {
		if i != exclude && !now.Before(at) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		f.endTrial(r)
		return false
	}
	r.upstream, r.began = up[f.random.IntN(len(up))], now
	if r.trial != "" {
		r.upstream = up[len(r.trial)%len(up)]
	}
	f.runs = append(f.runs, r)
	if len(f.crashes) >= 3 && now.Sub(f.crashes[2]) > knownAfter && r.prompt.Request == "t/deadly" {
		f.lateRuns++
	}
	return false
}

func (f *fleet) endTrial(r run) {
	if r.trial != "" {
		f.gateways[r.gateway].EndTrial(r.trial)
	}
}

// advance ends the runs that are due.
func (f *fleet) advance(now time.Time) {
	for i := 0; i < len(f.runs); i++ {
		r := f.runs[i]
		switch deadly := r.prompt.Request == "t/deadly"; {
		case deadly && now.Sub(r.began) >= deadlyRunTime:
			f.crash(now, r.upstream)
			i = -1
		case !deadly && now.Sub(r.began) >= soundRunTime:
			f.runs = slices.Delete(f.runs, i, i+1)
			f.endTrial(r)
			f.gateways[r.gateway].RecordAnswer(now, r.prompt)
			i--
		}
	}
}

// crash ends an upstream with all that it runs, which the gateways send once more.
func (f *fleet) crash(now time.Time, upstream int) {
	f.crashes = append(f.crashes, now)
	f.upAt[upstream] = now.Add(restartTime)
	var broken []run
	f.runs = slices.DeleteFunc(f.runs, func(r run) bool {
		if r.upstream == upstream {
			broken = append(broken, r)
		}
		return r.upstream == upstream
	})
	for _, r := range broken {
		f.endTrial(r)
		f.gateways[r.gateway].RecordCrash(now, screener.Crash{
			Prompt: r.prompt, Site: identifier.CrashSite(1000*f.starts[upstream] + upstream), SentAt: r.began,
		})
		f.report(now, r.gateway)
	}
	f.starts[upstream]++
	for _, r := range broken {
		if r.attempt++; r.attempt < attempts {
			f.submit(now, r, upstream)
		}
	}
}

// report sends what a gateway knows to all others.
func (f *fleet) report(now time.Time, from int) {
	report := f.gateways[from].News(now)
	if report.IsEmpty() {
		return
	}
	f.reportsDue = append(f.reportsDue, now.Add(reportDelay))
	f.reports = append(f.reports, func(now time.Time) {
		for i, g := range f.gateways {
			if i != from {
				g.Merge(now, report)
			}
		}
	})
}

// play plays some seconds with a deadly request that comes again and sound ones: some are all different, some are the
// same request at all gateways.
func (f *fleet) play(length time.Duration, deadlyPerS, soundPerS, polledPerS float64) {
	arrives := func(perS float64) bool { return f.random.Float64() < perS*step.Seconds() }
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for len(f.reports) > 0 && !now.Before(f.reportsDue[0]) {
			f.reports[0](now)
			f.reports, f.reportsDue = f.reports[1:], f.reportsDue[1:]
		}
		f.advance(now)
		if now.Sub(start)%sendInterval == 0 {
			for i := range f.gateways {
				f.report(now, i)
			}
		}
		if now.Sub(start) > time.Second && arrives(deadlyPerS) {
			f.submit(now, run{prompt: prompt("t", "t/deadly"), gateway: f.random.IntN(len(f.gateways))}, -1)
		}
		if arrives(soundPerS) {
			f.sound++
			own := identifier.PromptPart(fmt.Sprint("t/", f.sound))
			if f.submit(now, run{prompt: prompt("t", own), gateway: f.random.IntN(len(f.gateways))}, -1) {
				f.soundRefused++
			}
		}
		if arrives(polledPerS) {
			f.polled++
			if f.submit(now, run{prompt: prompt("t", "t/polled"), gateway: f.random.IntN(len(f.gateways))}, -1) {
				f.polledRefused++
			}
		}
	}
}

// Guards against a request that ends one upstream of a plain service after the other because each gateway learns alone,
// and against sound requests of its caller that are refused with it.
func TestRequestThatEndedThreeUpstreamsIsNotSentOn(t *testing.T) {
	t.Parallel()
	for _, size := range []struct {
		gateways, upstreams int
		load                float64
	}{{7, 3, 1}, {148, 11, 10}} {
		for seed := range uint64(20) {
			f := newFleet(t, seed, size.gateways, size.upstreams)
			f.play(25*time.Second, 0.6*size.load, 6*size.load, 10*size.load)
			require.GreaterOrEqual(t, len(f.crashes), 2, "the deadly request came")
			require.LessOrEqual(t, f.lateRuns, maxLateRuns, "%d gateways, seed %d: %d upstreams ended", size.gateways, seed, len(f.crashes))
			require.Zero(t, f.soundRefused, "%d gateways, seed %d", size.gateways, seed)
			require.LessOrEqual(t, f.polledRefused, f.polled/20, "%d gateways, seed %d", size.gateways, seed)
		}
	}
}
