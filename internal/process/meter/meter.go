// Package meter counts what a process does and publishes it through expvar under the name currantledge.
package meter

import (
	"expvar"
	"net/http"
	"sync"
)

// Name names a metric. docs/metrics.md lists them all.
type Name string

// The metrics. Counters only grow within the life of a process; gauges are read when they are asked for.
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
	StoreFailures    Name = "storeFailures"
	MapSwitches      Name = "mapSwitches"
	MapsAbandoned    Name = "mapsAbandoned"
	LogLinesDropped  Name = "logLinesDropped"

	GatewayWaitMs      Name = "gatewayWaitMs"
	GatewayFirstByteMs Name = "gatewayFirstByteMs"
	GatewayAnswerMs    Name = "gatewayAnswerMs"
)

const published = "currantledge"

var publish sync.Once

// Meter holds the metrics of a process.
type Meter struct {
	vars *expvar.Map
}

// New returns a meter. The first one of a process is published.
func New() *Meter {
	m := &Meter{vars: new(expvar.Map).Init()}
	// Two meters that are made at the same time must not both be published: expvar panics.
	publish.Do(func() { expvar.Publish(published, m.vars) })
	return m
}

// Add adds to a counter.
func (m *Meter) Add(name Name) {
	m.vars.Add(string(name), 1)
}

// Gauge sets the function that reads a gauge, or a counter that is kept elsewhere.
func (m *Meter) Gauge(name Name, read func() int64) {
	m.vars.Set(string(name), expvar.Func(func() any { return read() }))
}

// Handler serves all published metrics as JSON.
func Handler() http.Handler {
	return expvar.Handler()
}
