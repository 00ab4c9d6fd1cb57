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

// storedCrash is the stored form of a Suspicion.
type storedCrash struct {
	Incarnation uint64   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	UnixMs      int64    `json:"unixMs"`
	Customer    string   `json:"customer"`
	Parts       []string `json:"parts"`
	Request     string   `json:"request"`
}

// encodeCrashRow encodes the suspicions of one gateway whose request to blame is known.
func encodeCrashRow(node identifier.Node, suspicions []federator.Suspicion) ([]byte, error) {
	stored := []storedCrash{}
	for _, s := range suspicions {
		if s.Node == node {
			stored = append(stored, storedCrash{
				Incarnation: uint64(s.Incarnation), Sequence: s.Sequence, UnixMs: s.At.UnixMilli(),
				Customer: string(s.Customer), Parts: identifier.PartNames(s.Parts), Request: string(s.Request),
			})
		}
	}
	raw, err := json.Marshal(stored)
	return raw, errors.Wrap(err, "encode the crash row")
}

// decodeCrashRow decodes the row of a gateway. A crash whose time lies ahead of this VM's clock counts as one of now.
func decodeCrashRow(now time.Time, node string, raw []byte) ([]federator.Suspicion, error) {
	var stored []storedCrash
	if err := json.Unmarshal(raw, &stored); err != nil {
		return nil, errors.Wrapf(err, "crash row of %s; it is written again at its next crash", node)
	}
	suspicions := make([]federator.Suspicion, 0, len(stored))
	for _, s := range stored {
		parts := make([]identifier.PromptPart, len(s.Parts))
		for i, p := range s.Parts {
			parts[i] = identifier.PromptPart(p)
		}
		suspicions = append(suspicions, federator.Suspicion{
			Node: identifier.Node(node), Incarnation: identifier.Incarnation(s.Incarnation), Sequence: s.Sequence,
			At: now.Add(-max(0, now.Sub(time.UnixMilli(s.UnixMs)))), Customer: identifier.Customer(s.Customer),
			Parts: parts, Request: identifier.PromptPart(s.Request),
		})
	}
	return suspicions, nil
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
		suspicions, err := decodeCrashRow(now, row.Key, row.Value)
		if err != nil {
			g.log.Event(logger.EventRowInvalid).AnErr("error", err).Send()
			continue
		}
		g.mergeCrashes(federator.CrashesReported{Report: federator.CrashReport{Suspicions: suspicions}})
	}
	g.informed.Store(true)
	return nil
}

func (g *gateway) writeCrashRow(ctx context.Context) error {
	raw, err := encodeCrashRow(g.settings.Node, g.screener.Report(time.Now()).Suspicions)
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
