package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// deadlyPart is the part of a prompt that crashes runners.
const deadlyPart = "dead4c11"

// streamer is a runner whose streams have some events. It crashes on deadlyPart after it has written a number of events, and
// is back after some seconds as a new incarnation.
type streamer struct {
	scene *scene
	// eventsBeforeCrash is the number of events that it has written when it crashes; -1 if it has not written the head.
	eventsBeforeCrash int

	mu      sync.Mutex
	crashes []time.Time
	deadly  []arrival
	serial  int
	closed  bool
}

const (
	streamEvents  = 10
	eventInterval = 40 * time.Millisecond
	backAfter     = 3 * time.Second
)

// start starts an incarnation of a runner at an address; an empty one chooses a port.
func (t *streamer) start(address, zone string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	t.serial++
	n := &runner{id: fmt.Sprintf("i-%03d", t.serial), service: "dele69a", address: address, zone: zone, slots: 12, record: t.scene.record}
	n.intercept = func(w http.ResponseWriter, r *http.Request) bool { return t.serve(n, w, r) }
	if err := n.start(); err != nil {
		return err
	}
	t.scene.store.put("servers", n.id, n.entry("ready", 0))
	return nil
}

// serve answers a request with a stream.
func (t *streamer) serve(n *runner, w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	isDeadly := strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart)
	n.note(arrival{id: id, runner: n.id, at: time.Now(), ran: true})
	if isDeadly {
		t.mu.Lock()
		t.deadly = append(t.deadly, arrival{id: id, runner: n.id, at: time.Now(), ran: true})
		t.mu.Unlock()
		n.record.line("runner  %s begins %s, which has the deadly part, after event %q", n.id, id, r.Header.Get("Last-Event-Id"))
	}
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	if t.eventsBeforeCrash < 0 {
		// The head leaves with the first event.
		time.Sleep(eventInterval)
		if isDeadly {
			t.crash(n, id)
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Runner-Stamp", n.id+"."+id)
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	if t.eventsBeforeCrash >= 0 {
		_ = flush()
	}
	for event := from + 1; event <= streamEvents; event++ {
		if event > from+1 || t.eventsBeforeCrash >= 0 {
			select {
			case <-time.After(eventInterval):
			case <-r.Context().Done():
				return true
			}
		}
		if isDeadly && event == from+t.eventsBeforeCrash+1 {
			t.crash(n, id)
		}
		fmt.Fprintf(w, "id: %d\ndata: tokens of event %d\n\n", event, event)
		_ = flush()
	}
	return true
}

// crash ends the process of a runner and starts the next one at the same address.
func (t *streamer) crash(n *runner, id string) {
	t.mu.Lock()
	t.crashes = append(t.crashes, time.Now())
	count := len(t.crashes)
	t.mu.Unlock()
	n.record.line("runner  %s crashes on %s, crash %d", n.id, id, count)
	n.stop()
	time.AfterFunc(backAfter, func() {
		t.scene.store.remove("servers", n.id)
		if err := t.start(n.address, n.zone); err != nil {
			n.record.line("runner  the successor of %s could not start: %v", n.id, err)
		}
	})
	panic(http.ErrAbortHandler)
}

// callerKey is the key of one of several callers.
func callerKey(i int) string {
	if i == 0 {
		return key
	}
	return fmt.Sprintf("anfqasnmgkcuyj8p%04d", i)
}

// streamConfiguration is a configuration with one service of streams.
func streamConfiguration(keys map[string][]string) map[string]any {
	var tenants []any
	for _, name := range slices.Sorted(func(yield func(string) bool) {
		for name := range keys {
			if !yield(name) {
				return
			}
		}
	}) {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys[name]})
	}
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "brief-draft", "host": host, "prefix": "/lohu930/", "kind": "streaming", "service": "dele69a", "attempts": 2,
			"timeoutMs": 8000, "sloMs": 400, "priority": 1, "sticky": true, "resumable": true, "gapTargetMs": 120,
		}},
		"services": []any{map[string]any{"name": "dele69a", "healthPath": "/healthz", "maxConns": 328}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
}

// playPoison sends requests with a part that crashes each runner which begins to write an answer, and checks that they stop
// reaching runners. Each prompt has some further parts behind that one, which sound requests share.
func playPoison(s *scene, runners, eventsBeforeCrash, furtherParts, callers int) ([]string, error) {
	const stableWindow = 3 * time.Second
	if err := s.startStore(); err != nil {
		return nil, err
	}
	t := &streamer{scene: s, eventsBeforeCrash: eventsBeforeCrash}
	s.cleanups = append(s.cleanups, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.closed = true
	})
	for i := range runners {
		if err := t.start("", []string{"pl-central-a", "pl-central-b"}[i%2]); err != nil {
			return nil, err
		}
	}
	keys := map[string][]string{"hule930": {key}}
	for i := range callers - 1 {
		keys[fmt.Sprintf("hule%03d", i)] = []string{callerKey(i + 1)}
	}
	s.store.put("op", "config", streamConfiguration(keys))
	if err := s.startGateways("pl-central-a", "pl-central-b"); err != nil {
		return nil, err
	}
	var clients []*client
	for i := range callers {
		for _, g := range s.gateways {
			clients = append(clients, newClient(g, s.record, host, callerKey(i)))
		}
	}
	var wg sync.WaitGroup
	serial := 0
	// next is the client of the next request: sound and deadly ones come from all callers at all gateways in turn.
	next, deadly := 0, 0
	send := func(name string, parts ...string) {
		serial++
		for i := range furtherParts {
			parts = append(parts, fmt.Sprintf("0a7e%04x:60", i))
		}
		c := clients[next%len(clients)]
		id := fmt.Sprintf("%s-%04d", name, serial)
		parts = append(parts, fmt.Sprintf("%08x:250", serial))
		wg.Go(func() {
			c.send(s.ctx, http.MethodPost, "/lohu930/2f", id, 8*time.Second, map[string]string{
				"Model": "m", "Token-Count": "690,139", "Prompt-Prefix": strings.Join(parts, ","),
			})
		})
	}
	for at := 1.0; at < 32; at += 0.05 {
		s.sleepUntil(at)
		send("sound", "5c1e07a2:40", "91bd3f06:400")
		next = serial
		if tick := int(at*20 + 0.5); s.trouble && at >= 4 && tick%20 == 0 {
			deadly++
			next = deadly
			send("deadly", "5c1e07a2:40", deadlyPart+":400")
		}
	}
	wg.Wait()
	sent := map[string]call{}
	lost, sound := 0, 0
	for _, c := range clients {
		for _, q := range c.done() {
			sent[q.id] = q
			if strings.HasPrefix(q.id, "sound") {
				sound++
				if q.status != http.StatusOK {
					lost++
				}
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.record.line("%d crashes; %d of %d sound streams were not served whole", len(t.crashes), lost, sound)
	if len(t.crashes) < 5 {
		return nil, nil
	}
	learned := t.crashes[4].Add(stableWindow)
	var late []string
	for _, a := range t.deadly {
		if q := sent[a.id]; a.at.After(learned) {
			late = append(late, fmt.Sprintf("BUDGET: %s, sent to %s, reached %s at %.3f; the fifth crash was at %.3f", a.id, q.gateway, a.runner,
				s.record.since(a.at), s.record.since(t.crashes[4])))
		}
	}
	if len(late) <= 3 {
		return nil, nil
	}
	return late, nil
}
