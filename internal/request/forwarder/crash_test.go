package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/screener"
)

// headOnly sends the head of a stream and closes the connection, as an upstream does that crashes when it begins to
// respond.
func headOnly(c net.Conn, q *http.Request, _ string) {
	fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"))
}

// Guards against a request that is sent to one upstream after the other while it crashes each of them, and against a
// response which states that it did not run.
func TestRequestThatCrashedItsUpstreamIsNotSentAgain(t *testing.T) {
	t.Parallel()
	var dials atomic.Int32
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 2 {
			return nil, syscall.ECONNREFUSED
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	f := newFixtureWithDialer(t, dial, headOnly, streamEvents(1, 2, true))
	status, _, _, err := f.send(t, "/stream/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	status, header, _, err := f.send(t, "/stream/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, retryAfter, 30.0, "an earlier retry is refused again")
	require.Len(t, f.receivedRequests(), 1)
	require.Contains(t, f.log.String(), `"event":727`)
}

// Guards against requests that are refused since a connection broke although its upstream lives.
func TestBrokenConnectionOfALiveUpstreamIsNoCrash(t *testing.T) {
	t.Parallel()
	f := newFixture(t, headOnly, streamEvents(1, 2, true))
	status, _, body, err := f.send(t, "/stream/", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "data: e2")
	require.NotContains(t, f.log.String(), `"event":727`)
}

// breakAfter sends the head and some events of a stream, and closes the connection.
func breakAfter(events int) func(net.Conn, *http.Request, string) {
	return func(c net.Conn, q *http.Request, incarnation string) {
		headOnly(c, q, incarnation)
		for i := range events {
			event := fmt.Sprintf("id: %d\ndata: e%d\n\n", i+1, i+1)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
	}
}

// Guards against a part that crashes upstreams in the middle of their responses and is taken for sound at the first event, as
// an outage in which one customer's streams ended with upstreams until it was over (review case 11).
func TestStreamThatEndsWithItsUpstreamSuspectsItsParts(t *testing.T) {
	t.Parallel()
	var hasCrashed atomic.Bool
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if hasCrashed.Load() {
			return nil, syscall.ECONNREFUSED
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	f := newFixtureWithDialer(t, dial, func(c net.Conn, q *http.Request, incarnation string) {
		hasCrashed.Store(true)
		breakAfter(1)(c, q, incarnation)
	}, streamEvents(1, 2, true))
	_, _, body, err := f.send(t, "/stream/", func(q *http.Request) { q.Header.Set("Parts", "deadly") })
	require.Error(t, err)
	require.Contains(t, body, "data: e1")
	require.Contains(t, f.log.String(), `"event":727`)
	for site := range identifier.CrashSite(2) {
		other := reportedCrash(site, "deadly")
		other.Runs[0].Events = 1
		f.screener.Merge(time.Now(), other)
	}
	status, _, body, err := f.send(t, "/stream/", func(q *http.Request) { q.Header.Set("Parts", "deadly") })
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, "crashes")
	hasCrashed.Store(false)
	status, _, _, err = f.send(t, "/stream/", func(q *http.Request) { q.Header.Set("Parts", "sound") })
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// reportedCrash is the report of another gateway of a crash in which a request with some parts was about to be answered.
func reportedCrash(site identifier.CrashSite, parts ...identifier.PromptPart) federator.CrashReport {
	var report federator.CrashReport
	for _, part := range parts {
		report.Runs = append(report.Runs, federator.CrashedRun{
			Content: screener.HashPart(part), Customer: screener.HashCustomer("customer"), Site: site, Grouped: true, Responding: true,
			SentAt: time.Now(), At: time.Now(),
		})
	}
	return report
}

// Guards against a second group that a request crashes after another gateway has learned which part of its prompt crashed
// the first one.
func TestRequestInFlightIsCancelledOnceItsPromptCrashesUpstreams(t *testing.T) {
	t.Parallel()
	received, closed := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(c net.Conn, _ *http.Request, _ string) {
		close(received)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	responses := make(chan int, 1)
	go func() {
		status, _, _, _ := f.send(t, "/stream/", func(q *http.Request) { q.Header.Set("Parts", "deadly") })
		responses <- status
	}()
	<-received
	f.screener.Merge(time.Now(), reportedCrash(1, "deadly"))
	<-closed
	require.Equal(t, http.StatusBadGateway, <-responses)
	require.NotContains(t, f.log.String(), `"event":727`)
}
