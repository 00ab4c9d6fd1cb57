package gatewayrunner

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/accepter"
	"currantledge.example/currantledge/internal/connection/shedder"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/platform"
)

const (
	// assumedMemory is the memory of the process if the platform does not say.
	assumedMemory = 160_000_000
	// assumedDescriptors is the largest number of descriptors that is used if the platform does not say.
	assumedDescriptors = 4096
	// clientMemoryShare is the part of the memory for everything that clients make the gateway hold. At 136 MB it is
	// enough for 800 streams with heads of 1 KB and bodies of 4 KB. The rest is for the program, its tables, and garbage:
	// the collector works harder from collectAt on.
	clientMemoryShare = 0.3125
	// otherMemoryShare is the part for each of the other two listeners, so that no crowd of clients keeps readiness checks
	// or peers out.
	otherMemoryShare = 0.03125
	// requestMemoryDivisor and responseMemoryDivisor set the parts of the memory for the bodies of requests and for
	// buffered responses beyond the first 16 KiB of each. Both count in the share of the clients as well.
	requestMemoryDivisor  = 4
	responseMemoryDivisor = 8
	// otherDescriptorShare is the part of the descriptors for each of the other two listeners and for idle connections to
	// upstreams. Three eighths each are for clients and for the requests to upstreams that they cause, and the last
	// sixteenth for the store, peers, engines and the log.
	otherDescriptorShare = 0.0625
)

// clientLimits are the limits that follow from the memory and the descriptors of the process.
type clientLimits struct {
	memory  int64
	clients shedder.Limits
	// others are those of the readiness listener and of the control listener.
	others shedder.Limits
	// idleUpstreams bounds the idle connections to upstreams.
	idleUpstreams int
}

func newClientLimits(s platform.Settings) clientLimits {
	memory, descriptors := s.Memory, s.MaxFds
	if memory == 0 {
		memory = assumedMemory
	}
	if descriptors == 0 {
		descriptors = min(accepter.Descriptors(), assumedDescriptors)
	}
	other := max(int(float64(descriptors)*otherDescriptorShare), 1)
	return clientLimits{
		memory:        memory,
		clients:       shedder.Limits{Bytes: int64(float64(memory) * clientMemoryShare), Connections: accepter.ConnectionsOf(descriptors)},
		others:        shedder.Limits{Bytes: int64(float64(memory) * otherMemoryShare), Connections: other},
		idleUpstreams: other,
	}
}

// acceptClients returns a listener that accepts the connections of clients from another one, within the limits of the process and
// those of the present configuration.
func (g *gateway) acceptClients(inner net.Listener) *accepter.Listener {
	return accepter.New(inner, accepter.Config{
		Name: "clients", Limits: g.limits.clients, HeaderBytes: g.headerBytes, Timeouts: g.clientTimeouts, Log: g.log,
	})
}

// accept returns a listener that accepts the connections of another one within limits.
func (g *gateway) accept(name string, inner net.Listener, limits shedder.Limits) *accepter.Listener {
	return accepter.New(inner, accepter.Config{Name: name, Limits: limits, HeaderBytes: g.headerBytes, Log: g.log})
}

// headerBytes returns the limit of heads in the configuration, or 0 without one.
func (g *gateway) headerBytes() int {
	if catalogue := g.fleet.Load().Catalogue; catalogue != nil {
		return min(catalogue.Limits().HeaderBytes, maxHeaderBytes)
	}
	return 0
}

// clientTimeouts returns how long heads may take and connections be idle.
func (g *gateway) clientTimeouts() (head, idle time.Duration) {
	var limits cataloguer.Limits
	if catalogue := g.fleet.Load().Catalogue; catalogue != nil {
		limits = catalogue.Limits()
	}
	return clientTimeout(limits.HeaderTimeout, minHeaderTimeout, maxHeaderTimeout),
		clientTimeout(limits.IdleTimeout, minIdleTimeout, maxIdleTimeout)
}

func clientTimeout(configured, least, most time.Duration) time.Duration {
	return min(max(least, time.Duration(timeoutRatio*float64(min(configured, most)))), most)
}

// limitProblems returns an error for each limit of a configuration that is above the largest one that a gateway follows.
func limitProblems(catalogue *cataloguer.Catalogue) (problems []error) {
	if catalogue == nil {
		return nil
	}
	limits := catalogue.Limits()
	if limits.HeaderBytes > maxHeaderBytes {
		problems = append(problems, errors.Newf("limit of %d bytes for heads of clients: %d are used", limits.HeaderBytes, maxHeaderBytes))
	}
	if limits.HeaderTimeout > maxHeaderTimeout {
		problems = append(problems, errors.Newf("limit of %v for heads of clients: %v is used", limits.HeaderTimeout, maxHeaderTimeout))
	}
	if limits.IdleTimeout > maxIdleTimeout {
		problems = append(problems, errors.Newf("limit of %v for idle connections: %v is used", limits.IdleTimeout, maxIdleTimeout))
	}
	return problems
}

// publishClients publishes what the listeners hold for clients.
func (g *gateway) publishClients(clients, ready, control *accepter.Listener) {
	g.meter.PublishClients(map[string]meter.Clients{"clients": clients, "ready": ready, "control": control})
}
