package matrixrunner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	loadInterval = 25 * time.Millisecond
	minTokens    = 8
	maxTokens    = 60
	maxSendings  = 4
	resendPause  = 250 * time.Millisecond
	// The parts of the load in percent; the rest are streams.
	wholePart       = 10
	lookUpPart      = 20
	reservationPart = 20
	keylessPart     = 5
	resendPart      = 50
)

// load sends requests of all kinds to all ready entries until it is ended.
type load struct {
	site   *site
	random *rand.Rand
	cancel context.CancelFunc
	calls  sync.WaitGroup
	sender sync.WaitGroup
}

func (s *site) startLoad(ctx context.Context, random *rand.Rand) *load {
	l := &load{site: s, random: random}
	sending, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	l.sender.Go(func() {
		for waiter.For(sending, loadInterval) {
			l.send(ctx)
		}
	})
	return l
}

// end sends nothing more and waits for all answers.
func (l *load) end() {
	l.cancel()
	l.sender.Wait()
	l.calls.Wait()
}

func (l *load) happens(part int) bool {
	return l.random.IntN(100) < part
}

// send starts one request of a random kind. All random decisions are made here, in one order.
func (l *load) send(ctx context.Context) {
	tokens := minTokens + l.random.IntN(maxTokens-minTokens+1)
	kind := l.random.IntN(100)
	repeat := l.happens(resendPart)
	s := l.site
	if kind -= wholePart; kind < 0 {
		q := s.question(tokens)
		q.Stream = false
		l.calls.Go(func() { s.ask(ctx, s.pick(), q) })
		return
	}
	if kind -= lookUpPart; kind < 0 {
		call := s.lookUp()
		l.calls.Go(func() { s.call(ctx, s.pick(), call) })
		return
	}
	if kind -= reservationPart; kind < 0 {
		l.reserve(ctx, repeat)
		return
	}
	if kind -= keylessPart; kind < 0 {
		call := s.reservation()
		call.Key = ""
		l.calls.Go(func() { s.call(ctx, s.pick(), call) })
		return
	}
	q := s.question(tokens)
	l.calls.Go(func() { s.ask(ctx, s.pick(), q) })
}

// reserve sends a keyed call, and at the same time once more if it is to be repeated.
func (l *load) reserve(ctx context.Context, repeat bool) {
	call := l.site.reservation()
	l.calls.Go(func() { l.site.insist(ctx, call) })
	if repeat {
		l.calls.Go(func() { l.site.insist(ctx, call) })
	}
}

// insist sends a keyed call again, each time to the next entry, until it is answered or was sent several times.
func (s *site) insist(ctx context.Context, call recorder.ServiceCall) {
	for range maxSendings {
		e := s.call(ctx, s.pick(), call)
		if e.Status == http.StatusOK && e.Err == nil {
			return
		}
		if !waiter.For(ctx, resendPause) {
			return
		}
	}
}

// burst sends streams at once.
func (l *load) burst(ctx context.Context, count, tokens int) {
	for range count {
		q := l.site.question(tokens)
		l.calls.Go(func() { l.site.ask(ctx, l.site.pick(), q) })
	}
}

// crash sends a request that crashes the engine that runs it to every entry, several times.
func (l *load) crash(ctx context.Context) {
	// An engine falls over 20 ms after such a request has started, and the request must still run then.
	q := l.site.question(maxTokens)
	q.Prompt = fmt.Sprintf("crash-engine %s", q.Prompt)
	for _, e := range l.site.Entries {
		l.calls.Go(func() {
			for range maxSendings {
				l.site.ask(ctx, e.CallerURL(), q)
				if !waiter.For(ctx, resendPause) {
					return
				}
			}
		})
	}
}
