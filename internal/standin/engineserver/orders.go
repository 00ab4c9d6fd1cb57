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
	wireRefusedOrder struct {
		Error string `json:"error"`
		// Step is the lowest switch step that the engine can still agree to.
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
	code := e.executeLocked(in)
	if code == codeUnknownKind {
		responder.Fail(w, http.StatusBadRequest, code)
		return
	}
	if code != "" {
		responder.JSON(w, http.StatusConflict, wireRefusedOrder{Error: code, Step: uint64(e.maps.minSwitchStep())})
		return
	}
	e.wakeLoop()
	w.WriteHeader(http.StatusNoContent)
}

// executeLocked executes an order. It returns "" or the code of the refusal.
func (e *engine) executeLocked(in wireOrder) string {
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

// modelSet holds the loaded models. An engine that was started without models and has received no order about models
// serves every model.
type modelSet struct {
	// restricted is set once only loaded models are served.
	restricted bool
	loaded     []wireModel
}

func newModelSet(names []string) *modelSet {
	m := &modelSet{}
	for _, name := range names {
		m.load(name, "", "")
	}
	return m
}

func (m *modelSet) index(name string) int {
	return slices.IndexFunc(m.loaded, func(model wireModel) bool { return model.Name == name })
}

// load adds a model, or changes the version of a loaded one or adds an adapter to it.
func (m *modelSet) load(name, version, adapter string) {
	m.restricted = true
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
	m.restricted = true
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

// serves reports whether the model is served, with the adapter unless that is "".
func (m *modelSet) serves(name, adapter string) bool {
	if !m.restricted {
		return true
	}
	i := m.index(name)
	return i >= 0 && (adapter == "" || slices.Contains(m.loaded[i].Adapters, adapter))
}

// snapshot returns a copy of the loaded models.
func (m *modelSet) snapshot() []wireModel {
	copies := make([]wireModel, 0, len(m.loaded))
	for _, model := range m.loaded {
		model.Adapters = append([]string{}, model.Adapters...)
		copies = append(copies, model)
	}
	return copies
}
