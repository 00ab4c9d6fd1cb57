package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/request/admitter"
)

// Guards against an upstream that gets its share of the requests although its responses have no end: each takes the link
// of the gateway for as long as 64 MiB last, and other requests with it.
func TestUpstreamWithoutEndDrawsFewRequests(t *testing.T) {
	t.Parallel()
	const (
		clients  = 30
		floodFor = 300 * time.Millisecond
		soundFor = 30 * time.Millisecond
		length   = 12 * time.Second
		interval = 10 * time.Millisecond
	)
	f := newFixture(upstream("endless", shop, 6), upstream("sound", shop, 6))
	type run struct {
		granted admitter.Granted
		endsAt  time.Time
	}
	var waiting []*admitter.Ticket
	var running []run
	floods, served := 0, 0
	for now := start; now.Sub(start) < length; now = now.Add(interval) {
		var left []run
		for _, r := range running {
			switch {
			case now.Before(r.endsAt):
				left = append(left, r)
			case r.granted.Upstream.ID == "endless":
				f.Done(now, r.granted, admitter.Oversized{})
			default:
				served++
				f.Done(now, r.granted, admitter.Served{FirstByte: soundFor, Total: soundFor})
			}
		}
		running = left
		f.Tick(now)
		var still []*admitter.Ticket
		for _, ticket := range waiting {
			switch d := decision(ticket).(type) {
			case admitter.Granted:
				r := run{granted: d, endsAt: now.Add(soundFor)}
				if d.Upstream.ID == "endless" {
					floods++
					r.endsAt = now.Add(floodFor)
				}
				running = append(running, r)
			case nil:
				still = append(still, ticket)
			}
		}
		waiting = still
		for len(waiting)+len(running) < clients {
			waiting = append(waiting, f.Submit(now, request(shop, now)))
		}
	}
	// Six slots each time, at first and after 0.25, 0.5, 1, 2 and 4 s.
	require.LessOrEqual(t, floods, 6*6)
	require.Greater(t, served, 2000)
}

// Guards against requests that wait in vain for an upstream which gets none for some seconds, and against one that stays
// out of use once its responses are sound.
func TestRequestsAreRefusedWhileTheirOnlyUpstreamIsBackedOff(t *testing.T) {
	t.Parallel()
	f := newFixture(upstream("x", shop, 4))
	now := start
	for range 6 {
		granted := requireGranted(t, f.Submit(now, request(shop, now)))
		f.Done(now, granted, admitter.Oversized{})
		now = now.Add(10 * time.Second)
	}
	granted := requireGranted(t, f.Submit(now, request(shop, now)))
	f.Done(now, granted, admitter.Oversized{})
	refused := requireRefused(t, f.Submit(now, request(shop, now)))
	require.Equal(t, admitter.ReasonPaused, refused.Reason)
	require.Positive(t, refused.RetryAfter)
	now = now.Add(30 * time.Second)
	granted = requireGranted(t, f.Submit(now, request(shop, now)))
	f.Done(now, granted, admitter.Served{})
	requireGranted(t, f.Submit(now, request(shop, now)))
}
