package entryrunner

import (
	"context"
	"net"
	"strings"
	"time"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/administrator"
	"currantledge.example/currantledge/internal/process/explainer"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/version/coordinator"
)

const (
	mapPrefix = "map/"
	// maxMapRows bounds the rows of expert maps that are read for operators, one for each model group.
	maxMapRows = 256
)

// newOperatorAPI returns the API of operators, which serves on a listener.
func (e *Entry) newOperatorAPI(l net.Listener) (*administrator.Administrator, error) {
	return administrator.New(administrator.Config{
		Listener: l, Node: e.settings.Node, KeyDigests: e.settings.OperatorKeyDigests, Store: e.store,
		Writer: e.writer, Nodes: nodeList{e}, Maps: mapList{e}, Log: e.log,
		Decisions: explainer.New(explainer.Config{Log: e.log, Links: e.nodeLinks}),
	})
}

// nodeLinks returns one link to each linked node, over which decisions are queried.
func (e *Entry) nodeLinks() []*linker.Link {
	byNode := map[identifier.Node]*linker.Link{}
	for _, m := range e.pool.Members() {
		byNode[m.Link.Peer().Node] = m.Link
	}
	for _, l := range e.peers.all() {
		byNode[l.Peer().Node] = l
	}
	out := make([]*linker.Link, 0, len(byNode))
	for _, l := range byNode {
		out = append(out, l)
	}
	return out
}

// serveStreams answers the Explain requests of a linked node until the link is down.
func (e *Entry) serveStreams(ctx context.Context, link *linker.Link) {
	for {
		stream, err := link.Accept(ctx)
		if err != nil {
			return
		}
		go func() {
			defer stream.Close()
			m, err := stream.Receive()
			if err != nil {
				return
			}
			if explain, ok := m.(messenger.Explain); ok {
				explainer.Respond(stream, e.log, explain)
			}
		}()
	}
}

// nodeList combines the registrar's state of nodes with the load of linked upstreams, for the API of operators.
type nodeList struct{ entry *Entry }

// Nodes returns the status of all known nodes, this entry included.
func (n nodeList) Nodes() []administrator.NodeStatus {
	e := n.entry
	now := time.Now()
	e.nodes.Observe(now, e.ownSummary())
	loads := map[identifier.Node]messenger.Load{}
	for _, m := range e.pool.Members() {
		loads[m.Link.Peer().Node] = m.Load
	}
	var out []administrator.NodeStatus
	for _, s := range e.nodes.Nodes(now) {
		status := administrator.NodeStatus{
			Node: s.Node, Role: s.Role, FailureDomain: s.FailureDomain, Address: s.Address, State: string(s.State),
			Reason: s.Reason, Revision: s.Revision, Age: s.Age,
		}
		if load, ok := loads[s.Node]; ok {
			status.Load = &load
			status.Upstream = load.Upstream
		}
		out = append(out, status)
	}
	return out
}

// mapList reads the expert maps of groups from the platform's table, for the API of operators.
type mapList struct{ entry *Entry }

// Maps returns the map rows of all groups with the versions of their committed maps. It skips and logs rows that cannot
// be decoded.
func (m mapList) Maps(ctx context.Context) ([]administrator.MapStatus, error) {
	rows, err := m.entry.platform.Scan(ctx, mapPrefix, "", maxMapRows)
	if err != nil {
		return nil, err
	}
	out := make([]administrator.MapStatus, 0, len(rows))
	for _, row := range rows {
		version, err := coordinator.CommittedVersion(coordinator.Row{Version: row.Version, Value: row.Value})
		if err != nil {
			// A damaged row must not hide the others.
			m.entry.log.Event(logger.EventPlatformFailed).Str("operation", "readMap").AnErr("cause", err).Send()
			continue
		}
		out = append(out, administrator.MapStatus{
			Group: identifier.ModelGroup(strings.TrimPrefix(row.Key, mapPrefix)), Version: version, Document: row.Value,
		})
	}
	return out, nil
}
