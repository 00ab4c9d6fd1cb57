package verifier_test

import (
	"context"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/authenticator"
	"currantledge.example/currantledge/internal/connection/dialer"
	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// impostor links to an agent with the key of a stopped entry, and knows no configuration.
type impostor struct {
	link   *linker.Link
	grants chan messenger.Grant
	beats  chan messenger.Heartbeat
}

// newImpostor stops the last entry and links to an agent in its place.
func (s *site) newImpostor(a *launcher.Agent) *impostor {
	s.t.Helper()
	e := s.Entries[len(s.Entries)-1]
	require.NoError(s.t, e.Process.Stop(s.ctx))
	keys := filepath.Join(s.folder, "keys")
	credentials, err := authenticator.Load(authenticator.Paths{
		Authority:   filepath.Join(keys, "authority.pem"),
		Certificate: filepath.Join(keys, e.Name+".pem"),
		Key:         filepath.Join(keys, e.Name+"-key.pem"),
	})
	require.NoError(s.t, err)
	own, err := netip.ParseAddrPort(e.Fleet)
	require.NoError(s.t, err)
	i := &impostor{grants: make(chan messenger.Grant, 64), beats: make(chan messenger.Heartbeat, 64)}
	linked := make(chan *linker.Link, 1)
	d := dialer.New(dialer.Config{
		Log: logger.Discard(), Listen: own.String(),
		Link: linker.Config{
			Credentials: credentials,
			Hello: func() messenger.Hello {
				return messenger.Hello{Node: identifier.Node(e.Name), Role: identifier.RoleEntry}
			},
			Heartbeat: func() messenger.Heartbeat { return messenger.Heartbeat{} },
		},
		Serve: func(ctx context.Context, link *linker.Link) error {
			linked <- link
			return link.Run(ctx, i.hear)
		},
	})
	ctx, cancel := context.WithCancel(s.ctx)
	s.t.Cleanup(d.Wait)
	s.t.Cleanup(cancel)
	d.SetAddresses(ctx, []string{a.Fleet})
	select {
	case i.link = <-linked:
	case <-time.After(10 * time.Second):
		require.Fail(s.t, "no link to "+a.Name)
	}
	return i
}

func (i *impostor) hear(m messenger.Message) {
	switch m := m.(type) {
	case messenger.Grant:
		i.grants <- m
	case messenger.Heartbeat:
		i.beats <- m
	}
}

// dispatch sends a model request and returns the first message of the answer.
func (i *impostor) dispatch(t *testing.T, d messenger.Dispatch) messenger.Message {
	t.Helper()
	stream, err := i.link.Open(t.Context())
	require.NoError(t, err)
	defer stream.Close()
	require.NoError(t, stream.Send(d))
	m, err := stream.Receive()
	require.NoError(t, err)
	return m
}

func (s *site) rogueDispatch(i *impostor) messenger.Dispatch {
	return messenger.Dispatch{
		Request: identifier.NewRequest(), Attempt: 1, Customer: identifier.Customer(s.Plan.Customers[0].Name),
		Incarnation: i.link.Peer().Incarnation, Target: messenger.Target{Kind: messenger.TargetModel, Model: identifier.Model(s.Plan.Groups[0].Model)},
		Body: []byte("tokens=4"), MaxTokens: 4, Timeout: 10 * time.Second,
	}
}

// Guards against an agent that relies on entries to keep work away: an entry that knows neither credits nor the
// configuration asks it for work while it is in service, while its failure domain is out and while its upstream leaves.
func TestAgentAdmitsByItsOwnState(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(s *site, a *launcher.Agent) error
		reason messenger.Reason
	}{
		{"in service", func(*site, *launcher.Agent) error { return nil }, messenger.ReasonNoCredit},
		{"failure domain out", func(s *site, a *launcher.Agent) error {
			return s.SetFailureDomain(s.ctx, a.FailureDomain, launcher.StateOut)
		}, messenger.ReasonDraining},
		{"upstream leaving", func(s *site, a *launcher.Agent) error {
			return s.SetUpstream(s.ctx, a, launcher.StateLeaving)
		}, messenger.ReasonDraining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, smallPlan())
			a := s.Agents[0]
			i := s.newImpostor(a)
			before := s.entryRevision(s.Entries[0])
			require.NoError(t, test.change(s, a))
			if test.reason == messenger.ReasonDraining {
				require.Eventually(t, func() bool { return s.agentRevision(a) > before }, spread, 20*time.Millisecond)
			}
			require.Equal(t, test.reason == messenger.ReasonNoCredit, i.getsCredit(t, s))
			refused, ok := i.dispatch(t, s.rogueDispatch(i)).(messenger.Refused)
			require.True(t, ok, "a dispatch without a credit was admitted")
			require.Equal(t, test.reason, refused.Reason)
			records, err := recorder.Collect(s.ctx, s.sources())
			require.NoError(t, err)
			for _, r := range records {
				require.Empty(t, r.Record.Calls, r.Source.Name)
			}
		})
	}
}

// getsCredit asks for credits and tells whether one arrives before the third heartbeat after the demand.
func (i *impostor) getsCredit(t *testing.T, s *site) bool {
	t.Helper()
	for len(i.beats) > 0 {
		<-i.beats
	}
	require.NoError(t, i.link.Send(messenger.Demand{Customers: []messenger.CustomerDemand{
		{Customer: identifier.Customer(s.Plan.Customers[0].Name), Waiting: 1},
	}}))
	for range 3 {
		select {
		case <-i.grants:
			return true
		case <-i.beats:
		case <-s.ctx.Done():
			require.Fail(t, "no heartbeat")
		}
	}
	return false
}
