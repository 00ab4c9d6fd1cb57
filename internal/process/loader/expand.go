package loader

import (
	"encoding/json"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/parser"
)

// ParseEntries reads the settings of several entries from one text: {"common": {...}, "nodes": [{...}, ...]}.
// Each element of nodes holds the settings of one entry. Missing settings default to those in common.
func ParseEntries(source string, text []byte) ([]Entry, error) {
	return expand(source, text, decodeEntry, func(e Entry) identifier.Node { return e.Node })
}

// ParseAgents reads the settings of several agents from one text of the same form as that of ParseEntries.
func ParseAgents(source string, text []byte) ([]Agent, error) {
	return expand(source, text, decodeAgent, func(a Agent) identifier.Node { return a.Node })
}

// LoadEntries reads the settings of several entries from a file with the text of ParseEntries.
func LoadEntries(path string) ([]Entry, error) {
	return load(path, ParseEntries)
}

// LoadAgents reads the settings of several agents from a file with the text of ParseAgents.
func LoadAgents(path string) ([]Agent, error) {
	return load(path, ParseAgents)
}

func expand[T any](
	source string, text []byte, decode func(*parser.Object) T, nodeOf func(T) identifier.Node,
) ([]T, error) {
	return parse(source, text, func(o *parser.Object) []T {
		defer o.ReportUnknown()
		common := o.Object("common")
		if common == nil {
			return nil
		}
		var all []T
		seen := map[identifier.Node]bool{}
		for _, object := range o.Objects("nodes", 1) {
			settings := decode(object.WithDefaults(common))
			node := nodeOf(settings)
			if seen[node] && node != "" {
				object.Report("node", string(node), "another node has this name; rename one")
			}
			seen[node] = true
			all = append(all, settings)
		}
		return all
	})
}

type wireKeys struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

type wireEntry struct {
	Node               string   `json:"node"`
	FailureDomain      string   `json:"failureDomain"`
	Callers            string   `json:"callers"`
	Operators          string   `json:"operators"`
	Fleet              string   `json:"fleet"`
	Advertise          string   `json:"advertise"`
	Peers              []string `json:"peers,omitempty"`
	Platform           string   `json:"platform"`
	Keys               wireKeys `json:"keys"`
	OperatorKeyDigests []string `json:"operatorKeyDigests"`
	LogLevel           string   `json:"logLevel"`
	Routing            string   `json:"routing"`
}

type wireAgent struct {
	Node          string   `json:"node"`
	FailureDomain string   `json:"failureDomain"`
	Upstream      string   `json:"upstream"`
	UpstreamURL   string   `json:"upstreamURL"`
	UpstreamKind  string   `json:"upstreamKind"`
	Fleet         string   `json:"fleet"`
	Advertise     string   `json:"advertise"`
	Peers         []string `json:"peers"`
	Platform      string   `json:"platform"`
	Keys          wireKeys `json:"keys"`
	LogLevel      string   `json:"logLevel"`
	Metrics       string   `json:"metrics,omitempty"`
}

// EncodeEntry encodes settings as a text that ParseEntry decodes to the same settings.
func EncodeEntry(e Entry) []byte {
	digests := make([]string, 0, len(e.OperatorKeyDigests))
	for _, d := range e.OperatorKeyDigests {
		digests = append(digests, string(d))
	}
	return marshal(wireEntry{
		Node:               string(e.Node),
		FailureDomain:      string(e.FailureDomain),
		Callers:            e.Callers,
		Operators:          e.Operators,
		Fleet:              e.Fleet,
		Advertise:          e.Advertise,
		Peers:              e.Peers,
		Platform:           e.Platform,
		Keys:               wireKeys(e.Keys),
		OperatorKeyDigests: digests,
		LogLevel:           e.LogLevel.String(),
		Routing:            string(e.Routing),
	})
}

// EncodeAgent encodes settings as a text that ParseAgent decodes to the same settings.
func EncodeAgent(a Agent) []byte {
	return marshal(wireAgent{
		Node:          string(a.Node),
		FailureDomain: string(a.FailureDomain),
		Upstream:      string(a.Upstream),
		UpstreamURL:   a.UpstreamURL,
		UpstreamKind:  string(a.UpstreamKind),
		Fleet:         a.Fleet,
		Advertise:     a.Advertise,
		Peers:         a.Peers,
		Platform:      a.Platform,
		Keys:          wireKeys(a.Keys),
		LogLevel:      a.LogLevel.String(),
		Metrics:       a.Metrics,
	})
}

func marshal(wire any) []byte {
	// Encoding cannot fail: the structs contain only strings.
	text, _ := json.MarshalIndent(wire, "", "  ")
	return text
}
