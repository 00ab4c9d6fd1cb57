package driver

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// JSON bodies of the engine protocol. Plain services use those of reports and problems.
type (
	// wireGeneration is the request body of a generation.
	wireGeneration struct {
		Request   string `json:"request"`
		Customer  string `json:"customer"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter,omitempty"`
		Prompt    string `json:"prompt"`
		Generated string `json:"generated,omitempty"`
		MaxTokens int64  `json:"maxTokens,omitempty"`
		Priority  int    `json:"priority,omitempty"`
		Prefix    string `json:"prefix,omitempty"`
	}
	// wireLine is one line of the NDJSON stream of a generation: a piece of text, the end, or an error.
	wireLine struct {
		Text   string `json:"text"`
		Done   bool   `json:"done"`
		Tokens int64  `json:"tokens"`
		Error  string `json:"error"`
	}
	// wireProblem is the body of an error response.
	wireProblem struct {
		Error string `json:"error"`
	}
	// wireRequest names the request to cancel.
	wireRequest struct {
		Request string `json:"request"`
	}
	wireModel struct {
		Name     string   `json:"name"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters"`
	}
	wireReport struct {
		Boot        string      `json:"boot"`
		Running     int         `json:"running"`
		Waiting     int         `json:"waiting"`
		Step        uint64      `json:"step"`
		StepMicros  int64       `json:"stepMicros"`
		MapVersion  uint64      `json:"mapVersion"`
		PreparedMap uint64      `json:"preparedMap"`
		Experts     []int64     `json:"experts"`
		Models      []wireModel `json:"models"`
		Role        string      `json:"role"`
		KVUsed      int64       `json:"kvUsed"`
		KVSize      int64       `json:"kvSize"`
		AsOf        time.Time   `json:"asOf"`
	}
	wireCacheEvent struct {
		Sequence uint64 `json:"sequence"`
		Prefix   string `json:"prefix"`
		Added    bool   `json:"added"`
	}
	wireCacheEvents struct {
		Events []wireCacheEvent `json:"events"`
		Next   uint64           `json:"next"`
	}
	wireOrder struct {
		Fence        uint64  `json:"fence"`
		Kind         string  `json:"kind"`
		Version      uint64  `json:"version,omitempty"`
		Map          [][]int `json:"map,omitempty"`
		SwitchStep   uint64  `json:"switchStep,omitempty"`
		Commit       bool    `json:"commit,omitempty"`
		Model        string  `json:"model,omitempty"`
		ModelVersion string  `json:"modelVersion,omitempty"`
		Adapter      string  `json:"adapter,omitempty"`
		Role         string  `json:"role,omitempty"`
	}
	// wireOrderRefusal is the body of the response to a refused order.
	wireOrderRefusal struct {
		Error string `json:"error"`
		Fence uint64 `json:"fence"`
		Step  uint64 `json:"step"`
	}
)

func encodeGeneration(g Generation) wireGeneration {
	return wireGeneration{
		Request:   g.Request.String(),
		Customer:  string(g.Customer),
		Model:     string(g.Model),
		Adapter:   g.Adapter,
		Prompt:    string(g.Prompt),
		Generated: string(g.Generated),
		MaxTokens: int64(g.MaxTokens),
		Priority:  int(g.Priority),
		Prefix:    string(g.Prefix),
	}
}

func decodeReport(w wireReport) Report {
	experts := make([]identifier.Tokens, 0, len(w.Experts))
	for _, n := range w.Experts {
		experts = append(experts, identifier.Tokens(n))
	}
	models := make([]LoadedModel, 0, len(w.Models))
	for _, m := range w.Models {
		models = append(models, LoadedModel{Model: identifier.Model(m.Name), Version: m.Version, Adapters: m.Adapters})
	}
	return Report{
		Boot:         identifier.Boot(w.Boot),
		Running:      w.Running,
		Waiting:      w.Waiting,
		Step:         identifier.Step(w.Step),
		StepTime:     time.Duration(w.StepMicros) * time.Microsecond,
		MapVersion:   identifier.MapVersion(w.MapVersion),
		PreparedMap:  identifier.MapVersion(w.PreparedMap),
		ExpertTokens: experts,
		Models:       models,
		Role:         w.Role,
		KVUsed:       identifier.Bytes(w.KVUsed),
		KVSize:       identifier.Bytes(w.KVSize),
		AsOf:         w.AsOf,
	}
}

func decodeCacheEvents(events []wireCacheEvent) []CacheEvent {
	out := make([]CacheEvent, 0, len(events))
	for _, e := range events {
		out = append(out, CacheEvent{Sequence: e.Sequence, Prefix: identifier.Digest(e.Prefix), Added: e.Added})
	}
	return out
}
