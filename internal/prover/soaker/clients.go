package soaker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
)

// tally counts what clients saw and what was broken.
type tally struct {
	folder     string
	sent       int
	served     int
	cut        int
	duplicated int
	checks     int
	broken     []string
}

func (t *tally) add(other tally) {
	t.sent += other.sent
	t.served += other.served
	t.cut += other.cut
	t.duplicated += other.duplicated
	t.checks += other.checks
	t.broken = append(t.broken, other.broken...)
}

func (t *tally) check(kept bool, format string, args ...any) {
	t.checks++
	if !kept {
		t.broken = append(t.broken, fmt.Sprintf(format, args...))
	}
}

// seen is what one client got for one request.
type seen struct {
	id     string
	path   string
	status int
	body   string
	err    error
}

const (
	requestTime  = 4 * time.Second
	requestPause = 20 * time.Millisecond
)

// browse sends requests over kept connections until the context ends.
func (w *world) browse(ctx context.Context, client int, note func(seen)) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: transport, Timeout: requestTime}
	paths := []string{repeatPrefix, oncePrefix, streamPrefix}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d", client, n)
		note(w.send(c, w.nodes[(client+n)%len(w.nodes)], paths[n%len(paths)], id))
		waiter.For(ctx, requestPause)
	}
}

func (w *world) send(c *http.Client, n *node, path, id string) seen {
	out := seen{id: id, path: path}
	q, err := http.NewRequest(http.MethodPost, "http://"+n.callers+path, strings.NewReader(question(id)))
	if err != nil {
		out.err = err
		return out
	}
	q.Host = hostName
	q.Header.Set("Request-Id", id)
	q.Header.Set("Credential", customerKey)
	q.Header.Set("Deadline-Ms", fmt.Sprint(requestTime.Milliseconds()))
	r, err := c.Do(q)
	if err != nil {
		out.err = err
		return out
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	out.status, out.body, out.err = r.StatusCode, string(body), err
	return out
}

// soak lets clients run under faults, heals, and checks all promises.
func (w *world) soak(ctx context.Context) (tally, error) {
	var mu sync.Mutex
	var all []seen
	browsing, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			w.browse(browsing, client, func(s seen) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, s)
			})
		})
	}
	w.disturb(ctx)
	stop()
	running.Wait()
	var t tally
	for _, s := range all {
		w.judge(&t, s)
	}
	t.check(len(w.ledger.wrong) == 0, "changed on the way to an upstream: %v", w.ledger.wrong)
	w.judgeHealed(ctx, &t)
	return t, ctx.Err()
}

// judge checks one request after everything has come to rest.
func (w *world) judge(t *tally, s seen) {
	t.sent++
	runs := w.ledger.ran(s.id)
	if s.path == oncePrefix {
		t.check(runs <= 1, "%s ran %d times", s.id, runs)
		if runs > 1 {
			t.duplicated++
		}
		refused := s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests
		t.check(!refused || runs == 0, "%s was refused as not run and ran", s.id)
	}
	t.check(s.status < 400 || s.status > 499, "%s was rejected with %d", s.id, s.status)
	if s.status != http.StatusOK {
		return
	}
	want := reply(s.id)
	if s.path == streamPrefix {
		want = ""
		for n := 1; n <= streamEvents; n++ {
			want += event(s.id, n)
		}
	}
	if s.err != nil {
		t.cut++
		t.check(strings.HasPrefix(want, s.body), "%s was cut and has other bytes", s.id)
		return
	}
	t.served++
	t.check(s.body == want, "%s has a wrong answer that looks complete", s.id)
}

// judgeHealed checks that every gateway serves the newest configuration again within the bound.
func (w *world) judgeHealed(ctx context.Context, t *tally) {
	w.configure(2, repeatPrefix, changedPrefix)
	end := time.Now().Add(healTime)
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, n := range w.nodes {
		healed := false
		for k := 0; !healed && time.Now().Before(end) && ctx.Err() == nil; k++ {
			s := w.send(c, n, changedPrefix, fmt.Sprintf("healed-%d-%d", i, k))
			healed = s.status == http.StatusOK
			waiter.For(ctx, 50*time.Millisecond)
		}
		t.check(healed, "gateway %d does not serve the newest configuration %v after the faults", i, healTime)
		s := w.send(c, n, oncePrefix, fmt.Sprintf("gone-%d", i))
		t.check(!healed || s.status == http.StatusNotFound, "gateway %d answers a removed route with %d", i, s.status)
	}
}
