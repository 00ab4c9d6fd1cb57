package assigner_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/assigner"
)

// TestMain sets a fixed default seed and the number of random sequences. The flags -rapid.seed and -rapid.checks
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet simulates runners: it executes orders and checks each of them.
type fleet struct {
	t  require.TestingT
	in assigner.Input
}

func newFleet(t require.TestingT, runners int, memory identifier.Bytes) *fleet {
	f := &fleet{t: t, in: assigner.Input{FetchRate: 10, FetchWindow: 2 * time.Second}}
	for i := range runners {
		f.in.Runners = append(f.in.Runners, assigner.Runner{
			Upstream:      identifier.Upstream(fmt.Sprintf("runner%02d", i)),
			FailureDomain: identifier.FailureDomain(fmt.Sprint(i % 3)),
			Role:          "decode",
			Memory:        memory,
			Available:     true,
		})
	}
	return f
}

func (f *fleet) runner(name identifier.Upstream) *assigner.Runner {
	for i := range f.in.Runners {
		if f.in.Runners[i].Upstream == name {
			return &f.in.Runners[i]
		}
	}
	require.FailNow(f.t, "order to an unknown runner", name)
	return nil
}

// replica returns the runner and the index of its replica of a variant, or -1.
func (f *fleet) replica(name identifier.Upstream, v assigner.Variant) (*assigner.Runner, int) {
	r := f.runner(name)
	for i, replica := range r.Replicas {
		if replica.Variant == v {
			return r, i
		}
	}
	return r, -1
}

// assign requests orders, executes them and checks the memory and the fetch rate. Loads stay in progress until
// finishLoads.
func (f *fleet) assign() []assigner.Order {
	orders := assigner.Assign(f.in)
	require.Equal(f.t, orders, assigner.Assign(f.in), "equal input gives equal orders")
	for _, order := range orders {
		f.execute(order)
	}
	loading, loads := identifier.Bytes(0), 0
	for _, r := range f.in.Runners {
		used := identifier.Bytes(0)
		for _, replica := range r.Replicas {
			used += replica.Bytes
			if replica.Loading {
				loading += replica.Bytes
				loads++
			}
		}
		require.LessOrEqual(f.t, used, r.Memory, "memory of %s", r.Upstream)
	}
	// FetchRate times FetchWindow is 20 bytes. One load may exceed them.
	if loads > 1 {
		require.LessOrEqual(f.t, loading, identifier.Bytes(20), "loads exceed the shared rate")
	}
	return orders
}

func (f *fleet) execute(order assigner.Order) {
	switch o := order.(type) {
	case assigner.Load:
		r, i := f.replica(o.Upstream, o.Variant)
		require.Negative(f.t, i, "loaded twice")
		require.True(f.t, r.Available && !r.Draining)
		r.Replicas = append(r.Replicas, assigner.Replica{Variant: o.Variant, Bytes: o.Bytes, Loading: true})
	case assigner.Retire:
		r, i := f.replica(o.Upstream, o.Variant)
		r.Replicas[i].Retired = true
	case assigner.Reinstate:
		r, i := f.replica(o.Upstream, o.Variant)
		require.True(f.t, r.Replicas[i].Retired)
		r.Replicas[i].Retired = false
	case assigner.Unload:
		r, i := f.replica(o.Upstream, o.Variant)
		require.True(f.t, r.Replicas[i].Retired)
		require.Zero(f.t, r.Replicas[i].Streams, "streams are cut")
		r.Replicas = append(r.Replicas[:i:i], r.Replicas[i+1:]...)
	case assigner.Drain:
		f.runner(o.Upstream).Draining = true
	case assigner.Undrain:
		require.True(f.t, f.runner(o.Upstream).Draining)
		f.runner(o.Upstream).Draining = false
	case assigner.ChangeRole:
		r := f.runner(o.Upstream)
		require.True(f.t, r.Draining)
		require.Zero(f.t, r.Running, "role changes under running requests")
		r.Role = o.Role
		r.Draining = false
	}
}

// finishLoads finishes all loads and warm-ups.
func (f *fleet) finishLoads() {
	for i := range f.in.Runners {
		for j := range f.in.Runners[i].Replicas {
			f.in.Runners[i].Replicas[j].Loading = false
			f.in.Runners[i].Replicas[j].Warm = true
		}
	}
}

// endStreams ends all running requests and open streams.
func (f *fleet) endStreams() {
	for i := range f.in.Runners {
		f.in.Runners[i].Running = 0
		for j := range f.in.Runners[i].Replicas {
			f.in.Runners[i].Replicas[j].Streams = 0
		}
	}
}

// serving returns the number of runners that receive new streams for a model, of any version if version is empty.
func (f *fleet) serving(model identifier.Model, version string) int {
	n := 0
	for _, r := range f.in.Runners {
		for _, replica := range r.Replicas {
			matches := replica.Variant.Model == model && (version == "" || replica.Variant.Version == version)
			if r.Available && !r.Draining && matches && replica.Warm && !replica.Retired {
				n++
				break
			}
		}
	}
	return n
}

// assignUntilStable finishes loads and streams and assigns until there are no more orders.
func (f *fleet) assignUntilStable() {
	for range 200 {
		f.finishLoads()
		f.endStreams()
		if len(f.assign()) == 0 {
			return
		}
	}
	require.FailNow(f.t, "Assign still returns orders after 200 steps")
}

func requirement(model, version string, demand float64) assigner.Requirement {
	return assigner.Requirement{
		Variant: assigner.Variant{Model: identifier.Model(model), Version: version},
		Bytes:   8,
		Demand:  demand,
	}
}

// TestRandomEvents guards against a model that loses its last serving runner, streams that are cut, memory that is
// exceeded, loads above the shared rate and orders that never end, while versions, demand and roles change and streams
// stay open.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 6).Draw(t, "runners"), identifier.Bytes(rapid.IntRange(16, 40).Draw(t, "memory")))
		f.in.Requirements = []assigner.Requirement{requirement("a", "1", 1), requirement("b", "1", 1)}
		f.assignUntilStable()
		for range rapid.IntRange(1, 40).Draw(t, "length") {
			applyRandomEvent(t, f)
			require.Positive(t, f.serving("a", ""), "no runner serves model a")
			require.Positive(t, f.serving("b", ""), "no runner serves model b")
		}
		f.assignUntilStable()
		for _, req := range f.in.Requirements {
			require.Positive(t, f.serving(req.Variant.Model, req.Variant.Version), "the required version is not served: %+v", f.in)
		}
	})
}

func applyRandomEvent(t *rapid.T, f *fleet) {
	r := &f.in.Runners[rapid.IntRange(0, len(f.in.Runners)-1).Draw(t, "runner")]
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		f.in.Requirements[rapid.IntRange(0, 1).Draw(t, "requirement")].Variant.Version = rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version")
	case 1:
		f.in.Requirements[rapid.IntRange(0, 1).Draw(t, "requirement")].Demand = rapid.Float64Range(0, 8).Draw(t, "demand")
	case 2:
		for j := range r.Replicas {
			if r.Replicas[j].Warm && !r.Replicas[j].Retired {
				r.Replicas[j].Streams = rapid.IntRange(0, 3).Draw(t, "streams")
			}
		}
	case 3:
		r.Running = rapid.IntRange(0, 3).Draw(t, "running")
	case 4:
		f.in.RoleTargets = map[assigner.Role]int{"decode": 1, "prefill": rapid.IntRange(0, 2).Draw(t, "prefill")}
	case 5:
		f.finishLoads()
	case 6:
		f.endStreams()
	default:
		f.assign()
	}
}

// TestNewVersion guards against an old version that is retired before the new one is warm, or unloaded before its
// streams end.
func TestNewVersion(t *testing.T) {
	f := newFleet(t, 1, 16)
	f.in.Requirements = []assigner.Requirement{requirement("a", "1", 1)}
	f.assignUntilStable()
	f.in.Runners[0].Replicas[0].Streams = 2
	f.in.Requirements[0].Variant.Version = "2"
	old := assigner.Variant{Model: "a", Version: "1"}
	require.Equal(t, []assigner.Order{assigner.Load{Upstream: "runner00", Variant: f.in.Requirements[0].Variant, Bytes: 8}}, f.assign())
	require.Empty(t, f.assign(), "the new version is not warm")
	f.finishLoads()
	require.Equal(t, []assigner.Order{assigner.Retire{Upstream: "runner00", Variant: old}}, f.assign())
	require.Empty(t, f.assign(), "streams of the old version are open")
	f.endStreams()
	require.Equal(t, []assigner.Order{assigner.Unload{Upstream: "runner00", Variant: old}}, f.assign())
}

// TestNewVersionWithoutFreeMemory guards against a change of version that stalls because no runner has memory for both
// versions.
func TestNewVersionWithoutFreeMemory(t *testing.T) {
	f := newFleet(t, 3, 8)
	f.in.Requirements = []assigner.Requirement{requirement("a", "1", 3)}
	f.assignUntilStable()
	f.in.Requirements[0].Variant.Version = "2"
	for range 30 {
		f.assign()
		require.GreaterOrEqual(t, f.serving("a", ""), 2, "the runners change one by one")
		f.finishLoads()
		f.endStreams()
	}
	require.Equal(t, 3, f.serving("a", "2"))
}

// TestLoadOrder guards against loads that use up the rate of the weight store before a model that no runner serves is
// loaded.
func TestLoadOrder(t *testing.T) {
	f := newFleet(t, 4, 32)
	f.in.Requirements = []assigner.Requirement{requirement("a", "1", 4)}
	f.assignUntilStable()
	f.in.Requirements = []assigner.Requirement{requirement("a", "2", 4), requirement("b", "1", 1), requirement("c", "1", 2)}
	// Two loads of 8 bytes fit into the fetch window.
	var loaded []identifier.Model
	for _, order := range f.assign() {
		if load, isLoad := order.(assigner.Load); isLoad {
			loaded = append(loaded, load.Variant.Model)
		}
	}
	require.Equal(t, []identifier.Model{"c", "b"}, loaded)
}

// TestRoles guards against a role that changes under running requests, and against all runners that drain at once.
func TestRoles(t *testing.T) {
	f := newFleet(t, 4, 16)
	f.in.Runners[0].Running = 5
	f.in.Runners[1].Running = 1
	f.in.Runners[2].Running = 2
	f.in.Runners[3].Running = 3
	f.in.RoleTargets = map[assigner.Role]int{"decode": 2, "prefill": 2}
	require.Equal(t, []assigner.Order{assigner.Drain{Upstream: "runner01"}}, f.assign())
	require.Empty(t, f.assign(), "one runner drains at a time")
	f.in.Runners[1].Running = 0
	require.Equal(t, assigner.ChangeRole{Upstream: "runner01", Role: "prefill"}, f.assign()[0])
	require.Equal(t, []assigner.Order{assigner.Drain{Upstream: "runner02"}}, f.assign())
	f.in.Runners[2].Running = 0
	require.Equal(t, []assigner.Order{assigner.ChangeRole{Upstream: "runner02", Role: "prefill"}}, f.assign())
	require.Empty(t, f.assign())
}

// TestUnavailableRunner guards against replicas on an unavailable runner that still count as serving.
func TestUnavailableRunner(t *testing.T) {
	f := newFleet(t, 3, 16)
	f.in.Requirements = []assigner.Requirement{requirement("a", "1", 2)}
	f.assignUntilStable()
	for i := range f.in.Runners {
		if len(f.in.Runners[i].Replicas) > 0 {
			f.in.Runners[i].Available = false
			break
		}
	}
	require.Equal(t, 1, f.serving("a", "1"))
	f.assignUntilStable()
	require.Equal(t, 2, f.serving("a", "1"))
}
