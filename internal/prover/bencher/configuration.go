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
	changesInPeace = 10
	changesInDark  = 5
	// changePause separates changes, so that the news of one has mostly settled before the next.
	changePause  = 600 * time.Millisecond
	changeJitter = 400 * time.Millisecond
	darkPeriod   = 1500 * time.Millisecond
	// missed is the figure of a change that did not reach every process within the run.
	missed = 60 * time.Second
	p99    = 0.99
)

// fleetSizes are numbers of processes, half of them entries and half agents.
var fleetSizes = []int{8, 16, 32, 64}

func fleetPlan(processes int) launcher.Plan {
	plan := smallPlan()
	plan.Entries = processes / 2
	plan.Groups[0].Ranks = processes - plan.Entries
	return plan
}

// change is an accepted change of the configuration.
type change struct {
	revision identifier.Revision
	accepted time.Time
	dark     bool
}

// configuration measures the time from the acceptance of a change until it is in force at the last process.
func configuration(ctx context.Context, b *bench) error {
	for _, n := range fleetSizes {
		b.note("%d processes", n)
		runs, err := b.runChanges(ctx, n)
		if err != nil {
			return err
		}
		b.print(plain(medians(runs)))
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
		for i := range changesInPeace + changesInDark {
			revision++
			c, err := f.change(ctx, revision, i >= changesInPeace)
			if err != nil {
				return nil, errors.CombineErrors(err, f.close(ctx))
			}
			changes = append(changes, c)
			waiter.For(ctx, changePause+time.Duration(random.Int64N(int64(changeJitter))))
		}
		runs = append(runs, changes)
	}
	waiter.For(ctx, darkPeriod)
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

// firstRevision is the revision after Deploy, which applies each resource once.
func (f *fleet) firstRevision() identifier.Revision {
	p := f.Plan
	resources := len(p.FailureDomains) + len(p.Groups) + len(p.Services) + len(f.Agents) + len(p.Customers)
	return identifier.Revision(resources)
}

// change changes a customer. With dark set, the platform is down from right after the acceptance on.
func (f *fleet) change(ctx context.Context, revision identifier.Revision, dark bool) (change, error) {
	customer := f.Plan.Customers[0]
	resource := launcher.Customer{
		Name: customer.Name, Share: 1 + float64(revision), MaxWaiting: customer.MaxWaiting,
		KeyDigests: []string{launcher.KeyDigest(customer.Key)},
	}
	if err := f.Apply(ctx, "customers", customer.Name, resource); err != nil {
		return change{}, err
	}
	c := change{revision: revision, accepted: time.Now(), dark: dark}
	if !dark {
		return c, nil
	}
	if err := f.Control(ctx, f.Platform, "/fault", map[string]any{"outage": "refuse"}); err != nil {
		return c, err
	}
	waiter.For(ctx, darkPeriod)
	return c, f.Control(ctx, f.Platform, "/fault", map[string]any{})
}

// adoption is a revision that came into force at a process.
type adoption struct {
	revision identifier.Revision
	at       time.Time
}

// adoptions reads from the logs when each process brought which revision into force. The first entry accepts the
// changes itself and is left out.
func (f *fleet) adoptions() (map[string][]adoption, error) {
	adopted := map[string][]adoption{}
	for _, n := range f.Nodes() {
		if n.Name == f.Entries[0].Name {
			continue
		}
		adoptions, err := adoptionsIn(n.Process.Log())
		if err != nil {
			return nil, errors.Wrapf(err, "read the log of %s", n.Name)
		}
		adopted[n.Name] = adoptions
	}
	return adopted, nil
}

func adoptionsIn(log string) ([]adoption, error) {
	mark := fmt.Appendf(nil, `"event":%d,`, int(logger.EventConfigAdopted))
	var adoptions []adoption
	lines := bufio.NewScanner(strings.NewReader(log))
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), mark) {
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
	var peace, dark []time.Duration
	for _, c := range changes {
		if c.dark {
			dark = append(dark, c.everywhere(adopted))
		} else {
			peace = append(peace, c.everywhere(adopted))
		}
	}
	name := func(part string) string { return fmt.Sprintf("configEverywhere%d%s", processes, part) }
	return []sample{
		{name("P50"), milliseconds(durationQuantile(peace, p50)), "ms"},
		{name("P99"), milliseconds(durationQuantile(peace, p99)), "ms"},
		{name("PlatformDownP50"), milliseconds(durationQuantile(dark, p50)), "ms"},
		{name("PlatformDownP99"), milliseconds(durationQuantile(dark, p99)), "ms"},
	}
}

// everywhere returns the time from the acceptance until the last process had this revision or a later one in force.
func (c change) everywhere(adopted map[string][]adoption) time.Duration {
	var last time.Duration
	for _, adoptions := range adopted {
		last = max(last, c.inForce(adoptions))
	}
	return last
}

func (c change) inForce(adoptions []adoption) time.Duration {
	for _, a := range adoptions {
		if a.revision >= c.revision {
			return max(0, a.at.Sub(c.accepted))
		}
	}
	return missed
}
