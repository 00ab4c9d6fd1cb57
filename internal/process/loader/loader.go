// Package loader reads and validates the settings of entries and agents, which are written as JSON with comments. The
// settings must not be modified after loading.
package loader

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/parser"
)

// Routing is the policy by which an entry chooses an upstream for a request.
type Routing string

// The routing policies. RoutingRoundRobin and RoutingLeastLoaded are baselines to compare RoutingBalanced with.
const (
	RoutingBalanced    Routing = "balanced"
	RoutingRoundRobin  Routing = "roundRobin"
	RoutingLeastLoaded Routing = "leastLoaded"
)

// UpstreamKind is the protocol of an upstream.
type UpstreamKind string

// The protocols: that of model engines, and plain HTTP of other services.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Keys holds the paths of the PEM files with which a node authenticates itself in the fleet.
type Keys struct {
	Authority   string
	Certificate string
	Key         string
}

// Entry holds the settings of one entry.
type Entry struct {
	Node          identifier.Node
	FailureDomain identifier.FailureDomain
	// Callers, Operators and Fleet are the listen addresses for callers, operators and other nodes of the fleet.
	Callers   string
	Operators string
	Fleet     string
	// Advertise is the fleet address that peers connect to.
	Advertise string
	// Peers are the fleet addresses of some entries, through which the node joins the fleet.
	Peers []string
	// Platform is the base URL of the platform.
	Platform           string
	Keys               Keys
	OperatorKeyDigests []identifier.Digest
	LogLevel           zerolog.Level
	Routing            Routing
}

// Agent holds the settings of one agent.
type Agent struct {
	Node          identifier.Node
	FailureDomain identifier.FailureDomain
	Upstream      identifier.Upstream
	UpstreamURL   string
	UpstreamKind  UpstreamKind
	// Fleet is the listen address for other nodes of the fleet.
	Fleet string
	// Advertise is the fleet address that peers connect to.
	Advertise string
	// Peers are the fleet addresses of some entries, through which the node joins the fleet.
	Peers []string
	// Platform is the base URL of the platform.
	Platform string
	Keys     Keys
	LogLevel zerolog.Level
	// Metrics is the listen address of the health endpoints and metrics. If it is empty, they are not served.
	Metrics string
}

// Problem is one error in a text, with its position.
type Problem = parser.Problem

// InvalidError lists all problems of a text.
type InvalidError = parser.InvalidError

// LoadEntry reads the settings of an entry from a file.
func LoadEntry(path string) (Entry, error) {
	return load(path, ParseEntry)
}

// LoadAgent reads the settings of an agent from a file.
func LoadAgent(path string) (Agent, error) {
	return load(path, ParseAgent)
}

// ParseEntry reads the settings of an entry from a text. Errors name the source as the text's file.
func ParseEntry(source string, text []byte) (Entry, error) {
	return parse(source, text, decodeEntry)
}

// ParseAgent reads the settings of an agent from a text. Errors name the source as the text's file.
func ParseAgent(source string, text []byte) (Agent, error) {
	return parse(source, text, decodeAgent)
}

func load[T any](path string, parseText func(string, []byte) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, errors.Wrap(err, "read the settings; give the path of a readable file")
	}
	return parseText(path, text)
}

func parse[T any](source string, text []byte, decode func(*parser.Object) T) (T, error) {
	var zero T
	document, object := parser.Parse(source, text)
	if object == nil {
		return zero, document.Err()
	}
	settings := decode(object)
	if err := document.Err(); err != nil {
		return zero, err
	}
	return settings, nil
}

func decodeEntry(o *parser.Object) Entry {
	defer o.ReportUnknown()
	e := Entry{
		Node:               identifier.Node(o.Text("node", parser.Name())),
		FailureDomain:      identifier.FailureDomain(o.Text("failureDomain", parser.Name())),
		Callers:            o.Text("callers", parser.ListenAddress()),
		Operators:          o.Text("operators", parser.ListenAddress()),
		Fleet:              o.Text("fleet", parser.ListenAddress()),
		Peers:              o.Texts("peers", 0, parser.PeerAddress()),
		Platform:           o.Text("platform", parser.URL()),
		Keys:               decodeKeys(o),
		OperatorKeyDigests: decodeDigests(o, "operatorKeyDigests"),
		LogLevel:           decodeLevel(o),
		Routing: Routing(o.Choice("routing", string(RoutingBalanced),
			string(RoutingBalanced), string(RoutingRoundRobin), string(RoutingLeastLoaded))),
	}
	e.Advertise = decodeAdvertise(o, e.Fleet)
	if e.Callers != "" && e.Callers == e.Operators {
		o.Report("operators", e.Operators, "callers listens on this address; use another port")
	}
	return e
}

func decodeAgent(o *parser.Object) Agent {
	defer o.ReportUnknown()
	a := Agent{
		Node:          identifier.Node(o.Text("node", parser.Name())),
		FailureDomain: identifier.FailureDomain(o.Text("failureDomain", parser.Name())),
		Upstream:      identifier.Upstream(o.Text("upstream", parser.Name())),
		UpstreamURL:   o.Text("upstreamURL", parser.URL()),
		UpstreamKind:  UpstreamKind(o.Choice("upstreamKind", "", string(UpstreamEngine), string(UpstreamService))),
		Fleet:         o.Text("fleet", parser.ListenAddress()),
		Peers:         o.Texts("peers", 1, parser.PeerAddress()),
		Platform:      o.Text("platform", parser.URL()),
		Keys:          decodeKeys(o),
		LogLevel:      decodeLevel(o),
		Metrics:       o.OptionalText("metrics", "", parser.ListenAddress()),
	}
	a.Advertise = decodeAdvertise(o, a.Fleet)
	return a
}

func decodeKeys(o *parser.Object) Keys {
	k := o.Object("keys")
	if k == nil {
		return Keys{}
	}
	defer k.ReportUnknown()
	return Keys{
		Authority:   k.Text("authority", parser.NotEmpty()),
		Certificate: k.Text("certificate", parser.NotEmpty()),
		Key:         k.Text("key", parser.NotEmpty()),
	}
}

func decodeDigests(o *parser.Object, field string) []identifier.Digest {
	texts := o.Texts(field, 1, parser.Digest())
	digests := make([]identifier.Digest, 0, len(texts))
	for _, t := range texts {
		digests = append(digests, identifier.Digest(t))
	}
	return digests
}

func decodeLevel(o *parser.Object) zerolog.Level {
	text := o.Choice("logLevel", "info", "debug", "info", "warn", "error")
	// ParseLevel accepts each of these choices, and the empty text after a problem.
	level, err := zerolog.ParseLevel(text)
	if err != nil {
		return zerolog.InfoLevel
	}
	return level
}

// decodeAdvertise reads the advertised address. It defaults to the listen address, and reports a problem if peers cannot
// connect to that, as with an unspecified address.
func decodeAdvertise(o *parser.Object, fleet string) string {
	if o.Has("advertise") {
		return o.Text("advertise", parser.PeerAddress())
	}
	if fleet != "" && parser.PeerAddress().Check(fleet) != "" {
		o.Report("fleet", fleet, "peers cannot connect to this address; add advertise with the address that they can reach")
	}
	return fleet
}
