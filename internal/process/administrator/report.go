package administrator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
)

const (
	defaultDecisionLimit = 100
	maxDecisionLimit     = 4096
	stateSilent          = "silent"
	stateGone            = "gone"
)

type wireLoad struct {
	Running   int     `json:"running"`
	Granted   int     `json:"granted"`
	Limit     int     `json:"limit"`
	WarmLimit int     `json:"warmLimit"`
	Waiting   int     `json:"waiting"`
	StepMs    float64 `json:"stepMs"`
	Draining  bool    `json:"draining"`
	Ready     bool    `json:"ready"`
}

type wireNode struct {
	Node          string    `json:"node"`
	Role          string    `json:"role"`
	FailureDomain string    `json:"failureDomain"`
	Upstream      string    `json:"upstream,omitempty"`
	Address       string    `json:"address"`
	State         string    `json:"state"`
	Reason        string    `json:"reason,omitempty"`
	Revision      uint64    `json:"revision"`
	AgeMs         int64     `json:"ageMs"`
	Load          *wireLoad `json:"load,omitempty"`
}

func encodeNode(n NodeStatus) wireNode {
	w := wireNode{
		Node:          string(n.Node),
		Role:          string(n.Role),
		FailureDomain: string(n.FailureDomain),
		Upstream:      string(n.Upstream),
		Address:       n.Address,
		State:         n.State,
		Reason:        n.Reason,
		Revision:      uint64(n.Revision),
		AgeMs:         n.Age.Milliseconds(),
	}
	if n.Load != nil {
		w.Load = encodeLoad(*n.Load)
	}
	return w
}

func encodeLoad(l messenger.Load) *wireLoad {
	return &wireLoad{
		Running:   int(l.Running),
		Granted:   int(l.Granted),
		Limit:     int(l.Limit),
		WarmLimit: int(l.WarmLimit),
		Waiting:   l.Waiting,
		StepMs:    float64(l.StepTime) / float64(time.Millisecond),
		Draining:  l.Draining,
		Ready:     l.Ready,
	}
}

// wireStatus is the response of /api/v1/status.
type wireStatus struct {
	Node     string     `json:"node"`
	Revision uint64     `json:"revision"`
	Nodes    []wireNode `json:"nodes"`
	// Lagging lists the nodes whose revision is below the highest known one.
	Lagging []string `json:"lagging"`
	// Unreachable lists the silent and gone nodes, whose current revision is unknown.
	Unreachable []string `json:"unreachable"`
}

func (a *Administrator) status(ctx iris.Context) {
	highest := a.cfg.Store.Snapshot().Revision
	status := wireStatus{
		Node: string(a.cfg.Node), Revision: uint64(highest), Nodes: []wireNode{}, Lagging: []string{}, Unreachable: []string{},
	}
	nodes := a.knownNodes()
	for _, n := range nodes {
		highest = max(highest, n.Revision)
	}
	for _, n := range nodes {
		status.Nodes = append(status.Nodes, encodeNode(n))
		if n.Revision < highest {
			status.Lagging = append(status.Lagging, string(n.Node))
		}
		if n.State == stateSilent || n.State == stateGone {
			status.Unreachable = append(status.Unreachable, string(n.Node))
		}
	}
	respondJSON(ctx, status)
}

func (a *Administrator) knownNodes() []NodeStatus {
	if a.cfg.Nodes == nil {
		return nil
	}
	return a.cfg.Nodes.Nodes()
}

func (a *Administrator) listNodes(ctx iris.Context) {
	items := []wireNode{}
	for _, n := range a.knownNodes() {
		items = append(items, encodeNode(n))
	}
	respondJSON(ctx, map[string]any{"items": items})
}

func (a *Administrator) getNode(ctx iris.Context) {
	name := ctx.Params().Get("name")
	for _, n := range a.knownNodes() {
		if string(n.Node) == name {
			respondJSON(ctx, encodeNode(n))
			return
		}
	}
	respondNotFound(ctx, "this entry knows no node "+name, "list the nodes and correct the name")
}

type wireMap struct {
	Group   string          `json:"group"`
	Version uint64          `json:"version"`
	Leader  string          `json:"leader,omitempty"`
	Map     json.RawMessage `json:"map,omitempty"`
}

// readMaps returns the expert maps. If it cannot read them, it writes the error response and returns false.
func (a *Administrator) readMaps(ctx iris.Context) ([]wireMap, bool) {
	items := []wireMap{}
	if a.cfg.Maps == nil {
		return items, true
	}
	all, err := a.cfg.Maps.Maps(ctx.Request().Context())
	if err != nil {
		respondProblem(ctx, problem{Status: http.StatusServiceUnavailable, Detail: err.Error(), Remedy: "try again once the platform's table answers"})
		return nil, false
	}
	for _, m := range all {
		items = append(items, wireMap{Group: string(m.Group), Version: uint64(m.Version), Leader: string(m.Leader), Map: m.Document})
	}
	return items, true
}

func (a *Administrator) listMaps(ctx iris.Context) {
	if items, ok := a.readMaps(ctx); ok {
		respondJSON(ctx, map[string]any{"items": items})
	}
}

func (a *Administrator) getMap(ctx iris.Context) {
	name := ctx.Params().Get("name")
	items, ok := a.readMaps(ctx)
	if !ok {
		return
	}
	for _, m := range items {
		if m.Group == name {
			respondJSON(ctx, m)
			return
		}
	}
	respondNotFound(ctx, "no expert map of a group "+name+" is known", "list the maps and correct the name")
}

type wireDecision struct {
	Event   int               `json:"event"`
	At      time.Time         `json:"at"`
	Node    string            `json:"node"`
	Request string            `json:"request,omitempty"`
	Choice  string            `json:"choice,omitempty"`
	Reason  string            `json:"reason"`
	Fields  map[string]string `json:"fields,omitempty"`
}

func encodeDecision(d logger.Decision) wireDecision {
	w := wireDecision{Event: int(d.Event), At: d.At, Node: string(d.Node), Choice: d.Choice, Reason: d.Reason}
	if d.Request != (identifier.Request{}) {
		w.Request = d.Request.String()
	}
	for _, f := range d.Fields {
		if w.Fields == nil {
			w.Fields = map[string]string{}
		}
		w.Fields[f.Name] = f.Value
	}
	return w
}

func respondDecisions(ctx iris.Context, decisions []logger.Decision) {
	items := []wireDecision{}
	for _, d := range decisions {
		items = append(items, encodeDecision(d))
	}
	respondJSON(ctx, map[string]any{"items": items})
}

func (a *Administrator) listDecisions(ctx iris.Context) {
	limit, err := strconv.Atoi(ctx.URLParamDefault("limit", strconv.Itoa(defaultDecisionLimit)))
	if err != nil || limit < 1 || limit > maxDecisionLimit {
		respondBadField(ctx, "limit", ctx.URLParam("limit"), "write a whole number from 1 to "+strconv.Itoa(maxDecisionLimit))
		return
	}
	respondDecisions(ctx, a.cfg.Decisions.Recent(limit))
}

func (a *Administrator) explain(ctx iris.Context) {
	requestID := ctx.Params().Get("request")
	id, err := identifier.ParseRequest(requestID)
	if err != nil {
		respondBadField(ctx, "request", requestID, "copy the 32 hexadecimal digits from the Currantledge-Request header")
		return
	}
	decisions := a.cfg.Decisions.Decisions(id)
	if len(decisions) == 0 {
		respondNotFound(ctx, "this entry holds no decision on the request", "ask the other entries; each keeps its own recent decisions")
		return
	}
	respondDecisions(ctx, decisions)
}
