// Package cataloguer holds the configuration that gateways apply to requests: routes, services, customers and limits. A
// catalogue is immutable once it is built, so it may be read concurrently. The package has no I/O.
package cataloguer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Version is the number of a configuration of the operator. A configuration with a higher number replaces one with a
// lower number.
type Version uint64

// RetryPolicy is whether an upstream may run a request again after a failure.
type RetryPolicy int

// The retry policies.
const (
	// RetryNever allows one run for each time the client sends the request.
	RetryNever RetryPolicy = iota
	// RetryAlways allows any number of runs.
	RetryAlways
	// RetryResume allows another run that continues the stream after the last event that the client has received.
	RetryResume
)

// Target is a service that a route sends requests to. Its share of the requests is its weight divided by the sum of the
// weights.
type Target struct {
	Service identifier.Service
	Weight  int
}

// Route configures the requests to a host whose paths start with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream is set if the response is a stream of events.
	Stream  bool
	Retry   RetryPolicy
	Targets []Target
	// Attempts bounds the upstreams that run a request each time the client sends it.
	Attempts int
	// Timeout is the time within which a response has to be complete.
	Timeout time.Duration
	// Objective is the service level objective: the longest time to the first byte at which a response is on time.
	Objective time.Duration
	// GapTarget is the longest gap between events at which a stream is on time.
	GapTarget time.Duration
	// Priority orders waiting requests; 0 is served first.
	Priority int
	// Public is set if requests need no API key.
	Public bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Sets is the number of sets of layers, Experts the number of experts of each set, and Places the number of experts of
	// a set that a rank can hold.
	Sets    int
	Experts int
	Places  int
	// Spare is the number of experts of a set that a rank can load beside those it serves.
	Spare int
	// ExpertShare is the share of the work for a token that the experts do, from 0 to 1.
	ExpertShare float64
	// FormTime is how long a group takes to open once all of its ranks are available.
	FormTime time.Duration
	// ExpertLoadTime is how long a rank takes to load one expert.
	ExpertLoadTime time.Duration
	// StepTime is how long a rank takes for one step of a pass without requests, and StepTimePerStream how much longer each
	// stream makes it; 0 if they are not known.
	StepTime          time.Duration
	StepTimePerStream time.Duration
	// StepTimePerContext is how much longer each 1,000 tokens of context make a step, ReadPerSecond the number of prompt
	// tokens that a rank reads per second, ReadPerStep the largest number of them in a step, and StepsPerPass the number of
	// steps, and so of generated tokens of each stream, in a pass; 0 if they are not known.
	StepTimePerContext time.Duration
	ReadPerSecond      float64
	ReadPerStep        int
	StepsPerPass       int
	// MemoryTokens is the number of tokens of context that a rank can hold; 0 if it is not known.
	MemoryTokens int
	// MeanPromptTokens and MeanResponseTokens are the mean lengths of the prompt and the response of a request.
	MeanPromptTokens   int
	MeanResponseTokens int
}

const (
	// The platform specifies that clients abandon a stream after the longest of these gaps: minGapTimeout,
	// gapTimeoutPerObjective times the objective, and gapTimeoutPerGapTarget times the gap target.
	minGapTimeout          = 2 * time.Second
	gapTimeoutPerObjective = 4
	gapTimeoutPerGapTarget = 8
)

// ClientGapTimeout returns the time without an event, also before the first one, after which clients abandon a stream.
// It is 0 for routes without streams, whose clients wait until their deadline.
func (r Route) ClientGapTimeout() time.Duration {
	if !r.Stream {
		return 0
	}
	return max(minGapTimeout, gapTimeoutPerObjective*r.Objective, gapTimeoutPerGapTarget*r.GapTarget)
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name       identifier.Service
	HealthPath string
	// ConnectionLimit is the number of connections that an upstream accepts in total.
	ConnectionLimit int
	// ColdPerSecond is the rate limit of a cold upstream in requests per second; 0 means no limit.
	ColdPerSecond float64
	// Engine is nil for services without model engines.
	Engine *Engine
}

// Customer is the owner of API keys.
type Customer struct {
	Name identifier.Customer
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
}

// Limits bounds the requests of clients in size and time.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection waits for the next request.
	IdleTimeout time.Duration
}

// Config is the content of a catalogue.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	// AllowAnonymous is set if requests need no API key.
	AllowAnonymous bool
	// Keys maps each API key to its customer.
	Keys   map[string]Customer
	Limits Limits
	// Previous is the catalogue that this one replaces, or nil. Its keys that Keys lacks are remembered as former ones.
	Previous *Catalogue
}

// maxFormerKeys bounds the keys of earlier configurations that are remembered.
const maxFormerKeys = 10000

// Catalogue is one version of the configuration.
type Catalogue struct {
	version Version
	// hosts maps each host name, in lower case, to its routes, those with the longest prefix first.
	hosts          map[string][]Route
	services       map[identifier.Service]Service
	allowAnonymous bool
	keys           map[string]Customer
	// formerOwners holds the customers of the keys that earlier configurations held.
	formerOwners map[string]identifier.Customer
	limits       Limits
}

// New returns a Catalogue. It keeps the map Keys of the Config, which the caller must not change afterwards.
func New(cfg Config) *Catalogue {
	c := &Catalogue{
		version:        cfg.Version,
		hosts:          map[string][]Route{},
		services:       make(map[identifier.Service]Service, len(cfg.Services)),
		allowAnonymous: cfg.AllowAnonymous,
		keys:           cfg.Keys,
		formerOwners:   formerOwners(cfg),
		limits:         cfg.Limits,
	}
	for _, r := range cfg.Routes {
		c.hosts[strings.ToLower(r.Host)] = append(c.hosts[strings.ToLower(r.Host)], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range cfg.Services {
		c.services[s.Name] = s
	}
	return c
}

// formerOwners returns the customers of the keys that the previous catalogue held or remembered and a Config lacks. Beyond
// maxFormerKeys it forgets the keys that the previous catalogue only remembered.
func formerOwners(cfg Config) map[string]identifier.Customer {
	out := map[string]identifier.Customer{}
	if cfg.Previous == nil {
		return out
	}
	for key, owner := range cfg.Previous.keys {
		if _, held := cfg.Keys[key]; !held {
			out[key] = owner.Name
		}
	}
	for key, name := range cfg.Previous.formerOwners {
		if _, held := cfg.Keys[key]; !held && len(out) < maxFormerKeys {
			out[key] = name
		}
	}
	return out
}

// Version returns the version of the configuration.
func (c *Catalogue) Version() Version {
	return c.version
}

// Limits returns the limits of client requests.
func (c *Catalogue) Limits() Limits {
	return c.limits
}

// Route returns the route of a host with the longest prefix that matches the path, and whether there is one. The host
// may have a port.
func (c *Catalogue) Route(host, path string) (Route, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with a name, and whether it exists.
func (c *Catalogue) Service(name identifier.Service) (Service, bool) {
	s, found := c.services[name]
	return s, found
}

// Services returns all services, ordered by name.
func (c *Catalogue) Services() []Service {
	out := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// GapTarget returns the least gap target of the routes to a service, or 0 if none has one.
func (c *Catalogue) GapTarget(name identifier.Service) time.Duration {
	least := time.Duration(0)
	for _, routes := range c.hosts {
		for _, r := range routes {
			if r.GapTarget > 0 && (least == 0 || r.GapTarget < least) && r.serves(name) {
				least = r.GapTarget
			}
		}
	}
	return least
}

// serves reports whether the route sends requests to a service.
func (r Route) serves(name identifier.Service) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == name })
}

// AllowsAnonymous reports whether requests need no API key.
func (c *Catalogue) AllowsAnonymous() bool {
	return c.allowAnonymous
}

// Authenticate returns the customer that owns an API key, and whether a request with this key may use the route. Public
// routes, and configurations that allow anonymous requests, need no key. A catalogue without keys accepts no key.
func (c *Catalogue) Authenticate(r Route, key string) (Customer, bool) {
	if r.Public || c.allowAnonymous {
		return Customer{}, true
	}
	owner, found := c.keys[key]
	return owner, found
}

// FormerOwner returns the customer of a key that an earlier configuration held and this one does not, and whether there
// is one.
func (c *Catalogue) FormerOwner(key string) (identifier.Customer, bool) {
	name, found := c.formerOwners[key]
	return name, found
}

// Priority returns the priority of the requests of a customer on a route.
func Priority(r Route, owner Customer) int {
	if owner.Priority != nil {
		return *owner.Priority
	}
	return r.Priority
}

// Pick returns the service for a request, chosen at random by weight. The draw is uniform in [0, 1).
func (r Route) Pick(draw float64) identifier.Service {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 && len(r.Targets) > 0 {
		return r.Targets[0].Service
	}
	position := int(draw * float64(total))
	for _, t := range r.Targets {
		if position < t.Weight {
			return t.Service
		}
		position -= t.Weight
	}
	return ""
}
