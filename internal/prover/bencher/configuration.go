package bencher

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/prover/launcher"
)

const (
	// changesPlatformUp and changesPlatformDown are the numbers of changes in each run while the platform is up and
	// down.
	changesPlatformUp   = 10
	changesPlatformDown = 5
	// changePause is the time between two changes, in which most processes adopt the first one. A random part of
	// changeJitter is added to it.
	changePause  = 600 * time.Millisecond
	changeJitter = 400 * time.Millisecond
	// platformDownPeriod is the duration of the platform's outage after a change.
	platformDownPeriod = 1500 * time.Millisecond
	// notAdopted stands for the time to adoption of a change that some process did not adopt before the end of the run.
	notAdopted = 60 * time.Second
	p99        = 0.99
)

// fleetSizes are numbers of processes, half of them entries and half agents.
var fleetSizes = []int{8, 16, 32, 64}

func fleetPlan(processes int) launcher.Plan {
	plan := smallPlan()
	plan.Entries = processes / 2
	plan.Groups[0].Ranks = processes - plan.Entries
	return plan
}

// change is an accepted change of the configuration. If platformDown is set, the platform went down right after it.
type change struct {
	revision     identifier.Revision
	accepted     time.Time
	platformDown bool
}

// measureConfiguration measures the time from the acceptance of a change until the last process has adopted it.
func measureConfiguration(ctx context.Context, b *bench) error {
	for _, n := range fleetSizes {
		b.note("%d processes", n)
		runs, err := b.runChanges(ctx, n)
		if err != nil {
			return err
		}
		b.print(withoutBaseline(medians(runs)))
	}
	return nil
}

func (b *bench) runChanges(ctx context.Context, processes int) ([][]sample, error) {
	plan := fleetPlan(processes)
	plan.LogLevel = "info"
	f, err := b.deploy(ctx, plan)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(b.cfg.Seed, uint64(processes)))
	var runs [][]change
	revision := f.firstRevision()
	for range b.cfg.Runs {
		var changes []change
		for i := range changesPlatformUp + changesPlatformDown {
			revision++
			c, err := f.changeCustomer(ctx, revision, i >= changesPlatformUp)
			if err != nil {
				return nil, errors.CombineErrors(err, f.close(ctx))
			}
			changes = append(changes, c)
			waiter.For(ctx, changePause+time.Duration(random.Int64N(int64(changeJitter))))
		}
		runs = append(runs, changes)
	}
	// Gives the processes time to adopt the last change before their logs are read.
	waiter.For(ctx, platformDownPeriod)
	adopted, err := f.adoptions()
	if err := errors.CombineErrors(err, f.close(ctx)); err != nil {
		return nil, err
	}
	var samples [][]sample
	for _, changes := range runs {
		samples = append(samples, changeSamples(processes, changes, adopted))
	}
	return samples, nil
}

// firstRevision returns the revision after Deploy, which applies each resource once.
func (f *fleet) firstRevision() identifier.Revision {
	p := f.Plan
	resources := len(p.FailureDomains) + len(p.Groups) + len(p.Services) + len(f.Agents) + len(p.Customers)
	return identifier.Revision(resources)
}

// changeCustomer changes a customer. If platformDown is set, it takes the platform down for platformDownPeriod right
// after the change is accepted.
func (f *fleet) changeCustomer(ctx context.Context, revision identifier.Revision, platformDown bool) (change, error) {
	customer := f.Plan.Customers[0]
	resource := launcher.Customer{
		Name: customer.Name, Share: 1 + float64(revision), MaxWaiting: customer.MaxWaiting,
		KeyDigests: []string{launcher.KeyDigest(customer.Key)},
	}
	if err := f.Apply(ctx, "customers", customer.Name, resource); err != nil {
		return change{}, err
	}
	c := change{revision: revision, accepted: time.Now(), platformDown: platformDown}
	if !platformDown {
		return c, nil
	}
	if err := f.Control(ctx, f.Platform, "/fault", map[string]any{"outage": "refuse"}); err != nil {
		return c, err
	}
	waiter.For(ctx, platformDownPeriod)
	return c, f.Control(ctx, f.Platform, "/fault", map[string]any{})
}

// adoption records when a process adopted a revision.
type adoption struct {
	revision identifier.Revision
	at       time.Time
}

// adoptions reads from the logs when each process adopted which revisions, by node name. It omits the first entry,
// which accepts the changes itself.
func (f *fleet) adoptions() (map[string][]adoption, error) {
	adopted := map[string][]adoption{}
	for _, n := range f.Nodes() {
		if n.Name == f.Entries[0].Name {
			continue
		}
		adoptions, err := parseAdoptions(n.Process.Log())
		if err != nil {
			return nil, errors.Wrapf(err, "read the log of %s", n.Name)
		}
		adopted[n.Name] = adoptions
	}
	return adopted, nil
}

func parseAdoptions(log string) ([]adoption, error) {
	eventField := fmt.Appendf(nil, `"event":%d,`, int(logger.EventConfigAdopted))
	var adoptions []adoption
	lines := bufio.NewScanner(strings.NewReader(log))
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), eventField) {
			continue
		}
		var line struct {
			Time     time.Time           `json:"time"`
			Revision identifier.Revision `json:"revision"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return nil, errors.Wrap(err, "decode a log line")
		}
		adoptions = append(adoptions, adoption{revision: line.Revision, at: line.Time})
	}
	return adoptions, lines.Err()
}

func changeSamples(processes int, changes []change, adopted map[string][]adoption) []sample {
	var platformUp, platformDown []time.Duration
	for _, c := range changes {
		if c.platformDown {
			platformDown = append(platformDown, c.timeToLastAdoption(adopted))
		} else {
			platformUp = append(platformUp, c.timeToLastAdoption(adopted))
		}
	}
	name := func(suffix string) string { return fmt.Sprintf("configEverywhere%d%s", processes, suffix) }
	return []sample{
		{name("P50"), milliseconds(durationQuantile(platformUp, p50)), "ms"},
		{name("P99"), milliseconds(durationQuantile(platformUp, p99)), "ms"},
		{name("PlatformDownP50"), milliseconds(durationQuantile(platformDown, p50)), "ms"},
		{name("PlatformDownP99"), milliseconds(durationQuantile(platformDown, p99)), "ms"},
	}
}

// timeToLastAdoption returns the time from the acceptance of the change until the last process adopted it.
func (c change) timeToLastAdoption(adopted map[string][]adoption) time.Duration {
	var last time.Duration
	for _, adoptions := range adopted {
		last = max(last, c.timeToAdoption(adoptions))
	}
	return last
}

// timeToAdoption returns the time from the acceptance of the change until a process adopted its revision or a later
// one.
func (c change) timeToAdoption(adoptions []adoption) time.Duration {
	for _, a := range adoptions {
		if a.revision >= c.revision {
			return max(0, a.at.Sub(c.accepted))
		}
	}
	return notAdopted
}
