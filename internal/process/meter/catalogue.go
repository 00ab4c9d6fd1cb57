package meter

// Type is the kind of a metric, which determines how its value changes.
type Type string

// The types of metrics.
const (
	// TypeCounter only increases while the process runs.
	TypeCounter Type = "counter"
	// TypeGauge is a current value.
	TypeGauge Type = "gauge"
	// TypeHistogram is an object with the number of observations for each upper bound.
	TypeHistogram Type = "histogram"
)

// Descriptor is the definition of a metric, as a row of docs/metrics.md lists it.
type Descriptor struct {
	Name Name
	Type Type
	// Unit is what the metric counts or the unit of its value.
	Unit string
}

// Catalogue returns the definitions of all metrics, in the order of docs/metrics.md.
func Catalogue() []Descriptor {
	return []Descriptor{
		{RequestsComplete, TypeCounter, "requests"},
		{RequestsNotRun, TypeCounter, "requests"},
		{RequestsUnknown, TypeCounter, "requests"},
		{RequestsCancelled, TypeCounter, "requests"},
		{RequestsOpen, TypeGauge, "requests"},
		{StreamsResumed, TypeCounter, "attempts"},
		{StreamsReattached, TypeCounter, "connections"},
		{LinksUp, TypeCounter, "links"},
		{LinksLost, TypeCounter, "links"},
		{ConfigRevision, TypeGauge, "revision"},
		{ConfigAdopted, TypeCounter, "adoptions"},
		{PlatformFailures, TypeCounter, "operations"},
		{Dispatched, TypeCounter, "requests"},
		{UpstreamFailures, TypeCounter, "failures"},
		{UpstreamRunning, TypeGauge, "requests"},
		{UpstreamLimit, TypeGauge, "requests"},
		{CreditsGranted, TypeGauge, "credits"},
		{ClaimsWon, TypeCounter, "claims"},
		{ClaimsHeld, TypeCounter, "claims"},
		{ClaimsUnsure, TypeCounter, "claims"},
		{LinkBytesSent, TypeCounter, "bytes"},
		{LinkBytesReceived, TypeCounter, "bytes"},
		{ControlBytesSent, TypeCounter, "bytes"},
		{ControlBytesReceived, TypeCounter, "bytes"},
		{GatewayRequests, TypeCounter, "requests"},
		{GatewayServed, TypeCounter, "requests"},
		{GatewayRefused, TypeCounter, "requests"},
		{GatewayRejected, TypeCounter, "requests"},
		{GatewayFailed, TypeCounter, "requests"},
		{GatewayBroken, TypeCounter, "requests"},
		{GatewayCancelled, TypeCounter, "requests"},
		{GatewayOversized, TypeCounter, "responses"},
		{GatewayCrashes, TypeCounter, "requests"},
		{GatewayScreened, TypeCounter, "requests"},
		{GatewayFirstEventsLate, TypeCounter, "attempts"},
		{GatewayGapsLong, TypeCounter, "attempts"},
		{GatewayTokensExpected, TypeCounter, "tokens"},
		{GatewayTokensGenerated, TypeCounter, "tokens"},
		{GatewayOverShare, TypeCounter, "requests"},
		{StoreFailures, TypeCounter, "calls"},
		{MapSwitches, TypeCounter, "switches"},
		{MapsAbandoned, TypeCounter, "switches"},
		{CountsRead, TypeCounter, "numbers by reason"},
		{AnswersRejected, TypeCounter, "answers"},
		{LogLinesDropped, TypeCounter, "lines"},
		{ClientConnections, TypeGauge, "connections by listener"},
		{ClientBytes, TypeGauge, "bytes by listener"},
		{ClientsShed, TypeCounter, "connections by listener"},
		{ClientsRefused, TypeCounter, "connections and requests by listener"},
		{ClientsOversized, TypeCounter, "requests by listener"},
		{ClientsExpired, TypeCounter, "requests by listener"},
		{GroupOpen, TypeGauge, "0 or 1 by group"},
		{GroupRanks, TypeGauge, "upstreams by group"},
		{GroupRunning, TypeGauge, "requests by group"},
		{GroupLimit, TypeGauge, "requests by group"},
		{FleetWaiting, TypeGauge, "requests by class"},
		{FleetWork, TypeGauge, "ms by service"},
		{GroupSkew, TypeGauge, "ratio by group"},
		{GroupMapAge, TypeGauge, "s by group"},
		{GatewayWaitMs, TypeHistogram, "requests"},
		{GatewayFirstByteMs, TypeHistogram, "requests"},
		{GatewayAnswerMs, TypeHistogram, "requests"},
		{GatewayLongestGapMs, TypeHistogram, "requests"},
	}
}
