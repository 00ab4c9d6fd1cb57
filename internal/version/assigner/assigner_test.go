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

// TestMain fixes the seed and the number of sequences; the command line takes precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet carries out orders as runners would, and checks each of them.
type fleet struct {
	t  require.TestingT
	in assigner.Input
}

func newFleet(t require.TestingT, runners int, memory identifier.Bytes) *fleet {
	f := &fleet{t: t, in: assigner.Input{FetchRate: 10, Window: 2 * time.Second}}
	for i := range runners {
		f.in.Runners = append(f.in.Runners, assigner.Runner{
			Upstream:      identifier.Upstream(fmt.Sprintf("runner%02d", i)),
			FailureDomain: identifier.FailureDomain(fmt.Sprint(i % 3)),
			Role:          "decode",
			Memory:        memory,
			InForce:       true,
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

func (f *fleet) held(name identifier.Upstream, v assigner.Variant) (*assigner.Runner, int) {
	r := f.runner(name)
	for i, h := range r.Held {
		if h.Variant == v {
			return r, i
		}
	}
	return r, -1
}

// assign makes orders and carries them out. Loads take effect with arrive.
func (f *fleet) assign() []assigner.Order {
	orders := assigner.Assign(f.in)
	require.Equal(f.t, orders, assigner.Assign(f.in), "equal input gives equal orders")
	for _, order := range orders {
		f.carryOut(order)
	}
	loading, loads := identifier.Bytes(0), 0
	for _, r := range f.in.Runners {
		used := identifier.Bytes(0)
		for _, h := range r.Held {
			used += h.Bytes
			if h.Loading {
				loading += h.Bytes
				loads++
			}
		}
		require.LessOrEqual(f.t, used, r.Memory, "memory of %s", r.Upstream)
	}
	if loads > 1 {
		require.LessOrEqual(f.t, loading, identifier.Bytes(20), "loads exceed the shared rate")
	}
	return orders
}

func (f *fleet) carryOut(order assigner.Order) {
	switch o := order.(type) {
	case assigner.Load:
		r, i := f.held(o.Upstream, o.Variant)
		require.Negative(f.t, i, "loaded twice")
		require.True(f.t, r.InForce && !r.Draining)
		r.Held = append(r.Held, assigner.Held{Variant: o.Variant, Bytes: o.Bytes, Loading: true})
	case assigner.Retire:
		r, i := f.held(o.Upstream, o.Variant)
		r.Held[i].Retired = true
	case assigner.Resume:
		r, i := f.held(o.Upstream, o.Variant)
		require.True(f.t, r.Held[i].Retired)
		r.Held[i].Retired = false
	case assigner.Unload:
		r, i := f.held(o.Upstream, o.Variant)
		require.True(f.t, r.Held[i].Retired)
		require.Zero(f.t, r.Held[i].Streams, "streams are cut")
		r.Held = append(r.Held[:i:i], r.Held[i+1:]...)
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

// arrive finishes all loads and warm-ups; end ends the streams of retired variants.
func (f *fleet) arrive() {
	for i := range f.in.Runners {
		for j := range f.in.Runners[i].Held {
			f.in.Runners[i].Held[j].Loading = false
			f.in.Runners[i].Held[j].Warm = true
		}
	}
}

func (f *fleet) end() {
	for i := range f.in.Runners {
		f.in.Runners[i].Running = 0
		for j := range f.in.Runners[i].Held {
			f.in.Runners[i].Held[j].Streams = 0
		}
	}
}

// serving counts the runners that take new streams of a model, of any version if version is empty.
func (f *fleet) serving(model identifier.Model, version string) int {
	n := 0
	for _, r := range f.in.Runners {
		for _, h := range r.Held {
			matches := h.Variant.Model == model && (version == "" || h.Variant.Version == version)
			if r.InForce && !r.Draining && matches && h.Warm && !h.Retired {
				n++
				break
			}
		}
	}
	return n
}

func (f *fleet) settle() {
	for range 200 {
		f.arrive()
		f.end()
		if len(f.assign()) == 0 {
			return
		}
	}
	require.FailNow(f.t, "orders do not end")
}

func want(model, version string, demand float64) assigner.Want {
	return assigner.Want{
		Variant: assigner.Variant{Model: identifier.Model(model), Version: version},
		Bytes:   8,
		Demand:  demand,
	}
}

// TestSequences guards against a model that loses its last server, cut streams, overfull memory, loads above the
// shared rate and orders that never end, while versions and demand change and streams stay open.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 6).Draw(t, "runners"), identifier.Bytes(rapid.IntRange(16, 40).Draw(t, "memory")))
		f.in.Wants = []assigner.Want{want("a", "1", 1), want("b", "1", 1)}
		f.settle()
		for range rapid.IntRange(1, 40).Draw(t, "length") {
			disturb(t, f)
			require.Positive(t, f.serving("a", ""), "nobody serves model a")
			require.Positive(t, f.serving("b", ""), "nobody serves model b")
		}
		f.settle()
		for _, w := range f.in.Wants {
			require.Positive(t, f.serving(w.Variant.Model, w.Variant.Version), "the wanted version is not served: %+v", f.in)
		}
	})
}

func disturb(t *rapid.T, f *fleet) {
	r := &f.in.Runners[rapid.IntRange(0, len(f.in.Runners)-1).Draw(t, "runner")]
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		f.in.Wants[rapid.IntRange(0, 1).Draw(t, "want")].Variant.Version = rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version")
	case 1:
		f.in.Wants[rapid.IntRange(0, 1).Draw(t, "want")].Demand = rapid.Float64Range(0, 8).Draw(t, "demand")
	case 2:
		for j := range r.Held {
			if r.Held[j].Warm && !r.Held[j].Retired {
				r.Held[j].Streams = rapid.IntRange(0, 3).Draw(t, "streams")
			}
		}
	case 3:
		r.Running = rapid.IntRange(0, 3).Draw(t, "running")
	case 4:
		f.in.Roles = map[assigner.Role]int{"decode": 1, "prefill": rapid.IntRange(0, 2).Draw(t, "prefill")}
	case 5:
		f.arrive()
	case 6:
		f.end()
	default:
		f.assign()
	}
}

// TestNewVersion guards against an old version that stops before the new one is warm, or before its streams end.
func TestNewVersion(t *testing.T) {
	f := newFleet(t, 1, 16)
	f.in.Wants = []assigner.Want{want("a", "1", 1)}
	f.settle()
	f.in.Runners[0].Held[0].Streams = 2
	f.in.Wants[0].Variant.Version = "2"
	old := assigner.Variant{Model: "a", Version: "1"}
	require.Equal(t, []assigner.Order{assigner.Load{Upstream: "runner00", Variant: f.in.Wants[0].Variant, Bytes: 8}}, f.assign())
	require.Empty(t, f.assign(), "the new version is not warm")
	f.arrive()
	require.Equal(t, []assigner.Order{assigner.Retire{Upstream: "runner00", Variant: old}}, f.assign())
	require.Empty(t, f.assign(), "streams of the old version are open")
	f.end()
	require.Equal(t, []assigner.Order{assigner.Unload{Upstream: "runner00", Variant: old}}, f.assign())
}

// TestNewVersionWithoutRoom guards against a change of version that stalls because no runner can hold both.
func TestNewVersionWithoutRoom(t *testing.T) {
	f := newFleet(t, 3, 8)
	f.in.Wants = []assigner.Want{want("a", "1", 3)}
	f.settle()
	f.in.Wants[0].Variant.Version = "2"
	for range 30 {
		f.assign()
		require.GreaterOrEqual(t, f.serving("a", ""), 2, "the runners change one by one")
		f.arrive()
		f.end()
	}
	require.Equal(t, 3, f.serving("a", "2"))
}

// TestLoadOrder guards against loads that share the rate of the store at the cost of a model that nobody serves.
func TestLoadOrder(t *testing.T) {
	f := newFleet(t, 4, 32)
	f.in.Wants = []assigner.Want{want("a", "1", 4)}
	f.settle()
	f.in.Wants = []assigner.Want{want("a", "2", 4), want("b", "1", 1), want("c", "1", 2)}
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
	f.in.Roles = map[assigner.Role]int{"decode": 2, "prefill": 2}
	require.Equal(t, []assigner.Order{assigner.Drain{Upstream: "runner01"}}, f.assign())
	require.Empty(t, f.assign(), "one runner drains at a time")
	f.in.Runners[1].Running = 0
	require.Equal(t, assigner.ChangeRole{Upstream: "runner01", Role: "prefill"}, f.assign()[0])
	require.Equal(t, []assigner.Order{assigner.Drain{Upstream: "runner02"}}, f.assign())
	f.in.Runners[2].Running = 0
	require.Equal(t, []assigner.Order{assigner.ChangeRole{Upstream: "runner02", Role: "prefill"}}, f.assign())
	require.Empty(t, f.assign())
}

// TestRunnerLeaves guards against copies on a runner that is out of force and still count as service.
func TestRunnerLeaves(t *testing.T) {
	f := newFleet(t, 3, 16)
	f.in.Wants = []assigner.Want{want("a", "1", 2)}
	f.settle()
	for i := range f.in.Runners {
		if len(f.in.Runners[i].Held) > 0 {
			f.in.Runners[i].InForce = false
			break
		}
	}
	require.Equal(t, 1, f.serving("a", "1"))
	f.settle()
	require.Equal(t, 2, f.serving("a", "1"))
}
