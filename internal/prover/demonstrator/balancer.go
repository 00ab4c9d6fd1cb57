package demonstrator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/prover/launcher"
)

const (
	readyInterval = 250 * time.Millisecond
	readyTimeout  = time.Second
)

// balancer imitates the platform's balancer in front of the entries. It polls /readyz and distributes requests round
// robin over the entries that are ready.
type balancer struct {
	entries []*launcher.Entry
	client  *http.Client
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu    sync.Mutex
	ready []string
	next  int
}

// newBalancer starts a balancer, which treats all entries as ready until the first poll. It runs until close.
func newBalancer(entries []*launcher.Entry) *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{
		entries: entries,
		client:  &http.Client{Timeout: readyTimeout, Transport: &http.Transport{}},
		cancel:  cancel,
	}
	for _, e := range entries {
		b.ready = append(b.ready, e.CallerURL())
	}
	b.wait.Go(func() { b.watch(ctx) })
	return b
}

func (b *balancer) close() {
	b.cancel()
	b.wait.Wait()
	b.client.CloseIdleConnections()
}

func (b *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.poll(ctx)
		}
	}
}

// poll updates the entries that are ready. If there are none, it keeps the earlier ones, since pick must return an
// entry.
func (b *balancer) poll(ctx context.Context) {
	ready := make([]bool, len(b.entries))
	var polls sync.WaitGroup
	for i, e := range b.entries {
		polls.Go(func() { ready[i] = b.isReady(ctx, e) })
	}
	polls.Wait()
	var urls []string
	for i, e := range b.entries {
		if ready[i] {
			urls = append(urls, e.CallerURL())
		}
	}
	if len(urls) == 0 || ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = urls
}

func (b *balancer) isReady(ctx context.Context, e *launcher.Entry) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.CallerURL()+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the base URL of the next ready entry.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)]
}
