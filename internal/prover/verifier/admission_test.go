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

// fakeEntry is a link to an agent under the identity of a stopped entry. It holds no credits and no configuration.
type fakeEntry struct {
	link       *linker.Link
	grants     chan messenger.Grant
	heartbeats chan messenger.Heartbeat
}

// newFakeEntry stops the last entry and establishes a link to an agent with its name, key and address.
func (f *fixture) newFakeEntry(a *launcher.Agent) *fakeEntry {
	f.t.Helper()
	e := f.Entries[len(f.Entries)-1]
	require.NoError(f.t, e.Process.Stop(f.ctx))
	keys := filepath.Join(f.folder, "keys")
	credentials, err := authenticator.Load(authenticator.Paths{
		Authority:   filepath.Join(keys, "authority.pem"),
		Certificate: filepath.Join(keys, e.Name+".pem"),
		Key:         filepath.Join(keys, e.Name+"-key.pem"),
	})
	require.NoError(f.t, err)
	listen, err := netip.ParseAddrPort(e.FleetAddress)
	require.NoError(f.t, err)
	fake := &fakeEntry{grants: make(chan messenger.Grant, 64), heartbeats: make(chan messenger.Heartbeat, 64)}
	linked := make(chan *linker.Link, 1)
	d := dialer.New(dialer.Config{
		Log: logger.Discard(), Listen: listen.String(),
		Link: linker.Config{
			Credentials: credentials,
			Hello: func() messenger.Hello {
				return messenger.Hello{Node: identifier.Node(e.Name), Role: identifier.RoleEntry}
			},
			Heartbeat: func() messenger.Heartbeat { return messenger.Heartbeat{} },
		},
		Serve: func(ctx context.Context, link *linker.Link) error {
			linked <- link
			return link.Run(ctx, fake.handle)
		},
	})
	ctx, cancel := context.WithCancel(f.ctx)
	f.t.Cleanup(d.Wait)
	f.t.Cleanup(cancel)
	d.SetAddresses(ctx, []string{a.FleetAddress})
	select {
	case fake.link = <-linked:
	case <-time.After(10 * time.Second):
		require.Fail(f.t, "no link to "+a.Name)
	}
	return fake
}

func (fake *fakeEntry) handle(m messenger.Message) {
	switch m := m.(type) {
	case messenger.Grant:
		fake.grants <- m
	case messenger.Heartbeat:
		fake.heartbeats <- m
	}
}

// dispatch sends a model request and returns the first message of the response.
func (fake *fakeEntry) dispatch(t *testing.T, d messenger.Dispatch) messenger.Message {
	t.Helper()
	stream, err := fake.link.Open(t.Context())
	require.NoError(t, err)
	defer stream.Close()
	require.NoError(t, stream.Send(d))
	m, err := stream.Receive()
	require.NoError(t, err)
	return m
}

func (f *fixture) dispatchWithoutCredit(fake *fakeEntry) messenger.Dispatch {
	return messenger.Dispatch{
		Request: identifier.NewRequest(), Attempt: 1, Customer: identifier.Customer(f.Plan.Customers[0].Name),
		Incarnation: fake.link.Peer().Incarnation, Target: messenger.Target{Kind: messenger.TargetModel, Model: identifier.Model(f.Plan.Groups[0].Model)},
		Body: []byte("tokens=4"), MaxTokens: 4, Timeout: 10 * time.Second,
	}
}

// Guards against an agent that relies on entries for admission control: an entry without credits and without the
// configuration dispatches a request to it while it is in service, while its failure domain is out and while its
// upstream is leaving.
func TestAgentAdmitsByItsOwnState(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		change func(f *fixture, a *launcher.Agent) error
		reason messenger.Reason
	}{
		{"in service", func(*fixture, *launcher.Agent) error { return nil }, messenger.ReasonNoCredit},
		{"failure domain out", func(f *fixture, a *launcher.Agent) error {
			return f.SetFailureDomainState(f.ctx, a.FailureDomain, launcher.StateOut)
		}, messenger.ReasonDraining},
		{"upstream leaving", func(f *fixture, a *launcher.Agent) error {
			return f.SetUpstreamState(f.ctx, a, launcher.StateLeaving)
		}, messenger.ReasonDraining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, smallPlan())
			a := f.Agents[0]
			fake := f.newFakeEntry(a)
			revisionBefore := f.entryRevision(f.Entries[0])
			require.NoError(t, test.change(f, a))
			if test.reason == messenger.ReasonDraining {
				require.Eventually(t, func() bool { return f.agentRevision(a) > revisionBefore }, adoptionTimeout, 20*time.Millisecond)
			}
			require.Equal(t, test.reason == messenger.ReasonNoCredit, fake.receivesCredit(t, f))
			refused, ok := fake.dispatch(t, f.dispatchWithoutCredit(fake)).(messenger.Refused)
			require.True(t, ok, "a dispatch without a credit was admitted")
			require.Equal(t, test.reason, refused.Reason)
			records, err := recorder.Collect(f.ctx, f.runningSources())
			require.NoError(t, err)
			for _, r := range records {
				require.Empty(t, r.Record.Calls, r.Source.Name)
			}
		})
	}
}

// receivesCredit sends a demand and reports whether the agent grants a credit before its third heartbeat after that.
func (fake *fakeEntry) receivesCredit(t *testing.T, f *fixture) bool {
	t.Helper()
	for len(fake.heartbeats) > 0 {
		<-fake.heartbeats
	}
	require.NoError(t, fake.link.Send(messenger.Demand{Customers: []messenger.CustomerDemand{
		{Customer: identifier.Customer(f.Plan.Customers[0].Name), Waiting: 1},
	}}))
	for range 3 {
		select {
		case <-fake.grants:
			return true
		case <-fake.heartbeats:
		case <-f.ctx.Done():
			require.Fail(t, "no heartbeat")
		}
	}
	return false
}
