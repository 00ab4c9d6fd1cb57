// Package soaker runs real gateways as separate processes under overlapping random faults and checks, from what clients
// and upstreams see, that they keep their promises.
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"currantledge.example/currantledge/internal/prover/interposer"
	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/standin/storeserver"
)

const (
	gateways  = 3
	upstreams = 4
	clients   = 12
	// faultTime is how long faults are injected; healTime is the bound for serving again after them.
	faultTime = 8 * time.Second
	healTime  = 12 * time.Second

	customerName  = "customer"
	customerKey   = "key"
	hostName      = "soak.example"
	oncePrefix    = "/once/"
	repeatPrefix  = "/repeat/"
	streamPrefix  = "/stream/"
	changedPrefix = "/changed/"
)

// Config sets up a soak.
type Config struct {
	Binaries launcher.Binaries
	// Seeds are played side by side, Parallel at a time.
	Seeds    []uint64
	Parallel int
	Output   io.Writer
	// Keep keeps the folders with settings and logs of all seeds; those of failed seeds are always kept.
	Keep bool
}

// Run plays the seeds and fails if one of them broke a promise.
func Run(ctx context.Context, cfg Config) error {
	var mu sync.Mutex
	total := tally{}
	failed := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(cfg.Parallel, 1))
	for _, seed := range cfg.Seeds {
		group.Go(func() error {
			result, err := play(ctx, cfg, seed)
			if err != nil {
				return errors.Wrapf(err, "seed %d", seed)
			}
			mu.Lock()
			defer mu.Unlock()
			total.add(result)
			if len(result.broken) > 0 {
				failed++
				fmt.Fprintf(cfg.Output, "seed %d broke: %s (logs: %s)\n", seed, strings.Join(result.broken, "; "), result.folder)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(cfg.Output, "soak: seeds=%d promises=%d broken=%d cut=%d duplicated=%d sent=%d served=%d\n",
		len(cfg.Seeds), total.checks, len(total.broken), total.cut, total.duplicated, total.sent, total.served)
	if failed > 0 {
		return errors.Newf("%d of %d seeds broke a promise", failed, len(cfg.Seeds))
	}
	return nil
}

// world is the deployment of one seed.
type world struct {
	launcher *launcher.Launcher
	store    *storeserver.Server
	ledger   *ledger
	random   *rand.Rand
	nodes    []*node
	// ways lead to the upstreams, doors from each gateway to the store.
	ways  []*interposer.Proxy
	doors []*interposer.Proxy
}

// node is one gateway.
type node struct {
	spec    launcher.Spec
	callers string
	ready   string
	mu      sync.Mutex
	process *launcher.Process
}

func (n *node) running() *launcher.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

func play(ctx context.Context, cfg Config, seed uint64) (tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return tally{}, errors.Wrap(err, "make a folder")
	}
	l, err := launcher.New(launcher.Config{Folder: folder})
	if err != nil {
		return tally{}, err
	}
	defer l.Close()
	w := &world{
		launcher: l, store: storeserver.New(), ledger: &ledger{runs: map[string]int{}},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	defer w.close()
	if err := w.build(ctx, cfg.Binaries.Product, seed); err != nil {
		return tally{}, err
	}
	result, err := w.soak(ctx)
	result.folder = folder
	if err == nil && len(result.broken) == 0 && !cfg.Keep {
		l.Close()
		_ = os.RemoveAll(folder)
	}
	return result, err
}

func (w *world) close() {
	for _, p := range append(w.ways, w.doors...) {
		p.Close()
	}
}

// build starts the stand-ins, the proxies and the gateways.
func (w *world) build(ctx context.Context, product string, seed uint64) error {
	storeAddress, err := w.standIn(ctx, w.store)
	if err != nil {
		return err
	}
	w.configure(1, repeatPrefix, oncePrefix, streamPrefix)
	for i := range upstreams {
		name := fmt.Sprintf("i-%d", i)
		address, err := w.standIn(ctx, &upstream{name: name, ledger: w.ledger})
		if err != nil {
			return err
		}
		way, err := interposer.New(interposer.Config{Network: interposer.TCP, Target: address, Seed: seed})
		if err != nil {
			return err
		}
		w.ways = append(w.ways, way)
		w.enter(i, "ready")
	}
	port := 0
	for i := range gateways {
		door, err := interposer.New(interposer.Config{Network: interposer.TCP, Target: storeAddress, Seed: seed})
		if err != nil {
			return err
		}
		w.doors = append(w.doors, door)
		if err := w.prepare(i, product, door.Address(), &port); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.start(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// enter writes the entry of an upstream.
func (w *world) enter(i int, state string) {
	w.store.Put("servers", fmt.Sprintf("i-%d", i),
		fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","slots":16,"state":%q}`, w.ways[i].Address(), state))
}

func (w *world) standIn(ctx context.Context, handler http.Handler) (string, error) {
	host, err := w.launcher.AllocateHost()
	if err != nil {
		return "", err
	}
	address, err := w.launcher.AllocateAddress(host)
	if err != nil {
		return "", err
	}
	return address, errors.Wrap(serve(ctx, address, handler), "start a stand-in")
}

// configure writes a configuration with the given routes.
func (w *world) configure(version int, prefixes ...string) {
	kinds := map[string]string{
		repeatPrefix: `"kind":"idempotent","attempts":2`, oncePrefix: `"kind":"non_idempotent","attempts":1`,
		streamPrefix: `"kind":"streaming","resumable":true,"attempts":3`, changedPrefix: `"kind":"idempotent","attempts":2`,
	}
	var routes []string
	for _, p := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"timeoutMs":5000,"sloMs":300,"service":"s",%s}`, p, hostName, p, kinds[p]))
	}
	w.store.Put("op", "config", fmt.Sprintf(
		`{"version":%d,"routes":[%s],"services":[{"name":"s"}],"limits":{"maxBodyBytes":100000},"tenants":[{"name":%q,"apiKeys":[%q]}]}`,
		version, strings.Join(routes, ","), customerName, customerKey))
}

// prepare writes the settings of a gateway. All gateways exchange datagrams on the same port of their own hosts.
func (w *world) prepare(i int, product, store string, port *int) error {
	host, err := w.launcher.AllocateHost()
	if err != nil {
		return err
	}
	var addresses [4]string
	for k := range addresses {
		if addresses[k], err = w.launcher.AllocateAddress(host); err != nil {
			return err
		}
	}
	if *port == 0 {
		if _, err := fmt.Sscanf(addresses[3][strings.LastIndexByte(addresses[3], ':')+1:], "%d", port); err != nil {
			return errors.Wrap(err, "read a port")
		}
	}
	seeds := ""
	if len(w.nodes) > 0 {
		first, _, err := net.SplitHostPort(w.nodes[0].callers)
		if err != nil {
			return errors.Wrap(err, "read an address")
		}
		seeds = first + ":1"
	}
	path := filepath.Join(w.launcher.Folder(), fmt.Sprintf("gateway-%d.conf", i))
	text := fmt.Sprintf("nodeName=gateway-%d\nzone=a\nip=%s\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\ninternalPorts=%d,%d\n"+
		"seeds=%s\nprovider.address=%s\nbounds.budgetRatio=0.2\nbounds.extraRetries=300\nbounds.budgetWindowS=10\n"+
		"bounds.coldOver=1.5\nbounds.coldSlack=5\nbounds.graceS=8\n",
		i, host, addresses[0], addresses[1], addresses[2], *port, *port, seeds, store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	w.nodes = append(w.nodes, &node{
		callers: addresses[0], ready: addresses[1],
		spec: launcher.Spec{Name: fmt.Sprintf("gateway-%d", i), Path: product, Args: []string{"gateway", "--settings", path}},
	})
	return nil
}

func (w *world) start(ctx context.Context, n *node) error {
	p, err := w.launcher.Start(ctx, n.spec)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = p
	return nil
}
