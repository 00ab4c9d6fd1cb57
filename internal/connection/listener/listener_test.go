package listener_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/authenticator"
	"currantledge.example/currantledge/internal/connection/dialer"
	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/listener"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
)

// newAuthority returns a new certificate authority.
func newAuthority(t *testing.T) authenticator.KeyPair {
	t.Helper()
	pair, err := authenticator.NewAuthority(time.Now())
	require.NoError(t, err)
	return pair
}

// config returns the link configuration of a node that trusts the authority which issued its certificate.
func config(t *testing.T, issuer authenticator.KeyPair, certified, claimed authenticator.Identity) linker.Config {
	t.Helper()
	return configTrusting(t, issuer, issuer, certified, claimed)
}

// configTrusting returns the link configuration of a node that trusts one authority and has its certificate from another.
// The certificate names one identity, and the node's Hello claims another.
func configTrusting(t *testing.T, trusted, issuer authenticator.KeyPair, certified, claimed authenticator.Identity) linker.Config {
	t.Helper()
	pair, err := authenticator.IssueKeyPair(issuer, certified, time.Now())
	require.NoError(t, err)
	credentials, err := authenticator.New(trusted.Certificate, pair)
	require.NoError(t, err)
	return linker.Config{
		Credentials: credentials,
		Hello:       func() messenger.Hello { return messenger.Hello{Node: claimed.Node, Role: claimed.Role} },
		Heartbeat:   func() messenger.Heartbeat { return messenger.Heartbeat{} },
	}
}

// Guards against processes that link to the fleet without a certificate of its authority, or with another name or role
// than their certificate's. The fleet's authority certificate is no secret: a foreign process that trusts it accepts the
// fleet's listener, so only the listener's check of client certificates refuses it. Nor may a node link to a listener
// whose certificate it does not trust.
func TestOnlyTheFleetsNodesLink(t *testing.T) {
	t.Parallel()
	fleet, foreign := newAuthority(t), newAuthority(t)
	entry := authenticator.Identity{Node: "entry-1", Role: identifier.RoleEntry}
	agent := authenticator.Identity{Node: "agent-1", Role: identifier.RoleAgent}
	tests := []struct {
		name               string
		trusted, issuer    authenticator.KeyPair
		certified, claimed authenticator.Identity
		wantLink           bool
	}{
		{"node of the fleet", fleet, fleet, entry, entry, true},
		{"key of another authority", foreign, foreign, entry, entry, false},
		{"key of another authority, trusts the fleet's", fleet, foreign, entry, entry, false},
		{"node of the fleet, trusts another authority", foreign, fleet, entry, entry, false},
		{"another node's name", fleet, fleet, agent, authenticator.Identity{Node: "agent-2", Role: identifier.RoleAgent}, false},
		{"another role", fleet, fleet, agent, authenticator.Identity{Node: "agent-1", Role: identifier.RoleEntry}, false},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			// TestTrafficIsCounted uses port 20905.
			address := []string{"127.0.0.1:20901", "127.0.0.1:20902", "127.0.0.1:20903", "127.0.0.1:20904", "127.0.0.1:20906", "127.0.0.1:20907"}[i]
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			served := make(chan *linker.Link, 1)
			l, err := listener.New(listener.Config{
				Address: address, Log: logger.Discard(), Link: config(t, fleet, agent, agent),
				Serve: func(_ context.Context, link *linker.Link) error {
					served <- link
					return nil
				},
			})
			require.NoError(t, err)
			go func() { _ = l.Run(ctx) }()
			d := dialer.New(dialer.Config{
				Log: logger.Discard(), Listen: "127.0.0.1:0", Link: configTrusting(t, test.trusted, test.issuer, test.certified, test.claimed),
				Serve: func(ctx context.Context, _ *linker.Link) error {
					<-ctx.Done()
					return nil
				},
			})
			d.SetAddresses(ctx, []string{address})
			select {
			case link := <-served:
				require.True(t, test.wantLink, "unexpected link of %v", link.Peer())
			case <-ctx.Done():
				require.False(t, test.wantLink, "no link")
			}
		})
	}
}

// Guards against counters that miss the frames or packets of one direction of a link.
func TestTrafficIsCounted(t *testing.T) {
	t.Parallel()
	const address = "127.0.0.1:20905"
	fleet := newAuthority(t)
	entry := authenticator.Identity{Node: "entry-1", Role: identifier.RoleEntry}
	agent := authenticator.Identity{Node: "agent-1", Role: identifier.RoleAgent}
	acceptingConfig, diallingConfig := config(t, fleet, agent, agent), config(t, fleet, entry, entry)
	acceptingConfig.Traffic, diallingConfig.Traffic = &linker.Traffic{}, &linker.Traffic{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	messages := make(chan struct{}, 64)
	serve := func(ctx context.Context, link *linker.Link) error {
		return link.Run(ctx, func(messenger.Message) { messages <- struct{}{} })
	}
	l, err := listener.New(listener.Config{Address: address, Log: logger.Discard(), Link: acceptingConfig, Serve: serve})
	require.NoError(t, err)
	go func() { _ = l.Run(ctx) }()
	d := dialer.New(dialer.Config{Log: logger.Discard(), Listen: "127.0.0.1:0", Link: diallingConfig, Serve: serve})
	d.SetAddresses(ctx, []string{address})
	// Each side sends a heartbeat as soon as the link is up.
	for range 2 {
		select {
		case <-messages:
		case <-ctx.Done():
			require.Fail(t, "no heartbeat")
		}
	}
	require.Eventually(t, func() bool {
		a, b := acceptingConfig.Traffic, diallingConfig.Traffic
		sent, received := a.ControlSent()+b.ControlSent(), a.ControlReceived()+b.ControlReceived()
		return sent > 0 && sent == received && a.Sent() > a.ControlSent() && b.Sent() > b.ControlSent() &&
			a.Received() > a.ControlReceived() && b.Received() > b.ControlReceived()
	}, 5*time.Second, 10*time.Millisecond)
}
