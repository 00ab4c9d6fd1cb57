package gatewayrunner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/request/screener"
	"currantledge.example/currantledge/internal/version/replicator"
)

const (
	// crashTable holds a row for each gateway that has observed a request which crashed its upstream, so that the fleet
	// knows it after all gateways have restarted.
	crashTable replicator.Table = "crashes"
	// crashRowInterval is the time between two tries to write the own row, and between two reads while no peer is live.
	crashRowInterval = time.Second
	// maxUninformed is how long a gateway waits after its start for what others know of crashes: two rounds of datagrams.
	maxUninformed = 400 * time.Millisecond
)

// maxStoredRuns bounds the runs of a row, so that it stays below 64 KiB.
const maxStoredRuns = 256

// storedCrashes is the row of a gateway.
type storedCrashes struct {
	Runs []storedRun `json:"runs"`
	// Suspicions are the requests that gateways of earlier builds suspected of a crash; later ones store runs only.
	Suspicions []storedSuspicion `json:"suspicions,omitempty"`
}

// storedRun is the stored form of a CrashedRun.
type storedRun struct {
	Content    uint64 `json:"content,string"`
	Whole      bool   `json:"whole,omitempty"`
	Customer   uint64 `json:"customer,string,omitempty"`
	Site       uint64 `json:"site,string"`
	Grouped    bool   `json:"grouped"`
	Responding bool   `json:"responding,omitempty"`
	Events     int    `json:"events,omitempty"`
	RanMs      int64  `json:"ranMs"`
	UnixMs     int64  `json:"unixMs"`
}

// storedSuspicion is a request that an upstream was about to answer when it crashed.
type storedSuspicion struct {
	UnixMs   int64    `json:"unixMs"`
	Customer string   `json:"customer"`
	Parts    []string `json:"parts"`
	Request  string   `json:"request"`
	Site     uint64   `json:"site,string,omitempty"`
}

// runs returns the runs of the request as a whole and of its parts.
func (s storedSuspicion) runs() []storedRun {
	run := storedRun{
		Content: uint64(screener.HashRequest(identifier.PromptPart(s.Request))), Whole: true,
		Customer: uint64(screener.HashCustomer(identifier.Customer(s.Customer))), Site: s.Site, Grouped: true, Responding: true, UnixMs: s.UnixMs,
	}
	runs := []storedRun{run}
	run.Whole = false
	for _, part := range s.Parts {
		run.Content = uint64(screener.HashPart(identifier.PromptPart(part)))
		runs = append(runs, run)
	}
	return runs
}

// encodeCrashRow encodes the runs that gateways which start later have to know of: those of contents that have crashed
// upstreams more than once, and those of upstreams that were about to begin their response.
func encodeCrashRow(report federator.CrashReport) ([]byte, error) {
	stored := storedCrashes{Runs: []storedRun{}}
	crashes := map[identifier.ContentHash]int{}
	for _, run := range report.Runs {
		if !run.Refuted {
			crashes[run.Content]++
		}
	}
	for _, run := range report.Runs {
		if run.Refuted || crashes[run.Content] < 2 && !run.IsBeginning() || len(stored.Runs) == maxStoredRuns {
			continue
		}
		stored.Runs = append(stored.Runs, storedRun{
			Content: uint64(run.Content), Whole: run.Whole, Customer: uint64(run.Customer), Site: uint64(run.Site),
			Grouped: run.Grouped, Responding: run.Responding, Events: run.Events,
			RanMs: run.At.Sub(run.SentAt).Milliseconds(), UnixMs: run.At.UnixMilli(),
		})
	}
	raw, err := json.Marshal(stored)
	return raw, errors.Wrap(err, "encode the crash row")
}

// decodeCrashRow decodes the row of a gateway. A crash whose time lies ahead of this VM's clock counts as one of now.
func decodeCrashRow(now time.Time, node string, raw []byte) (federator.CrashReport, error) {
	var stored storedCrashes
	var report federator.CrashReport
	err := json.Unmarshal(raw, &stored)
	if err != nil {
		// The oldest rows are an array of suspicions.
		err = json.Unmarshal(raw, &stored.Suspicions)
	}
	if err != nil {
		return report, errors.Wrapf(err, "crash row of %s; it is written again at its next crash", node)
	}
	for _, s := range stored.Suspicions {
		stored.Runs = append(stored.Runs, s.runs()...)
	}
	for _, run := range stored.Runs {
		at := now.Add(-max(0, now.Sub(time.UnixMilli(run.UnixMs))))
		report.Runs = append(report.Runs, federator.CrashedRun{
			Content: identifier.ContentHash(run.Content), Whole: run.Whole, Customer: identifier.CustomerHash(run.Customer),
			Site: identifier.CrashSite(run.Site), Grouped: run.Grouped, Responding: run.Responding, Events: max(0, run.Events),
			SentAt: at.Add(-time.Duration(max(0, run.RanMs)) * time.Millisecond), At: at,
		})
	}
	return report, nil
}

// maintainCrashRows reads the crash rows when the gateway starts and while no peer is live, and writes the own row after
// each crash and when the store was restored, until the context ends.
func (g *gateway) maintainCrashRows(ctx context.Context) error {
	uninformed := time.AfterFunc(maxUninformed, func() { g.informed.Store(true) })
	defer uninformed.Stop()
	unwritten, hasWritten, hadPeers := false, false, false
	due := true
	for {
		if due {
			due = g.readCrashRows(ctx) != nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.crashObserved:
			unwritten = true
		case <-g.crashRowLost:
			unwritten = hasWritten
		case <-time.After(crashRowInterval):
			live := g.hasLivePeers()
			hadPeers = hadPeers || live
			due = due || hadPeers && !live
		}
		if unwritten {
			unwritten = g.writeCrashRow(ctx) != nil
			hasWritten = hasWritten || !unwritten
		}
	}
}

// hasLivePeers reports whether another gateway has sent a datagram lately.
func (g *gateway) hasLivePeers() bool {
	for _, p := range g.gossiper.Peers() {
		if !p.Silent {
			return true
		}
	}
	now := time.Now()
	for _, s := range g.gossiper.Summaries() {
		if !s.IsSilent(now) {
			return true
		}
	}
	return false
}

func (g *gateway) readCrashRows(ctx context.Context) error {
	rows, _, err := g.store.Read(ctx, crashTable)
	if err != nil {
		g.countStoreFailure(ctx, err)
		return err
	}
	now := time.Now()
	for _, row := range rows {
		report, err := decodeCrashRow(now, row.Key, row.Value)
		if err != nil {
			g.log.Event(logger.EventRowInvalid).AnErr("error", err).Send()
			continue
		}
		g.mergeCrashes(federator.CrashesReported{Report: report})
	}
	g.informed.Store(true)
	return nil
}

func (g *gateway) writeCrashRow(ctx context.Context) error {
	raw, err := encodeCrashRow(g.screener.Report(time.Now()))
	if err != nil {
		return err
	}
	_, err = g.store.Put(ctx, crashTable, string(g.settings.Node), raw)
	g.countStoreFailure(ctx, err)
	if err != nil {
		waiter.For(ctx, crashRowInterval)
	}
	return err
}
