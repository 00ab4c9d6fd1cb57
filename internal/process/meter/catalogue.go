package meter

// Type tells how the value of a metric changes.
type Type string

// The types of metrics.
const (
	TypeCounter Type = "counter"
	TypeGauge   Type = "gauge"
	// TypeHistogram is an object with a count for each upper bound.
	TypeHistogram Type = "histogram"
)

// Described is one row of the catalogue of metrics.
type Described struct {
	Name Name
	Type Type
	Unit string
}

// Catalogue returns all metrics. docs/metrics.md explains them in the same order.
func Catalogue() []Described {
	return []Described{
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
		{StoreFailures, TypeCounter, "calls"},
		{MapSwitches, TypeCounter, "switches"},
		{MapsAbandoned, TypeCounter, "switches"},
		{LogLinesDropped, TypeCounter, "lines"},
		{GatewayWaitMs, TypeHistogram, "requests"},
		{GatewayFirstByteMs, TypeHistogram, "requests"},
		{GatewayAnswerMs, TypeHistogram, "requests"},
	}
}
