package gatewayrunner

import (
	"currantledge.example/currantledge/internal/process/logger"
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

// logRetained logs the retained rows of each table when their number has changed. Only applyTables calls it.
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
