package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/launcher"
)

const (
	// controlSettlePeriod is the time after the start in which links are established and timers become regular.
	controlSettlePeriod = 3 * time.Second
	controlPeriod       = 6 * time.Second
	// lightLoadRate is the number of requests per second to the fleet under light load.
	lightLoadRate = 10.0
	// maxVarsBytes is the most bytes that are read from /debug/vars.
	maxVarsBytes = 4 << 20
)

// reading holds the resources that one node has used so far, and the bytes of its links and of its control messages.
type reading struct {
	usage
	link, control int64
}

// measureControl measures the processor time, memory and traffic of a node in fleets of several sizes, idle and under
// light load.
func measureControl(ctx context.Context, b *bench) error {
	for _, n := range fleetSizes {
		b.note("%d nodes", n)
		runs, err := b.runControl(ctx, n)
		if err != nil {
			return err
		}
		b.print(withoutBaseline(medians(runs)))
	}
	return nil
}

func (b *bench) runControl(ctx context.Context, nodes int) ([][]sample, error) {
	f, err := b.deploy(ctx, fleetPlan(nodes))
	if err != nil {
		return nil, err
	}
	waiter.For(ctx, controlSettlePeriod)
	var runs [][]sample
	t := newTraffic(ctx, f)
	for run := range b.cfg.Runs {
		idle, err := f.meanUsageDuring(ctx, nodes, "idle", func() { waiter.For(ctx, controlPeriod) })
		if err != nil {
			return nil, errors.CombineErrors(err, f.close(ctx))
		}
		w := shortOutputs
		w.rate = evenRates(lightLoadRate, len(f.Plan.Customers))
		light, err := f.meanUsageDuring(ctx, nodes, "light", func() { t.run(w, b.cfg.Seed+uint64(run), controlPeriod) })
		if err != nil {
			return nil, errors.CombineErrors(err, f.close(ctx))
		}
		t.calls.Wait()
		runs = append(runs, append(idle, light...))
	}
	t.finish()
	return runs, f.close(ctx)
}

// meanUsageDuring returns the mean usage of a node of each role while a function runs.
func (f *fleet) meanUsageDuring(ctx context.Context, nodes int, loadName string, run func()) ([]sample, error) {
	before, err := f.readings(ctx)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	run()
	after, err := f.readings(ctx)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	var samples []sample
	for _, role := range []string{"Entry", "Agent"} {
		sum, count := sumUsage(before[role], after[role])
		name := func(kind string) string { return fmt.Sprintf("%s%s@%d/%s", kind, role, nodes, loadName) }
		const percent, kilobyte, mebibyte = 100, 1000, 1 << 20
		samples = append(samples,
			sample{name("controlCpu"), percent * sum.cpu.Seconds() / seconds / count, "%core"},
			sample{name("controlMemory"), float64(sum.resident) / count / mebibyte, "MiB"},
			sample{name("controlMemoryAnonymous"), float64(sum.anonymous) / count / mebibyte, "MiB"},
			sample{name("controlBytes"), float64(sum.control) / seconds / count / kilobyte, "KB/s"},
			sample{name("linkBytes"), float64(sum.link) / seconds / count / kilobyte, "KB/s"},
		)
	}
	return samples, nil
}

// sumUsage returns the sums over all nodes of the increases of times and bytes and of the last memory sizes, and the
// number of nodes.
func sumUsage(before, after []reading) (reading, float64) {
	var sum reading
	for i := range after {
		sum.cpu += after[i].cpu - before[i].cpu
		sum.resident += after[i].resident
		sum.anonymous += after[i].anonymous
		sum.link += after[i].link - before[i].link
		sum.control += after[i].control - before[i].control
	}
	return sum, float64(len(after))
}

// readings returns the readings of all nodes by role, in the order of the deployment.
func (f *fleet) readings(ctx context.Context) (map[string][]reading, error) {
	out := map[string][]reading{}
	for _, e := range f.Entries {
		vars, err := f.CallOperatorAPIAt(ctx, e, http.MethodGet, "/debug/vars", nil)
		if err != nil {
			return nil, err
		}
		r, err := readingOf(&e.Node, vars)
		if err != nil {
			return nil, err
		}
		out["Entry"] = append(out["Entry"], r)
	}
	for _, a := range f.Agents {
		vars, err := get(ctx, "http://"+a.MetricsAddress+"/debug/vars")
		if err != nil {
			return nil, err
		}
		r, err := readingOf(&a.Node, vars)
		if err != nil {
			return nil, err
		}
		out["Agent"] = append(out["Agent"], r)
	}
	return out, nil
}

func readingOf(n *launcher.Node, vars []byte) (reading, error) {
	var published struct {
		Metrics map[meter.Name]int64 `json:"currantledge"`
	}
	if err := json.Unmarshal(vars, &published); err != nil {
		return reading{}, errors.Wrapf(err, "decode the metrics of %s", n.Name)
	}
	m := published.Metrics
	r := reading{
		link:    m[meter.LinkBytesSent] + m[meter.LinkBytesReceived],
		control: m[meter.ControlBytesSent] + m[meter.ControlBytesReceived],
	}
	var err error
	r.usage, err = usageOf(n.Process.PID())
	return r, err
}

func get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read metrics")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("read metrics: %s", response.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxVarsBytes))
	return raw, errors.Wrap(err, "read metrics")
}
