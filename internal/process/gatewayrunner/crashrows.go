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

// storedCrashes is the row of a gateway.
type storedCrashes struct {
	Suspicions []storedCrash `json:"suspicions"`
	Runs       []storedRun   `json:"runs"`
}

// storedRun is the stored form of a CrashedRun.
type storedRun struct {
	Content uint64 `json:"content,string"`
	Site    uint64 `json:"site,string"`
	Grouped bool   `json:"grouped"`
	RanMs   int64  `json:"ranMs"`
	UnixMs  int64  `json:"unixMs"`
}

// storedCrash is the stored form of a Suspicion.
type storedCrash struct {
	Incarnation uint64   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	UnixMs      int64    `json:"unixMs"`
	Customer    string   `json:"customer"`
	Parts       []string `json:"parts"`
	Request     string   `json:"request"`
	Site        uint64   `json:"site,string,omitempty"`
}

// encodeCrashRow encodes the suspicions of one gateway and, of the crashed runs that it knows, those of requests that have
// crashed upstreams more than once.
func encodeCrashRow(node identifier.Node, report federator.CrashReport) ([]byte, error) {
	stored := storedCrashes{Suspicions: []storedCrash{}, Runs: []storedRun{}}
	for _, s := range report.Suspicions {
		if s.Node == node {
			stored.Suspicions = append(stored.Suspicions, storedCrash{
				Incarnation: uint64(s.Incarnation), Sequence: s.Sequence, UnixMs: s.At.UnixMilli(),
				Customer: string(s.Customer), Parts: identifier.PartNames(s.Parts), Request: string(s.Request),
				Site: uint64(s.Site),
			})
		}
	}
	crashes := map[identifier.ContentHash]int{}
	for _, run := range report.Runs {
		crashes[run.Content]++
	}
	for _, run := range report.Runs {
		if crashes[run.Content] < 2 {
			continue
		}
		stored.Runs = append(stored.Runs, storedRun{
			Content: uint64(run.Content), Site: uint64(run.Site), Grouped: run.Grouped,
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
		// Older gateways write an array of suspicions.
		err = json.Unmarshal(raw, &stored.Suspicions)
	}
	if err != nil {
		return report, errors.Wrapf(err, "crash row of %s; it is written again at its next crash", node)
	}
	timeOf := func(unixMs int64) time.Time { return now.Add(-max(0, now.Sub(time.UnixMilli(unixMs)))) }
	for _, run := range stored.Runs {
		at := timeOf(run.UnixMs)
		report.Runs = append(report.Runs, federator.CrashedRun{
			Content: identifier.ContentHash(run.Content), Site: identifier.CrashSite(run.Site), Grouped: run.Grouped,
			SentAt: at.Add(-time.Duration(max(0, run.RanMs)) * time.Millisecond), At: at,
		})
	}
	for _, s := range stored.Suspicions {
		parts := make([]identifier.PromptPart, len(s.Parts))
		for i, p := range s.Parts {
			parts[i] = identifier.PromptPart(p)
		}
		report.Suspicions = append(report.Suspicions, federator.Suspicion{
			Node: identifier.Node(node), Incarnation: identifier.Incarnation(s.Incarnation), Sequence: s.Sequence,
			At: timeOf(s.UnixMs), Site: identifier.CrashSite(s.Site), Customer: identifier.Customer(s.Customer),
			Parts: parts, Request: identifier.PromptPart(s.Request),
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
	raw, err := encodeCrashRow(g.settings.Node, g.screener.Report(time.Now()))
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
