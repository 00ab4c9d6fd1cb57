package gatewayrunner

import (
	"context"
	"time"

	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/version/replicator"
	"currantledge.example/currantledge/platform"
)

// observeEra notices that the platform's store was restored from a copy. The gateway's own rows may be lost and are
// written again.
func (g *gateway) observeEra() {
	previous, era := g.era, g.store.Era()
	g.era = era
	if previous == 0 || era == previous {
		return
	}
	g.log.Event(logger.EventStoreRestored).Uint64("era", uint64(era)).Uint64("previousEra", uint64(previous)).Send()
	for _, lost := range []chan struct{}{g.nodeRowLost, g.crashRowLost} {
		select {
		case lost <- struct{}{}:
		default:
		}
	}
}

// firstEra is the era of a store that was never restored.
const firstEra replicator.Era = 1

// mayLackRetained reports whether the gateway has started after the store was restored and has not yet pulled what its
// peers retain from before.
func (g *gateway) mayLackRetained() bool {
	return !g.pulledRetained.Load() && replicator.EraOf(g.replicator.Version(platform.OperatorTable)) > firstEra
}

// pullRetained pulls all rows of a peer once if the gateway has started after the store was restored: the versions that
// peers send do not show that they retain rows. It gives up after maxUninformed.
func (g *gateway) pullRetained(ctx context.Context) error {
	started := time.Now()
	for waiter.For(ctx, tickInterval) && time.Since(started) < maxUninformed {
		source := g.pullSource(platform.OperatorTable, 0)
		if source == "" || !g.mayLackRetained() {
			continue
		}
		g.pullFrom(ctx, source, platform.OperatorTable, 0)
		g.pullFrom(ctx, source, platform.UpstreamTable, 0)
		g.applyRows()
		break
	}
	g.pulledRetained.Store(true)
	<-ctx.Done()
	return nil
}

// logRetained logs the retained rows of each table when their number has changed. It is called with applyMu held.
func (g *gateway) logRetained() {
	for _, t := range []replicator.Table{platform.OperatorTable, platform.UpstreamTable} {
		rows := g.replicator.Retained(t)
		if len(rows) == g.retainedRows[t] {
			continue
		}
		g.retainedRows[t] = len(rows)
		event := g.log.Event(logger.EventRowsRetained).Str("table", string(t)).Int("rows", len(rows))
		if len(rows) > 0 {
			event = event.Str("key", rows[0].Key).Str("version", replicator.VersionText(rows[0].Version)).
				Bool("deleted", rows[0].Deleted)
		}
		event.Send()
	}
}
