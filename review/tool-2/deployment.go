package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// deployment is a small deployment: a store, runners and gateways on loopback addresses.
type deployment struct {
	folder   string
	record   *record
	store    *store
	runs     *runs
	group    *group
	plain    []*plainRunner
	gateways []*gateway
	version  int
	// storeAddresses holds the address of the store for each gateway.
	storeAddresses []string
}

// newDeployment starts the store, the runners and, if withGroup is set, the ranks of a group. Nothing is listed yet.
func newDeployment(folder string, rec *record, plainCount int, work time.Duration, withGroup bool) (*deployment, error) {
	d := &deployment{folder: folder, record: rec, store: newStore(), runs: newRuns()}
	for i := range plainCount {
		r := newPlainRunner(fmt.Sprintf("p-%d", i), zones[i%len(zones)], "s", work, d.runs, rec)
		var err error
		if r.address, r.exit, err = serve("127.0.0.1", r); err != nil {
			return nil, err
		}
		d.plain = append(d.plain, r)
	}
	if withGroup {
		d.group = newGroup(rec, d.runs)
		for _, r := range d.group.ranks {
			var err error
			if r.address, _, err = serve("127.0.0.1", r); err != nil {
				return nil, err
			}
		}
		go d.group.run()
	}
	return d, nil
}

// configure writes the next configuration.
func (d *deployment) configure() {
	d.version += 3
	services := []any{map[string]any{"name": "s", "healthPath": "/healthz", "maxConns": 49, "coldPerS": 0}}
	routes := []any{
		map[string]any{
			"name": "approve", "host": host, "prefix": "/approve/", "kind": "non_idempotent", "service": "s", "attempts": 1,
			"timeoutMs": 800, "sloMs": 150, "priority": 2,
		},
		map[string]any{
			"name": "status", "host": host, "prefix": "/status/", "kind": "idempotent", "service": "s", "attempts": 2,
			"timeoutMs": 800, "sloMs": 150, "priority": 2,
		},
	}
	if d.group != nil {
		services = append(services, map[string]any{
			"name": "m", "healthPath": "/healthz", "maxConns": 328, "coldPerS": 38, "engine": map[string]any{
				"step_ms": stepMs, "per_seq_ms": perSeqMs, "context_per_k": 0.036, "read_per_s": 61200, "pairs_per_m": 0.325,
				"chunk": 512, "stride": stride, "kvCapacity": 372000, "linkMbps": linkMbps, "report_lag_ms": 200,
				"usual": map[string]any{"prompt": 780, "answer": 139}, "sets": setCount, "experts": expertCount,
				"places": placeCount, "spare": spareCount, "expertMb": expertMb, "expertShare": expertShare, "form_ms": 600,
			},
		})
		routes = append(routes, map[string]any{
			"name": "draft", "host": host, "prefix": "/draft/", "kind": "streaming", "resumable": true, "service": "m", "attempts": 2,
			"timeoutMs": 8000, "sloMs": 400, "gapTargetMs": 120, "priority": 1, "sticky": true,
		})
	}
	d.store.put("op", "config", map[string]any{
		"version": d.version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 10000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": []string{tenantKey}}},
	})
}

// listPlain writes the rows of the plain runners.
func (d *deployment) listPlain() {
	for _, r := range d.plain {
		d.store.put("servers", r.id, r.entry("ready"))
	}
}

// listRanks writes the rows of the ranks.
func (d *deployment) listRanks() {
	for _, r := range d.group.ranks {
		d.store.put("servers", r.id, r.entry())
	}
}

// startGateways starts a gateway for each zone of the list. wrap, if it is not nil, changes the handler of the store
// that one gateway calls.
func (d *deployment) startGateways(program string, zoneOf []string, wrap func(gateway int, h http.Handler) http.Handler) error {
	for i := range zoneOf {
		h := d.store.handler(i)
		if wrap != nil {
			h = wrap(i, h)
		}
		address, _, err := serve("127.0.0.1", h)
		if err != nil {
			return err
		}
		d.storeAddresses = append(d.storeAddresses, address)
	}
	var err error
	if d.gateways, err = newGateways(d.folder, d.record, d.storeAddresses, zoneOf); err != nil {
		return err
	}
	for _, g := range d.gateways {
		go g.run(program)
	}
	return nil
}

// readyTimeout is how long the gateways may take until they are ready.
const readyTimeout = 15 * time.Second

// awaitReady waits until all gateways say that they are ready, and reports whether they did in time.
func (d *deployment) awaitReady() bool {
	end := time.Now().Add(readyTimeout)
	for _, g := range d.gateways {
		for !g.isReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// isReady reports whether the gateway says that it is ready.
func (g *gateway) isReady() bool {
	probe := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := probe.Get("http://" + g.ready + "/currantledge/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() {
	var wg sync.WaitGroup
	for _, g := range d.gateways {
		wg.Go(g.stop)
	}
	wg.Wait()
}

// keepLogs copies the end of the log of each gateway that ended by itself to the record.
func (d *deployment) keepLogs() {
	for _, g := range d.gateways {
		if g.selfEnds() == 0 {
			continue
		}
		raw, err := os.ReadFile(g.log.Name())
		if err != nil {
			continue
		}
		d.record.add("from the output of %s:\n%s", g.name, panicText(string(raw)))
	}
}
