package soaker

import (
	"context"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/interposer"
)

// fault injects one fault, waits and removes it. pick returns the index of the target among n candidates.
type fault func(ctx context.Context, d *deployment, pick func(n int) int)

// faults are the faults that injectFaults starts at random. Several can be active at the same time.
var faults = []fault{
	killGateway, stopGateway, freezeGateway, cutUpstream, delayUpstream, resetUpstream, silenceUpstream, cutStore,
	silenceStore, takeStoreDown, loseWriteResponses, compactStore, drainUpstream, restartRank, restartRank,
}

// meanFaultInterval is the mean time between the starts of two faults of a seed.
const meanFaultInterval = 500 * time.Millisecond

// injectFaults starts random faults for faultDuration, then waits until all of them have been removed.
func (d *deployment) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	deadline := time.Now().Add(faultDuration)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		// All random draws are made here, in one order, so that a seed always gives the same faults.
		chosen := faults[d.random.IntN(len(faults))]
		// pick reduces the number to the index of one of n candidates.
		target := d.random.IntN(1 << 16)
		running.Go(func() { chosen(ctx, d, func(n int) int { return target % n }) })
		waiter.For(ctx, time.Duration(d.random.Int64N(int64(2*meanFaultInterval))))
	}
	running.Wait()
}

// killGateway kills a gateway and restarts it.
func killGateway(ctx context.Context, d *deployment, pick func(int) int) {
	g := d.gateways[pick(len(d.gateways))]
	g.currentProcess().Kill()
	waiter.For(ctx, 400*time.Millisecond)
	// A concurrent fault may have restarted the gateway already.
	if !g.currentProcess().Running() {
		_ = d.startGateway(ctx, g)
	}
}

// stopGateway stops a gateway gracefully and restarts it.
func stopGateway(ctx context.Context, d *deployment, pick func(int) int) {
	g := d.gateways[pick(len(d.gateways))]
	// The timeout is longer than the 8 s that the settings give a gateway for its shutdown (bounds.graceS).
	limited, cancel := context.WithTimeout(ctx, 9*time.Second)
	defer cancel()
	_ = g.currentProcess().Stop(limited)
	if !g.currentProcess().Running() {
		_ = d.startGateway(ctx, g)
	}
}

// freezeGateway suspends the process of a gateway and resumes it.
func freezeGateway(ctx context.Context, d *deployment, pick func(int) int) {
	p := d.gateways[pick(len(d.gateways))].currentProcess()
	if p.Freeze() != nil {
		return
	}
	waiter.For(ctx, 1500*time.Millisecond)
	_ = p.Thaw()
}

// cutUpstream cuts only the direction from an upstream to the gateways.
func cutUpstream(ctx context.Context, d *deployment, pick func(int) int) {
	setFaultsFor(ctx, d.upstreamProxies[pick(len(d.upstreamProxies))], interposer.Faults{CutToClient: true}, time.Second)
}

// delayUpstream delays the traffic of an upstream, some segments by RetransmissionDelay more.
func delayUpstream(ctx context.Context, d *deployment, pick func(int) int) {
	setFaultsFor(ctx, d.upstreamProxies[pick(len(d.upstreamProxies))], interposer.Faults{Delay: 80 * time.Millisecond, Loss: 0.05}, 2*time.Second)
}

// setFaultsFor sets faults of a proxy for a duration, then removes all faults of the proxy.
func setFaultsFor(ctx context.Context, p *interposer.Proxy, f interposer.Faults, duration time.Duration) {
	p.Set(f)
	waiter.For(ctx, duration)
	p.Heal()
}

// resetUpstream resets the open connections to an upstream.
func resetUpstream(_ context.Context, d *deployment, pick func(int) int) {
	d.upstreamProxies[pick(len(d.upstreamProxies))].Reset()
}

// silenceUpstream makes the open connections to an upstream permanently silent.
func silenceUpstream(_ context.Context, d *deployment, pick func(int) int) {
	d.upstreamProxies[pick(len(d.upstreamProxies))].Silence()
}

// cutStore partitions one gateway from the store.
func cutStore(ctx context.Context, d *deployment, pick func(int) int) {
	setFaultsFor(ctx, d.storeProxies[pick(len(d.storeProxies))], interposer.Cut(), 3*time.Second)
}

// silenceStore makes the open connections of one gateway to the store permanently silent.
func silenceStore(_ context.Context, d *deployment, pick func(int) int) {
	d.storeProxies[pick(len(d.storeProxies))].Silence()
}

// takeStoreDown makes the store refuse the calls of all gateways.
func takeStoreDown(ctx context.Context, d *deployment, _ func(int) int) {
	d.store.SetDown(true)
	waiter.For(ctx, 2*time.Second)
	d.store.SetDown(false)
}

// loseWriteResponses makes the store apply writes without responding to them.
func loseWriteResponses(ctx context.Context, d *deployment, _ func(int) int) {
	d.store.SetLoseResponses(true)
	waiter.For(ctx, 2*time.Second)
	d.store.SetLoseResponses(false)
}

// compactStore drops the history of the store, so that gateways cannot continue their feeds.
func compactStore(_ context.Context, d *deployment, _ func(int) int) {
	d.store.Compact()
}

// drainUpstream marks an upstream as draining for 2 s.
func drainUpstream(ctx context.Context, d *deployment, pick func(int) int) {
	i := pick(len(d.upstreamProxies))
	d.setUpstreamState(i, "draining")
	waiter.For(ctx, 2*time.Second)
	d.setUpstreamState(i, "ready")
}
