package soaker

import (
	"context"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/interposer"
)

// fault injects one fault, waits and takes it back.
type fault func(ctx context.Context, w *world, pick func(n int) int)

// faults are what may happen, in series and overlapping.
var faults = []fault{
	killGateway, stopGateway, freezeGateway, cutWay, delayWay, resetWay, silenceWay, cutDoor, silenceDoor,
	storeDown, loseWrites, compactHistory, drainUpstream,
}

// faultPause is the mean time between two faults of a seed.
const faultPause = 500 * time.Millisecond

// disturb injects faults until the time is over, then waits until all are taken back.
func (w *world) disturb(ctx context.Context) {
	var running sync.WaitGroup
	end := time.Now().Add(faultTime)
	for time.Now().Before(end) && ctx.Err() == nil {
		// All draws are made here, so that a seed always gives the same faults.
		chosen := faults[w.random.IntN(len(faults))]
		target := w.random.IntN(1 << 16)
		running.Go(func() { chosen(ctx, w, func(n int) int { return target % n }) })
		waiter.For(ctx, time.Duration(w.random.Int64N(int64(2*faultPause))))
	}
	running.Wait()
}

func killGateway(ctx context.Context, w *world, pick func(int) int) {
	n := w.nodes[pick(len(w.nodes))]
	n.running().Kill()
	waiter.For(ctx, 400*time.Millisecond)
	// A gateway that another fault has started meanwhile needs no second start.
	if !n.running().Running() {
		_ = w.start(ctx, n)
	}
}

func stopGateway(ctx context.Context, w *world, pick func(int) int) {
	n := w.nodes[pick(len(w.nodes))]
	limited, cancel := context.WithTimeout(ctx, 9*time.Second)
	defer cancel()
	_ = n.running().Stop(limited)
	if !n.running().Running() {
		_ = w.start(ctx, n)
	}
}

func freezeGateway(ctx context.Context, w *world, pick func(int) int) {
	p := w.nodes[pick(len(w.nodes))].running()
	if p.Freeze() != nil {
		return
	}
	waiter.For(ctx, 1500*time.Millisecond)
	_ = p.Thaw()
}

func cutWay(ctx context.Context, w *world, pick func(int) int) {
	withFaults(ctx, w.ways[pick(len(w.ways))], interposer.Faults{CutToClient: true}, time.Second)
}

func delayWay(ctx context.Context, w *world, pick func(int) int) {
	withFaults(ctx, w.ways[pick(len(w.ways))], interposer.Faults{Delay: 80 * time.Millisecond, Loss: 0.05}, 2*time.Second)
}

func withFaults(ctx context.Context, p *interposer.Proxy, f interposer.Faults, d time.Duration) {
	p.Set(f)
	waiter.For(ctx, d)
	p.Heal()
}

func resetWay(_ context.Context, w *world, pick func(int) int) {
	w.ways[pick(len(w.ways))].Reset()
}

func silenceWay(_ context.Context, w *world, pick func(int) int) {
	w.ways[pick(len(w.ways))].Silence()
}

func cutDoor(ctx context.Context, w *world, pick func(int) int) {
	withFaults(ctx, w.doors[pick(len(w.doors))], interposer.Cut(), 3*time.Second)
}

func silenceDoor(_ context.Context, w *world, pick func(int) int) {
	w.doors[pick(len(w.doors))].Silence()
}

func storeDown(ctx context.Context, w *world, _ func(int) int) {
	w.store.SetDown(true)
	waiter.For(ctx, 2*time.Second)
	w.store.SetDown(false)
}

func loseWrites(ctx context.Context, w *world, _ func(int) int) {
	w.store.SetLoseResponses(true)
	waiter.For(ctx, 2*time.Second)
	w.store.SetLoseResponses(false)
}

func compactHistory(_ context.Context, w *world, _ func(int) int) {
	w.store.Compact()
}

// drainUpstream lets an upstream leave for a while.
func drainUpstream(ctx context.Context, w *world, pick func(int) int) {
	i := pick(len(w.ways))
	w.enter(i, "draining")
	waiter.For(ctx, 2*time.Second)
	w.enter(i, "ready")
}
