package launcher

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyFiles holds the paths of the key files in settings.
type keyFiles struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// entrySettings is the settings file of an entry.
type entrySettings struct {
	Node               string   `json:"node"`
	FailureDomain      string   `json:"failureDomain"`
	Callers            string   `json:"callers"`
	Operators          string   `json:"operators"`
	Fleet              string   `json:"fleet"`
	Advertise          string   `json:"advertise"`
	Peers              []string `json:"peers"`
	Platform           string   `json:"platform"`
	Keys               keyFiles `json:"keys"`
	OperatorKeyDigests []string `json:"operatorKeyDigests"`
	LogLevel           string   `json:"logLevel"`
	Routing            string   `json:"routing"`
}

// agentSettings is the settings file of an agent.
type agentSettings struct {
	Node          string   `json:"node"`
	FailureDomain string   `json:"failureDomain"`
	Upstream      string   `json:"upstream"`
	UpstreamURL   string   `json:"upstreamURL"`
	UpstreamKind  string   `json:"upstreamKind"`
	Fleet         string   `json:"fleet"`
	Advertise     string   `json:"advertise"`
	Peers         []string `json:"peers"`
	Platform      string   `json:"platform"`
	Keys          keyFiles `json:"keys"`
	LogLevel      string   `json:"logLevel"`
	Metrics       string   `json:"metrics"`
}

// FailureDomain is the resource of a failure domain.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  string `json:"state"`
}

// Model is a model of a group.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// ModelGroup is the resource of a model group.
type ModelGroup struct {
	Name           string   `json:"name"`
	Models         []Model  `json:"models"`
	FailureDomains []string `json:"failureDomains"`
	Ranks          int      `json:"ranks"`
	Experts        int      `json:"experts"`
	ExpertBytes    int64    `json:"expertBytes"`
}

// Upstream is the resource of an upstream.
type Upstream struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	ModelGroup    string `json:"modelGroup,omitempty"`
	Service       string `json:"service,omitempty"`
	Rank          *int   `json:"rank,omitempty"`
	ColdLimit     int    `json:"coldLimit"`
	WarmLimit     int    `json:"warmLimit"`
	WarmAfter     int    `json:"warmAfter"`
	ChecksFence   bool   `json:"checksFence"`
	State         string `json:"state"`
}

// Customer is the resource of a customer.
type Customer struct {
	Name       string   `json:"name"`
	Share      float64  `json:"share"`
	KeyDigests []string `json:"keyDigests"`
	MaxWaiting int      `json:"maxWaiting"`
}

// Service is the resource of a plain service.
type Service struct {
	Name            string   `json:"name"`
	IdempotentPaths []string `json:"idempotentPaths"`
}

// The states of failure domains and upstreams in resources.
const (
	StateIn      = "in"
	StateOut     = "out"
	StateActive  = "active"
	StateLeaving = "leaving"
)

// KeyDigest returns the hex SHA-256 digest by which settings and resources identify a bearer key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
