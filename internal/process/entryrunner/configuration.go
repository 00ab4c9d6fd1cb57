package entryrunner

import (
	"context"
	"math/rand/v2"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/registrar"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/request/router"
	"currantledge.example/currantledge/internal/version/declarer"
)

const (
	// platformTimeout bounds each call to the platform.
	platformTimeout = 2 * time.Second
	// fleetPollRate is the number of reads per second of config/head by all entries together.
	fleetPollRate   = 4
	minPollInterval = 500 * time.Millisecond
	// vmListInterval is the time between two reads of the platform's list of VMs.
	vmListInterval = 2 * time.Second
)

// pollConfiguration reads the newest revision from the table until ctx ends. The interval grows with the number of
// entries, so that the rate of reads of the table stays constant.
func (e *Entry) pollConfiguration(ctx context.Context) error {
	for {
		if err := e.refreshConfiguration(ctx); err != nil {
			e.log.Event(logger.EventPlatformFailed).Str("operation", "loadConfiguration").AnErr("cause", err).Send()
		}
		if !waiter.For(ctx, e.pollInterval()) {
			return nil
		}
	}
}

// refreshConfiguration loads and adopts the changes from the table if its revision is higher than the entry's own.
func (e *Entry) refreshConfiguration(ctx context.Context) error {
	head, err := e.writer.Head(ctx)
	if err != nil {
		return err
	}
	own := e.store.Revision()
	if head <= own {
		return nil
	}
	changes, err := e.writer.Load(ctx, own)
	if err != nil {
		return err
	}
	e.distributor.Adopt(changes)
	return nil
}

// pollInterval returns the time to the next read of config/head. It is random, so that the reads of the entries are
// spread over time.
func (e *Entry) pollInterval() time.Duration {
	entries := 0
	for _, n := range e.nodes.Nodes(time.Now()) {
		if n.Role == identifier.RoleEntry && n.State == registrar.StateLive {
			entries++
		}
	}
	interval := max(time.Duration(entries)*time.Second/fleetPollRate, minPollInterval)
	return interval/2 + rand.N(interval)
}

// announceRevisions sends each new revision to peers and agents immediately until ctx ends.
func (e *Entry) announceRevisions(ctx context.Context) error {
	announced := e.store.Revision()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.store.Changed(announced):
		}
		announced = e.store.Revision()
		e.peers.startNewsRounds()
		for _, m := range e.pool.Members() {
			m.Link.TriggerHeartbeat()
		}
	}
}

// pollVMs reads the platform's list of VMs until ctx ends.
func (e *Entry) pollVMs(ctx context.Context) error {
	for {
		vms, _, err := e.platform.VMs(ctx)
		if err == nil {
			listed := make([]registrar.VM, len(vms))
			for i, vm := range vms {
				listed[i] = registrar.VM{Node: vm.Name, Leaving: vm.Leaving}
			}
			e.nodes.SetVMs(listed)
		} else {
			e.log.Event(logger.EventPlatformFailed).Str("operation", "listVMs").AnErr("cause", err).Send()
		}
		if !waiter.For(ctx, vmListInterval) {
			return nil
		}
	}
}

// candidates returns the linked upstreams that serve a target, without those that are leaving and those whose failure
// domain is out or whose VM is leaving.
func (e *Entry) candidates(target messenger.Target) []router.Candidate {
	snapshot := e.store.Snapshot()
	var out []router.Candidate
	for name, m := range e.pool.Members() {
		u, ok := snapshot.Upstreams[name]
		if !ok || !servesTarget(snapshot.ModelGroups, u, target) || u.State == declarer.UpstreamLeaving {
			continue
		}
		if snapshot.FailureDomains[u.FailureDomain].State == declarer.DomainOut || e.nodes.Leaving(m.Link.Peer().Node) {
			continue
		}
		out = append(out, router.Candidate{
			Upstream: name, Local: u.FailureDomain == e.settings.FailureDomain,
			Used: m.Load.Running + m.Load.Granted, Limit: m.Load.Limit, Unhealthy: !m.Load.Ready || m.Load.Draining,
		})
	}
	return out
}

// servesTarget reports whether an upstream is declared for a target.
func servesTarget(groups map[identifier.ModelGroup]declarer.ModelGroup, u declarer.Upstream, target messenger.Target) bool {
	if target.Kind == messenger.TargetService {
		return u.Service == target.Service && target.Service != ""
	}
	for _, m := range groups[u.ModelGroup].Models {
		if m.Name == target.Model {
			return true
		}
	}
	return false
}

// isDeclared reports whether the configuration declares a target.
func (e *Entry) isDeclared(target messenger.Target) bool {
	snapshot := e.store.Snapshot()
	if target.Kind == messenger.TargetService {
		_, ok := snapshot.Services[target.Service]
		return ok
	}
	for _, g := range snapshot.ModelGroups {
		for _, m := range g.Models {
			if m.Name == target.Model {
				return true
			}
		}
	}
	return false
}
