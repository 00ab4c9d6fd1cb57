package driver_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/driver"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/serviceserver"
	"currantledge.example/currantledge/internal/standin/simulator"
)

func startService(t *testing.T, cfg serviceserver.Config) (*driver.Service, string) {
	t.Helper()
	cfg.Simulator.Address = loopbackAddress
	server, err := serviceserver.New(cfg)
	require.NoError(t, err)
	base := serve(t, server)
	service := driver.NewService(driver.Config{BaseURL: base})
	t.Cleanup(service.Close)
	return service, base
}

func serviceCall(path string, key identifier.Key) driver.Call {
	return driver.Call{
		Request: identifier.NewRequest(), Method: http.MethodPost, Path: path, Body: []byte("order"), Key: key,
		Headers: []messenger.Header{{Name: "Content-Type", Value: "text/plain"}},
	}
}

func ignoreHead(int, []messenger.Header) error { return nil }

// Guards against calls whose path, key, request ID or response is lost.
func TestCall(t *testing.T) {
	t.Parallel()
	service, base := startService(t, serviceserver.Config{Latency: -1})
	call := serviceCall("/reserve/7?size=2", "k1")
	status := 0
	emit, body := collect()
	err := service.Call(t.Context(), call, func(s int, _ []messenger.Header) error {
		status = s
		return nil
	}, emit)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, string(serviceserver.ResponseBody(http.MethodPost, "/reserve/7?size=2", call.Body)), body.String())
	calls := readRecord(t, base).Calls
	require.Len(t, calls, 1)
	require.Equal(t, "k1", calls[0].Key)
	require.Equal(t, call.Request.String(), calls[0].Request)
	require.Equal(t, 1, calls[0].Execution)
}

// Guards against a simulated service that returns the same response for a second execution, which would hide repeated
// executions from other tests.
func TestSecondExecutionDiffers(t *testing.T) {
	t.Parallel()
	service, _ := startService(t, serviceserver.Config{Latency: -1})
	call := serviceCall("/reserve", "k1")
	for execution := range 2 {
		emit, body := collect()
		require.NoError(t, service.Call(t.Context(), call, ignoreHead, emit))
		same := body.String() == string(serviceserver.ResponseBody(http.MethodPost, "/reserve", call.Body))
		require.Equal(t, execution == 0, same)
	}
}

// Guards against net/http retrying a call with an Idempotency-Key by itself when the service closes the connection
// without a response.
func TestCallIsNeverRepeated(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", loopbackAddress)
	require.NoError(t, err)
	accepted := make(chan struct{}, 16)
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			// Reads the request, then closes the connection without a response.
			_, _ = conn.Read(make([]byte, 4096))
			conn.Close()
		}
	}()
	service := driver.NewService(driver.Config{BaseURL: "http://" + listener.Addr().String()})
	for range 3 {
		call := serviceCall("/reserve", "k1")
		call.Body = nil
		emit, _ := collect()
		err = service.Call(t.Context(), call, ignoreHead, emit)
		var broken *driver.BrokenError
		require.ErrorAs(t, err, &broken)
	}
	require.NoError(t, listener.Close())
	<-served
	require.Len(t, accepted, 3)
}

// Guards against treating a call as complete whose service crashed while it ran.
func TestCallFailsOnCrash(t *testing.T) {
	t.Parallel()
	service, base := startService(t, serviceserver.Config{
		Latency: time.Hour, ColdFactor: 1,
		Simulator: simulator.Config{Downtime: time.Millisecond},
	})
	ended := make(chan error, 1)
	go func() {
		emit, _ := collect()
		ended <- service.Call(context.WithoutCancel(t.Context()), serviceCall("/reserve", "k1"), ignoreHead, emit)
	}()
	require.Eventually(t, func() bool { return len(readRecord(t, base).Calls) == 1 }, 10*time.Second, time.Millisecond)
	postControl(t, base, map[string]any{"crash": true})
	var broken *driver.BrokenError
	require.ErrorAs(t, <-ended, &broken)
}

// Guards against accepting a body without a length, whose truncation cannot be detected.
func TestCallRefusesUndelimitedBody(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", loopbackAddress)
	require.NoError(t, err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"))
		conn.Close()
	}()
	service := driver.NewService(driver.Config{BaseURL: "http://" + listener.Addr().String()})
	emit, _ := collect()
	err = service.Call(t.Context(), serviceCall("/x", ""), ignoreHead, emit)
	var broken *driver.BrokenError
	require.ErrorAs(t, err, &broken)
	<-served
	require.NoError(t, listener.Close())
}

// Guards against reporting a call as possibly run although the overloaded service refused it, and against counting it as
// running.
func TestCallOverloaded(t *testing.T) {
	t.Parallel()
	service, base := startService(t, serviceserver.Config{Latency: time.Hour, ColdFactor: 1, Limit: 1})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		emit, _ := collect()
		ended <- service.Call(ctx, serviceCall("/reserve", "k1"), ignoreHead, emit)
	}()
	require.Eventually(t, func() bool { return len(readRecord(t, base).Calls) == 1 }, 10*time.Second, time.Millisecond)
	emit, _ := collect()
	err := service.Call(t.Context(), serviceCall("/reserve", "k2"), ignoreHead, emit)
	var notStarted *driver.NotStartedError
	require.ErrorAs(t, err, &notStarted)
	require.Equal(t, messenger.ReasonOverloaded, notStarted.Reason)
	require.Equal(t, simulator.OutcomeRefused, readRecord(t, base).Calls[1].Outcome)
	report, err := service.Report(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, report.Running)
	cancel()
	require.Error(t, <-ended)
}
