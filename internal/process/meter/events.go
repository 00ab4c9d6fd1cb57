package meter

import "currantledge.example/currantledge/internal/process/logger"

// eventCounters maps log events to the counters that count them. Other events are not counted.
var eventCounters = map[logger.Event]Name{
	logger.EventCompleted:       RequestsComplete,
	logger.EventRefused:         RequestsNotRun,
	logger.EventOutcomeUnknown:  RequestsUnknown,
	logger.EventCancelled:       RequestsCancelled,
	logger.EventResumed:         StreamsResumed,
	logger.EventReattached:      StreamsReattached,
	logger.EventLinkUp:          LinksUp,
	logger.EventLinkDown:        LinksLost,
	logger.EventConfigAdopted:   ConfigAdopted,
	logger.EventPlatformFailed:  PlatformFailures,
	logger.EventDispatched:      Dispatched,
	logger.EventUpstreamFailed:  UpstreamFailures,
	logger.EventClaimed:         ClaimsWon,
	logger.EventClaimHeld:       ClaimsHeld,
	logger.EventClaimUnresolved: ClaimsUnsure,
}

// CountEvent increments the counter of a log event, if it has one.
func (m *Meter) CountEvent(e logger.Event) {
	if name, ok := eventCounters[e]; ok {
		m.Increment(name)
	}
}
