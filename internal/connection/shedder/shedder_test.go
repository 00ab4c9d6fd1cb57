package shedder_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/shedder"
)

const (
	memory      = 10 << 20
	connections = 200
	// hardMemory is the limit with what may be exceeded while connections are being closed.
	hardMemory = memory + memory/8
	tick       = 5 * time.Millisecond
)

// client is a simulated client.
type client struct {
	holder *shedder.Holder
	// shed is set once the Shedder has closed the connection. It is open until the next tick.
	shed bool
	// ended is set once the reads of the body have been ended.
	ended bool
}

func (c *client) Shed()     { c.shed = true }
func (c *client) EndReads() { c.ended = true }

// site is a Shedder with the time of the simulation.
type site struct {
	*shedder.Shedder
	now time.Time
}

func newSite() *site {
	return &site{Shedder: shedder.New(shedder.Limits{Bytes: memory, Connections: connections}), now: time.Unix(1000, 0)}
}

func (s *site) open() (*client, bool) {
	c := &client{}
	h, ok := s.Open(s.now, c)
	c.holder = h
	return c, ok
}

// misbehaviour is what each client of a crowd does after it has connected.
type misbehaviour func(s *site, c *client)

// enter lets a connection hold bytes in a state. A connection that is refused them is closed.
func enter(state shedder.State, bytes int64) misbehaviour {
	return func(s *site, c *client) {
		if !c.holder.Enter(s.now, state) || !c.holder.Take(s.now, bytes) {
			c.shed = true
		}
	}
}

// Guards against ordinary clients that are refused or closed for a crowd that holds all connections or all memory, against
// a crowd that makes the process hold more than its limits, and against memory that is not given back.
func TestCrowdsDoNotDisplaceOrdinaryRequests(t *testing.T) {
	t.Parallel()
	crowds := map[string]misbehaviour{
		"connections without a request":   func(*site, *client) {},
		"half heads":                      enter(shedder.StateHead, 100),
		"heads of many fields":            enter(shedder.StateHead, 450_000),
		"small unfinished bodies":         enter(shedder.StateBody, 56_000),
		"large unfinished bodies":         enter(shedder.StateBody, 1_000_000),
		"idle after a request":            enter(shedder.StateIdle, 0),
		"whole requests with many fields": enter(shedder.StateRunning, 450_000),
		"responses that nobody reads": func(s *site, c *client) {
			enter(shedder.StateRunning, 400_000)(s, c)
			c.holder.BeginWrite(s.now)
		},
	}
	for name, misbehave := range crowds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite()
			var crowd, ordinary []*client
			refused, requests := 0, 0
			for range 1200 {
				s.now = s.now.Add(tick)
				// Clients that were closed come back, up to 3 at a time: 600 a second.
				kept := crowd[:0]
				for _, c := range crowd {
					if c.shed || c.ended {
						c.holder.Close()
						continue
					}
					kept = append(kept, c)
				}
				crowd = kept
				for i := 0; i < 3 && len(crowd) < 3*connections; i++ {
					if c, ok := s.open(); ok {
						misbehave(s, c)
						crowd = append(crowd, c)
					}
				}
				// One ordinary request begins in each tick, arrives in the next one and runs for 20 more.
				if c, ok := s.open(); ok && c.holder.Enter(s.now, shedder.StateHead) && c.holder.Take(s.now, 4000) {
					ordinary = append(ordinary, c)
				} else {
					refused++
				}
				requests++
				if n := len(ordinary); n > 1 {
					c := ordinary[n-2]
					if !c.holder.Take(s.now, shedder.RequestBytes+16<<10) || !c.holder.Enter(s.now, shedder.StateRunning) {
						refused++
					}
				}
				if len(ordinary) > 22 {
					if ordinary[0].shed {
						refused++
					}
					ordinary[0].holder.Close()
					ordinary = ordinary[1:]
				}
				require.LessOrEqual(t, s.Sum(), int64(hardMemory))
				require.LessOrEqual(t, s.Connections(), connections+64)
			}
			// Responses count as unread after 1 s, and large holders remain for 0.5 s.
			require.LessOrEqual(t, refused, requests/50, "of %d", requests)
			for _, c := range append(crowd, ordinary...) {
				c.holder.Close()
			}
			require.Zero(t, s.Sum())
			require.Zero(t, s.Connections())
		})
	}
}

// Guards against limits that ordinary load meets: some hundred streams and idle connections at once.
func TestOrdinaryLoadMeetsNoLimit(t *testing.T) {
	t.Parallel()
	// These are the limits of a gateway with 136 MB and 2,870 descriptors.
	s := &site{Shedder: shedder.New(shedder.Limits{Bytes: 42_500_000, Connections: 1076}), now: time.Unix(1000, 0)}
	var clients []*client
	for range 500 {
		c, ok := s.open()
		require.True(t, ok)
		require.True(t, c.holder.Enter(s.now, shedder.StateHead))
		require.True(t, c.holder.Take(s.now, 5000))
		require.True(t, c.holder.Take(s.now, shedder.RequestBytes+8<<10))
		require.True(t, c.holder.Enter(s.now, shedder.StateRunning))
		clients = append(clients, c)
	}
	for range 500 {
		c, ok := s.open()
		require.True(t, ok)
		require.True(t, c.holder.Enter(s.now, shedder.StateIdle))
		clients = append(clients, c)
	}
	s.now = s.now.Add(12 * time.Second)
	require.Zero(t, s.Counts())
	for i, c := range clients {
		require.False(t, c.shed, fmt.Sprint(i))
	}
}

// Guards against a body that never arrives and keeps its request for ever, and against a request that is ended although it
// has arrived.
func TestBodiesExpire(t *testing.T) {
	t.Parallel()
	s := newSite()
	late, arrived := &client{}, &client{}
	for _, c := range []*client{late, arrived} {
		c.holder, _ = s.Open(s.now, c)
		c.holder.SetBodyUntil(s.now.Add(time.Second))
		require.True(t, c.holder.Enter(s.now, shedder.StateBody))
	}
	s.Expire(s.now.Add(time.Second), shedder.Timeouts{})
	require.False(t, late.ended)
	require.True(t, arrived.holder.Enter(s.now, shedder.StateRunning))
	s.Expire(s.now.Add(2*time.Second), shedder.Timeouts{})
	require.True(t, late.ended)
	require.False(t, arrived.ended)
	s.Expire(s.now.Add(3*time.Second), shedder.Timeouts{})
	require.Equal(t, int64(1), s.Counts().Expired)
}

// Guards against connections that wait for heads longer than the configuration says, and against requests that end for that.
func TestConnectionsThatWaitForHeadsExpire(t *testing.T) {
	t.Parallel()
	s := newSite()
	states := []shedder.State{shedder.StateNew, shedder.StateHead, shedder.StateIdle, shedder.StateRunning}
	clients := map[shedder.State]*client{}
	for _, state := range states {
		c, _ := s.open()
		require.True(t, c.holder.Enter(s.now, state))
		clients[state] = c
	}
	timeouts := shedder.Timeouts{Head: 5 * time.Second, Idle: 30 * time.Second}
	for _, step := range []struct {
		after  time.Duration
		closed []shedder.State
	}{
		{5 * time.Second, nil},
		{6 * time.Second, []shedder.State{shedder.StateNew, shedder.StateHead}},
		{time.Minute, []shedder.State{shedder.StateNew, shedder.StateHead, shedder.StateIdle}},
	} {
		s.Expire(s.now.Add(step.after), shedder.Timeouts{})
		s.Expire(s.now.Add(step.after), timeouts)
		for _, state := range states {
			require.Equal(t, slices.Contains(step.closed, state), clients[state].shed, "state %d after %v", state, step.after)
		}
	}
	require.Equal(t, int64(1), s.Counts().Expired, "only the head had begun")
	for _, c := range clients {
		c.holder.Close()
	}
	require.Zero(t, s.Sum())
}

// Guards against a request that runs although its connection was closed for others.
func TestClosedConnectionsStartNoRequest(t *testing.T) {
	t.Parallel()
	s := newSite()
	first, ok := s.open()
	require.True(t, ok)
	s.now = s.now.Add(time.Second)
	for range connections {
		_, ok := s.open()
		require.True(t, ok)
	}
	require.True(t, first.shed)
	require.False(t, first.holder.Enter(s.now, shedder.StateRunning))
}

// Guards against idle connections, which ordinary clients are about to use again, that are closed for a crowd of connections
// without a request.
func TestIdleConnectionsOutlastACrowd(t *testing.T) {
	t.Parallel()
	s := newSite()
	var idle []*client
	for range connections / 3 {
		c, ok := s.open()
		require.True(t, ok)
		require.True(t, c.holder.Enter(s.now, shedder.StateIdle))
		idle = append(idle, c)
	}
	var crowd []*client
	for range int(12 * time.Second / tick) {
		s.now = s.now.Add(tick)
		kept := crowd[:0]
		for _, c := range crowd {
			if c.shed {
				c.holder.Close()
				continue
			}
			kept = append(kept, c)
		}
		crowd = kept
		if c, ok := s.open(); ok {
			crowd = append(crowd, c)
		}
	}
	require.Positive(t, s.Counts().Shed)
	for i, c := range idle {
		require.False(t, c.shed, "%d", i)
	}
}
