// Package cataloguer holds the configuration that gateways serve: routes, services, customers and limits. A catalogue
// is read-only once it is built. The package has no I/O.
package cataloguer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Version numbers the configurations of the operator. A higher number replaces a lower one.
type Version uint64

// Repetition tells whether a request may run more than once.
type Repetition int

// The kinds of repetition.
const (
	// RepeatNever allows one run for each attempt of the client.
	RepeatNever Repetition = iota
	// RepeatAlways allows any number of runs.
	RepeatAlways
	// RepeatResume allows a further run that goes on after the last event the client has.
	RepeatResume
)

// Target is a service that a route sends requests to, with its share of them.
type Target struct {
	Service identifier.Service
	Weight  int
}

// Route tells how the requests below a prefix of a host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream is set if the answer is a series of events.
	Stream     bool
	Repetition Repetition
	Targets    []Target
	// Attempts bounds the upstreams that run one attempt of the client.
	Attempts int
	// Timeout is the time within which a request gets its final answer.
	Timeout time.Duration
	// Objective is the time to the first byte for which an answer earns full credit.
	Objective time.Duration
	// GapTarget is the longest pause between events for which a stream earns full credit.
	GapTarget time.Duration
	// Priority orders requests; 0 goes first.
	Priority int
	// Public routes need no key.
	Public bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Sets, Experts and Places are the layer sets, the experts of each, and the experts of a set that a rank can hold.
	Sets    int
	Experts int
	Places  int
	// Spare is the number of experts of a set that a rank can load beside those it serves.
	Spare int
	// ExpertShare is the part of a token's work that its experts do.
	ExpertShare float64
	// FormTime is how long a group needs to open once all of its ranks are back.
	FormTime time.Duration
	// ExpertLoadTime is how long a rank copies one expert.
	ExpertLoadTime time.Duration
	// UsualPrompt and UsualAnswer are the mean tokens of a request.
	UsualPrompt int
	UsualAnswer int
}

const (
	// minPatience, objectivePatience and gapPatience give the gap after which clients abandon a stream (the platform's
	// page on requests).
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// Patience returns the longest gap that a client bears in a stream, also before its first event. It is 0 for other
// routes, whose clients wait until their deadline.
func (r Route) Patience() time.Duration {
	if !r.Stream {
		return 0
	}
	return max(minPatience, objectivePatience*r.Objective, gapPatience*r.GapTarget)
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name       identifier.Service
	HealthPath string
	// ConnectionLimit is the number of connections that an upstream accepts from all callers together.
	ConnectionLimit int
	// ColdPerSecond bounds the requests a second to a cold upstream; 0 sets no bound.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Customer is the owner of keys.
type Customer struct {
	Name identifier.Customer
	// Priority replaces that of the route unless it is nil.
	Priority *int
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is what a catalogue is built from.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	// Keys maps each key to its customer.
	Keys   map[string]Customer
	Limits Limits
}

// Catalogue is one version of the configuration.
type Catalogue struct {
	version  Version
	hosts    map[string][]Route
	services map[identifier.Service]Service
	keys     map[string]Customer
	limits   Limits
}

// New returns a catalogue.
func New(cfg Config) *Catalogue {
	c := &Catalogue{
		version:  cfg.Version,
		hosts:    map[string][]Route{},
		services: make(map[identifier.Service]Service, len(cfg.Services)),
		keys:     cfg.Keys,
		limits:   cfg.Limits,
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

// Version returns the number of the configuration.
func (c *Catalogue) Version() Version {
	return c.version
}

// Limits returns what clients may send.
func (c *Catalogue) Limits() Limits {
	return c.limits
}

// Route returns the route of the host with the longest prefix of the path.
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

// Service returns a service by name.
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

// Authenticate returns the customer that holds a key. Without customers in the configuration no key is needed.
func (c *Catalogue) Authenticate(r Route, key string) (Customer, bool) {
	if r.Public || len(c.keys) == 0 {
		return Customer{}, true
	}
	owner, found := c.keys[key]
	return owner, found
}

// Priority returns the priority of a customer's request on a route.
func Priority(r Route, owner Customer) int {
	if owner.Priority != nil {
		return *owner.Priority
	}
	return r.Priority
}

// Pick returns the service for a request, where draw is uniform in [0, 1).
func (r Route) Pick(draw float64) identifier.Service {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 && len(r.Targets) > 0 {
		return r.Targets[0].Service
	}
	at := int(draw * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}
