package engineserver

import (
	"net/http"
	"slices"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/responder"
)

const codeUnknownKind = "unknownKind"

type (
	wireOrder struct {
		Fence        uint64  `json:"fence"`
		Kind         string  `json:"kind"`
		Version      uint64  `json:"version"`
		Map          [][]int `json:"map"`
		SwitchStep   uint64  `json:"switchStep"`
		Commit       bool    `json:"commit"`
		Model        string  `json:"model"`
		ModelVersion string  `json:"modelVersion"`
		Adapter      string  `json:"adapter"`
		Role         string  `json:"role"`
	}
	wireStaleFence struct {
		Error string `json:"error"`
		Fence uint64 `json:"fence"`
	}
	wireRefusal struct {
		Error string `json:"error"`
		// Step is the lowest switch step that the engine could still agree to.
		Step uint64 `json:"step"`
	}
)

func (e *engine) orders(w http.ResponseWriter, r *http.Request) {
	var in wireOrder
	if !responder.Decode(w, r, &in) {
		return
	}
	if !e.sim.AwaitStall(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFence && in.Fence < e.fence {
		responder.JSON(w, http.StatusConflict, wireStaleFence{Error: "staleFence", Fence: e.fence})
		return
	}
	e.fence = max(e.fence, in.Fence)
	code := e.followLocked(in)
	if code == codeUnknownKind {
		responder.Fail(w, http.StatusBadRequest, code)
		return
	}
	if code != "" {
		responder.JSON(w, http.StatusConflict, wireRefusal{Error: code, Step: uint64(e.maps.agreeable())})
		return
	}
	e.signal()
	w.WriteHeader(http.StatusNoContent)
}

// followLocked follows an order or returns the code of the refusal.
func (e *engine) followLocked(in wireOrder) string {
	switch in.Kind {
	case "prepareMap":
		return e.maps.prepare(scheduledMap{
			version:    identifier.MapVersion(in.Version),
			byRank:     in.Map,
			switchStep: identifier.Step(in.SwitchStep),
		})
	case "decideMap":
		return e.maps.decide(identifier.MapVersion(in.Version), in.Commit)
	case "loadModel":
		e.models.load(in.Model, in.ModelVersion, in.Adapter)
	case "unloadModel":
		e.models.unload(in.Model, in.Adapter)
	case "changeRole":
		e.role = in.Role
	default:
		return codeUnknownKind
	}
	return ""
}

// modelSet holds the loaded models. An engine that was started without models and got no order serves every model.
type modelSet struct {
	managed bool
	loaded  []wireModel
}

func newModelSet(names []string) *modelSet {
	m := &modelSet{}
	for _, name := range names {
		m.load(name, "", "")
	}
	return m
}

func (m *modelSet) index(name string) int {
	return slices.IndexFunc(m.loaded, func(x wireModel) bool { return x.Name == name })
}

// load adds a model, changes its version or adds an adapter to it.
func (m *modelSet) load(name, version, adapter string) {
	m.managed = true
	i := m.index(name)
	if i < 0 {
		m.loaded = append(m.loaded, wireModel{Name: name, Adapters: []string{}})
		i = len(m.loaded) - 1
	}
	if version != "" {
		m.loaded[i].Version = version
	}
	if adapter != "" && !slices.Contains(m.loaded[i].Adapters, adapter) {
		m.loaded[i].Adapters = append(m.loaded[i].Adapters, adapter)
	}
}

// unload removes an adapter of a model or, without an adapter, the model.
func (m *modelSet) unload(name, adapter string) {
	m.managed = true
	i := m.index(name)
	if i < 0 {
		return
	}
	if adapter == "" {
		m.loaded = slices.Delete(m.loaded, i, i+1)
		return
	}
	m.loaded[i].Adapters = slices.DeleteFunc(m.loaded[i].Adapters, func(a string) bool { return a == adapter })
}

func (m *modelSet) serves(name, adapter string) bool {
	if !m.managed {
		return true
	}
	i := m.index(name)
	return i >= 0 && (adapter == "" || slices.Contains(m.loaded[i].Adapters, adapter))
}

// snapshot returns a copy that later orders do not change.
func (m *modelSet) snapshot() []wireModel {
	out := make([]wireModel, 0, len(m.loaded))
	for _, x := range m.loaded {
		x.Adapters = append([]string{}, x.Adapters...)
		out = append(out, x)
	}
	return out
}
