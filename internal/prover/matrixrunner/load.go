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
	// minTokens and maxTokens bound the length of the outputs.
	minTokens = 8
	maxTokens = 60
	// maxSends is the most times that a sender sends the same request.
	maxSends       = 4
	resendInterval = 250 * time.Millisecond
	// The shares of the kinds of requests in percent. All other requests are streams.
	nonStreamPercent  = 10
	idempotentPercent = 20
	keyedPercent      = 20
	keylessPercent    = 5
	// resendPercent is the share of keyed calls that a caller sends twice at the same time.
	resendPercent = 50
)

// load sends random requests of all kinds at a fixed interval to all ready entries.
type load struct {
	testbed *testbed
	random  *rand.Rand
	cancel  context.CancelFunc
	calls   sync.WaitGroup
	sender  sync.WaitGroup
}

func (b *testbed) startLoad(ctx context.Context, random *rand.Rand) *load {
	l := &load{testbed: b, random: random}
	sending, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	l.sender.Go(func() {
		for waiter.For(sending, loadInterval) {
			l.send(ctx)
		}
	})
	return l
}

// stop stops sending and waits for all responses.
func (l *load) stop() {
	l.cancel()
	l.sender.Wait()
	l.calls.Wait()
}

// chance reports true with a probability in percent.
func (l *load) chance(percent int) bool {
	return l.random.IntN(100) < percent
}

// send starts one request of a random kind. All random draws are made here, in a fixed order.
func (l *load) send(ctx context.Context) {
	tokens := minTokens + l.random.IntN(maxTokens-minTokens+1)
	kind := l.random.IntN(100)
	resend := l.chance(resendPercent)
	b := l.testbed
	if kind -= nonStreamPercent; kind < 0 {
		request := b.newModelRequest(tokens)
		request.Stream = false
		l.calls.Go(func() { b.sendModelRequest(ctx, b.pick(), request) })
		return
	}
	if kind -= idempotentPercent; kind < 0 {
		call := b.newIdempotentCall()
		l.calls.Go(func() { b.sendServiceCall(ctx, b.pick(), call) })
		return
	}
	if kind -= keyedPercent; kind < 0 {
		l.sendKeyedCall(ctx, resend)
		return
	}
	if kind -= keylessPercent; kind < 0 {
		call := b.newKeyedCall()
		call.Key = ""
		l.calls.Go(func() { b.sendServiceCall(ctx, b.pick(), call) })
		return
	}
	request := b.newModelRequest(tokens)
	l.calls.Go(func() { b.sendModelRequest(ctx, b.pick(), request) })
}

// sendKeyedCall sends a keyed call, and the same call again at the same time if resend is set.
func (l *load) sendKeyedCall(ctx context.Context, resend bool) {
	call := l.testbed.newKeyedCall()
	l.calls.Go(func() { l.testbed.callUntilComplete(ctx, call) })
	if resend {
		l.calls.Go(func() { l.testbed.callUntilComplete(ctx, call) })
	}
}

// callUntilComplete sends a keyed call, each time to the next ready entry, until it is complete or was sent maxSends
// times.
func (b *testbed) callUntilComplete(ctx context.Context, call recorder.ServiceCall) {
	for range maxSends {
		e := b.sendServiceCall(ctx, b.pick(), call)
		if e.Status == http.StatusOK && e.Err == nil {
			return
		}
		if !waiter.For(ctx, resendInterval) {
			return
		}
	}
}

// burst starts a number of streamed requests at the same time.
func (l *load) burst(ctx context.Context, count, tokens int) {
	for range count {
		request := l.testbed.newModelRequest(tokens)
		l.calls.Go(func() { l.testbed.sendModelRequest(ctx, l.testbed.pick(), request) })
	}
}

// sendCrashingRequests sends a request that crashes the engine that runs it to every entry, maxSends times each.
func (l *load) sendCrashingRequests(ctx context.Context) {
	// An engine crashes 20 ms after such a request has started, so the request must run for longer than that.
	request := l.testbed.newModelRequest(maxTokens)
	request.Prompt = fmt.Sprintf("crash-engine %s", request.Prompt)
	for _, e := range l.testbed.Entries {
		l.calls.Go(func() {
			for range maxSends {
				l.testbed.sendModelRequest(ctx, e.CallerURL(), request)
				if !waiter.For(ctx, resendInterval) {
					return
				}
			}
		})
	}
}
