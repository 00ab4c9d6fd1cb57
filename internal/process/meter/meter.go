// Package meter holds the metrics of a process (counters, gauges and histograms) and publishes them through expvar, as
// the variable currantledge.
package meter

import (
	"expvar"
	"net/http"
	"sync"
)

// Name is the name under which a metric is published. docs/metrics.md explains each one.
type Name string

// The metrics. Counters start at zero and only increase while the process runs; gauges are evaluated on each read.
const (
	RequestsComplete  Name = "requestsComplete"
	RequestsNotRun    Name = "requestsNotRun"
	RequestsUnknown   Name = "requestsUnknown"
	RequestsCancelled Name = "requestsCancelled"
	RequestsOpen      Name = "requestsOpen"
	StreamsResumed    Name = "streamsResumed"
	StreamsReattached Name = "streamsReattached"
	LinksUp           Name = "linksUp"
	LinksLost         Name = "linksLost"
	ConfigRevision    Name = "configRevision"
	ConfigAdopted     Name = "configAdopted"
	PlatformFailures  Name = "platformFailures"
	Dispatched        Name = "dispatched"
	UpstreamFailures  Name = "upstreamFailures"
	UpstreamRunning   Name = "upstreamRunning"
	UpstreamLimit     Name = "upstreamLimit"
	CreditsGranted    Name = "creditsGranted"
	ClaimsWon         Name = "claimsWon"
	ClaimsHeld        Name = "claimsHeld"
	ClaimsUnsure      Name = "claimsUnsure"

	LinkBytesSent        Name = "linkBytesSent"
	LinkBytesReceived    Name = "linkBytesReceived"
	ControlBytesSent     Name = "controlBytesSent"
	ControlBytesReceived Name = "controlBytesReceived"

	GatewayRequests  Name = "gatewayRequests"
	GatewayServed    Name = "gatewayServed"
	GatewayRefused   Name = "gatewayRefused"
	GatewayRejected  Name = "gatewayRejected"
	GatewayFailed    Name = "gatewayFailed"
	GatewayBroken    Name = "gatewayBroken"
	GatewayCancelled Name = "gatewayCancelled"
	GatewayOversized Name = "gatewayOversized"
	GatewayCrashes   Name = "gatewayCrashes"
	GatewayScreened  Name = "gatewayScreened"
	// GatewayOverShare counts refusals of customers that were granted more than their share.
	GatewayOverShare Name = "gatewayOverShare"
	// GatewayFirstEventsLate and GatewayGapsLong count the attempts whose stream has missed a target of its route.
	GatewayFirstEventsLate Name = "gatewayFirstEventsLate"
	GatewayGapsLong        Name = "gatewayGapsLong"
	// GatewayTokensExpected and GatewayTokensGenerated count the tokens of complete streams as they were estimated before
	// and as they were.
	GatewayTokensExpected  Name = "gatewayTokensExpected"
	GatewayTokensGenerated Name = "gatewayTokensGenerated"
	StoreFailures          Name = "storeFailures"
	MapSwitches            Name = "mapSwitches"
	MapsAbandoned          Name = "mapsAbandoned"
	CountsRead             Name = "countsRead"
	AnswersRejected        Name = "answersRejected"
	LogLinesDropped        Name = "logLinesDropped"

	ClientConnections Name = "clientConnections"
	ClientBytes       Name = "clientBytes"
	ClientsShed       Name = "clientsShed"
	ClientsRefused    Name = "clientsRefused"
	ClientsOversized  Name = "clientsOversized"
	ClientsExpired    Name = "clientsExpired"

	GroupOpen    Name = "groupOpen"
	GroupRanks   Name = "groupRanks"
	GroupRunning Name = "groupRunning"
	GroupLimit   Name = "groupLimit"
	FleetWaiting Name = "fleetWaiting"
	FleetWork    Name = "fleetWork"
	GroupSkew    Name = "groupSkew"
	GroupMapAge  Name = "groupMapAge"

	GatewayWaitMs      Name = "gatewayWaitMs"
	GatewayFirstByteMs Name = "gatewayFirstByteMs"
	GatewayAnswerMs    Name = "gatewayAnswerMs"
	// GatewayLongestGapMs is the longest time between two events of a complete stream.
	GatewayLongestGapMs Name = "gatewayLongestGapMs"
)

// publishedName is the name of the expvar variable that holds all metrics.
const publishedName = "currantledge"

var publishOnce sync.Once

// Meter holds the metrics of a process. Its methods may be called concurrently.
type Meter struct {
	vars *expvar.Map
}

// New returns a meter. Only the first meter of a process is published; tests create several.
func New() *Meter {
	m := &Meter{vars: new(expvar.Map).Init()}
	// expvar panics if a name is published twice, also by meters that are created concurrently.
	publishOnce.Do(func() { expvar.Publish(publishedName, m.vars) })
	return m
}

// Increment adds one to a counter.
func (m *Meter) Increment(name Name) {
	m.vars.Add(string(name), 1)
}

// Count returns the value of a counter.
func (m *Meter) Count(name Name) int64 {
	if counter, is := m.vars.Get(string(name)).(*expvar.Int); is {
		return counter.Value()
	}
	return 0
}

// SetGauge publishes the result of a function as a gauge, or as a counter that another component keeps. The function is
// called on each read, possibly concurrently.
func (m *Meter) SetGauge(name Name, read func() int64) {
	m.vars.Set(string(name), expvar.Func(func() any { return read() }))
}

// SetGauges publishes the result of a function as gauges by label. The function is called on each read, possibly
// concurrently.
func (m *Meter) SetGauges(name Name, read func() map[string]float64) {
	m.vars.Set(string(name), expvar.Func(func() any { return read() }))
}

// Handler returns a handler that serves all expvar variables of the process as JSON.
func Handler() http.Handler {
	return expvar.Handler()
}
