package gatewayrunner

import (
	"time"

	"currantledge.example/currantledge/internal/process/logger"
)

// backlogLogInterval is the shortest time between two log lines about the requests that wait for a group.
const backlogLogInterval = time.Second

// logBacklogs logs how the groups are used for which requests wait. Only tick calls it.
func (g *gateway) logBacklogs(now time.Time) {
	if now.Sub(g.backlogsLoggedAt) < backlogLogInterval {
		return
	}
	for _, b := range g.admitter.Backlogs(now) {
		g.backlogsLoggedAt = now
		g.log.Event(logger.EventRequestsWait).Str("service", string(b.Group.Service)).Str("group", string(b.Group.Group)).
			Bool("closed", b.Closed).Int("waiting", b.Waiting).Int("waitingLate", b.WaitingLate).
			Int("running", b.Running).Int("runningLate", b.RunningLate).Int("starting", b.Starting).Int("limit", b.Limit).
			Float64("capacity", b.Capacity).Bool("byNeed", b.ByNeed).Float64("part", b.Part).
			Ints("fleetOnTime", b.FleetOnTime).Ints("fleetLate", b.FleetLate).
			Dur("waitingWorkMs", b.WaitingWork).Dur("fleetWorkMs", b.FleetWork).
			Int("upstreams", b.Usable).Int("paused", b.Paused).Int("backoff", b.Backoff).Int("full", b.Full).Send()
	}
}
