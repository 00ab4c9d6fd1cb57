package gatewayrunner_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// liveHeap returns the bytes of all reachable objects.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// bodyGateway starts a gateway whose only upstream is a handler, with many slots.
func bodyGateway(t *testing.T, host string, handler http.HandlerFunc) *gateway {
	t.Helper()
	d := newDeployment(t)
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	d.upstreamAddress = strings.TrimPrefix(server.URL, "http://")
	d.store.Put("servers", "i-1", fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":10000,"state":"ready"}`, d.upstreamAddress))
	d.store.Put("op", "config", `{"version":1,"routes":[{"name":"r","host":"h.example","prefix":"/a/","kind":"non_idempotent","timeoutMs":30000,`+
		`"sloMs":20000,"service":"s","attempts":1}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":4194304},"tenants":[{"name":"t","apiKeys":["k"]}]}`)
	g := d.start(t, host, 17362, "", d.storeAddress)
	require.Eventually(t, func() bool { return g.isReady(t) }, timeout, 10*time.Millisecond)
	return g
}

// exchange sends a request with a body and returns the status and the length of the response. The status is 0 if the
// response did not arrive completely.
func (g *gateway) exchange(t *testing.T, client *http.Client, id string, body []byte) (int, int64) {
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+g.clientAddress+"/a/", bytes.NewReader(body))
	if err != nil {
		return 0, 0
	}
	q.Host = "h.example"
	q.Header.Set("Request-Id", id)
	q.Header.Set("Credential", "k")
	q.Header.Set("Deadline-Ms", "30000")
	r, err := client.Do(q)
	if err != nil {
		return 0, 0
	}
	defer r.Body.Close()
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return 0, length
	}
	return r.StatusCode, length
}

const manyRequests = 150

// Guards against a gateway that is killed for its memory, and with it the requests of all clients, since upstreams send many
// large responses without end at the same time.
func TestManyResponsesWithoutEndTakeBoundedMemory(t *testing.T) {
	const sent = 500 << 10
	part := bytes.Repeat([]byte("x"), sent)
	var open atomic.Int64
	end := make(chan struct{})
	g := bodyGateway(t, "127.0.0.41", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Runner-Stamp", "stamp")
		if strings.HasPrefix(r.Header.Get("Request-Id"), "sound") {
			_, _ = io.WriteString(w, "sound")
			return
		}
		_, _ = w.Write(part)
		_ = http.NewResponseController(w).Flush()
		open.Add(1)
		<-end
	})
	before := liveHeap()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var requests sync.WaitGroup
	for i := range manyRequests {
		requests.Go(func() { g.exchange(t, client, fmt.Sprint("endless-", i), nil) })
	}
	require.Eventually(t, func() bool { return open.Load() == manyRequests }, timeout, 10*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	during := liveHeap()
	code, length := g.exchange(t, client, "sound", nil)
	close(end)
	requests.Wait()
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, int64(len("sound")), length)
	require.Less(t, int64(during)-int64(before), int64(manyRequests*sent/2), "a gateway may have 152 MB")
}

// Guards against a gateway that is killed for its memory because many clients send large bodies at the same time, against
// small requests that are refused with them, and against a refused request that runs.
func TestManyLargeBodiesTakeBoundedMemory(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 4<<20)
	var open atomic.Int64
	var ran sync.Map
	end := make(chan struct{})
	g := bodyGateway(t, "127.0.0.42", func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Request-Id"), true)
		_, _ = io.Copy(io.Discard, r.Body)
		open.Add(1)
		if strings.HasPrefix(r.Header.Get("Request-Id"), "large") {
			<-end
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Runner-Stamp", "stamp")
		_, _ = io.WriteString(w, "done")
	})
	before := liveHeap()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var requests sync.WaitGroup
	var served, refused atomic.Int64
	for i := range manyRequests {
		requests.Go(func() {
			id := fmt.Sprint("large-", i)
			switch code, _ := g.exchange(t, client, id, body); code {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
				_, hasRun := ran.Load(id)
				require.False(t, hasRun, id)
			}
		})
	}
	require.Eventually(t, func() bool { return open.Load()+refused.Load() == manyRequests }, timeout, 10*time.Millisecond)
	during := liveHeap()
	code, _ := g.exchange(t, client, "small", []byte("small"))
	close(end)
	requests.Wait()
	require.Equal(t, http.StatusOK, code, "small bodies pass")
	require.Less(t, int64(during)-int64(before), int64(100<<20), "a gateway may have 152 MB")
	require.Positive(t, served.Load())
	require.Positive(t, refused.Load())
	code, _ = g.exchange(t, client, "large-later", body)
	require.Equal(t, http.StatusOK, code, "the memory is given back")
}
