package meter

import "currantledge.example/currantledge/internal/process/logger"

// counted maps log events to the counters that they increase.
var counted = map[logger.Event]Name{
	logger.EventCompleted:      RequestsComplete,
	logger.EventRefused:        RequestsNotRun,
	logger.EventUnknown:        RequestsUnknown,
	logger.EventCancelled:      RequestsCancelled,
	logger.EventResumed:        StreamsResumed,
	logger.EventReattached:     StreamsReattached,
	logger.EventLinkUp:         LinksUp,
	logger.EventLinkDown:       LinksLost,
	logger.EventConfigAdopted:  ConfigAdopted,
	logger.EventPlatformFailed: PlatformFailures,
	logger.EventDispatched:     Dispatched,
	logger.EventUpstreamFailed: UpstreamFailures,
	logger.EventClaimed:        ClaimsWon,
	logger.EventClaimHeld:      ClaimsHeld,
	logger.EventClaimUnsure:    ClaimsUnsure,
}

// Count counts a log event.
func (m *Meter) Count(e logger.Event) {
	if name, ok := counted[e]; ok {
		m.Add(name)
	}
}
