// Package soaker runs soak tests: it starts real gateways as separate processes, injects overlapping random faults, and
// checks the gateways' guarantees against what clients received and upstreams executed.
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
	"slices"
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
	gatewayCount  = 3
	upstreamCount = 4
	upstreamSlots = 16
	clientCount   = 12
	// faultDuration is the time during which new faults start.
	faultDuration = 8 * time.Second
	// recoveryTimeout is the longest time after the faults until all gateways serve the newest configuration.
	recoveryTimeout = 12 * time.Second

	customerName = "customer"
	customerKey  = "key"
	hostName     = "soak.example"
	// The path prefixes of the routes: oncePrefix is that of the non-idempotent requests, repeatPrefix and changedPrefix
	// those of idempotent ones, streamPrefix that of resumable streams. Only the configuration that checkRecovery writes
	// has a route for changedPrefix.
	oncePrefix    = "/once/"
	repeatPrefix  = "/repeat/"
	streamPrefix  = "/stream/"
	changedPrefix = "/changed/"
)

// Config configures a soak test.
type Config struct {
	Binaries launcher.Binaries
	// Seeds are the seeds of the random faults. Each has its own deployment; at most Parallel of them run at the same time.
	Seeds    []uint64
	Parallel int
	Output   io.Writer
	// Keep preserves the folders with settings and logs of all seeds. Those of failed seeds are always preserved.
	Keep bool
}

// Run runs all seeds and prints the violations and a summary. It returns an error if a seed violated a guarantee.
func Run(ctx context.Context, cfg Config) error {
	var mu sync.Mutex
	total := results{}
	failed := 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(cfg.Parallel, 1))
	for _, seed := range cfg.Seeds {
		group.Go(func() error {
			result, err := runSeed(ctx, cfg, seed)
			if err != nil {
				return errors.Wrapf(err, "seed %d", seed)
			}
			mu.Lock()
			defer mu.Unlock()
			total.add(result)
			if len(result.violations) > 0 {
				failed++
				fmt.Fprintf(cfg.Output, "seed %d broke: %s (logs: %s)\n", seed, strings.Join(result.violations, "; "), result.folder)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(cfg.Output, "soak: seeds=%d promises=%d broken=%d cut=%d duplicated=%d sent=%d served=%d\n",
		len(cfg.Seeds), total.checks, len(total.violations), total.cut, total.duplicated, total.sent, total.served)
	if failed > 0 {
		return errors.Newf("%d of %d seeds violated a guarantee", failed, len(cfg.Seeds))
	}
	return nil
}

// deployment holds the stand-ins, proxies and gateways of one seed.
type deployment struct {
	launcher   *launcher.Launcher
	store      *storeserver.Server
	executions *executionLog
	// random draws the faults.
	random   *rand.Rand
	gateways []*gateway
	// groups are the groups of the service of streams, and ranks their ranks.
	groups []*engineGroup
	ranks  []*upstream
	// upstreamProxies holds one proxy for each upstream of the plain service, rankProxies one for each rank, storeProxies one for the calls of each gateway to the store.
	upstreamProxies []*interposer.Proxy
	rankProxies     []*interposer.Proxy
	storeProxies    []*interposer.Proxy
}

// gateway is a gateway of a deployment. A restart replaces its process.
type gateway struct {
	spec         launcher.Spec
	address      string
	readyAddress string
	mu           sync.Mutex
	process      *launcher.Process
}

func (g *gateway) currentProcess() *launcher.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process
}

// runSeed runs the clients and faults of a seed on a new deployment. It removes the folder with settings and logs unless
// a guarantee was violated, an error occurred or cfg.Keep is set.
func runSeed(ctx context.Context, cfg Config, seed uint64) (results, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return results{}, errors.Wrap(err, "create folder")
	}
	l, err := launcher.New(launcher.Config{Folder: folder})
	if err != nil {
		return results{}, err
	}
	defer l.Close()
	d := &deployment{
		launcher: l, store: storeserver.New(), executions: &executionLog{runs: map[string]int{}},
		random: rand.New(rand.NewPCG(seed, 0)),
	}
	defer d.close()
	if err := d.start(ctx, cfg.Binaries.Product, seed); err != nil {
		return results{}, err
	}
	result, err := d.run(ctx)
	result.folder = folder
	if err == nil && len(result.violations) == 0 && !cfg.Keep {
		l.Close()
		_ = os.RemoveAll(folder)
	}
	return result, err
}

func (d *deployment) close() {
	for _, p := range slices.Concat(d.upstreamProxies, d.rankProxies, d.storeProxies) {
		p.Close()
	}
}

// start starts the stand-ins, the proxies and the gateways.
func (d *deployment) start(ctx context.Context, product string, seed uint64) error {
	storeAddress, err := d.startStandin(ctx, d.store)
	if err != nil {
		return err
	}
	d.writeConfiguration(1, repeatPrefix, oncePrefix, streamPrefix)
	for i := range upstreamCount {
		proxy, err := d.startUpstream(ctx, &upstream{name: fmt.Sprintf("i-%d", i), executions: d.executions}, seed)
		if err != nil {
			return err
		}
		d.upstreamProxies = append(d.upstreamProxies, proxy)
		d.setUpstreamState(i, "ready")
	}
	if err := d.startGroups(ctx, seed); err != nil {
		return err
	}
	internalPort := 0
	for i := range gatewayCount {
		proxy, err := interposer.New(interposer.Config{Network: interposer.TCP, Target: storeAddress, Seed: seed})
		if err != nil {
			return err
		}
		d.storeProxies = append(d.storeProxies, proxy)
		if err := d.addGateway(i, product, proxy.Address(), &internalPort); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := d.startGateway(ctx, g); err != nil {
			return err
		}
	}
	return nil
}

// startUpstream starts an upstream behind a proxy.
func (d *deployment) startUpstream(ctx context.Context, u *upstream, seed uint64) (*interposer.Proxy, error) {
	address, err := d.startStandin(ctx, u)
	if err != nil {
		return nil, err
	}
	proxy, err := interposer.New(interposer.Config{Network: interposer.TCP, Target: address, Seed: seed})
	if err != nil {
		return nil, err
	}
	u.address = proxy.Address()
	return proxy, nil
}

// startGroups starts the groups of the service of streams.
func (d *deployment) startGroups(ctx context.Context, seed uint64) error {
	for i := range groupCount {
		g := newEngineGroup(fmt.Sprintf("g-%d", i), seed+uint64(i))
		d.groups = append(d.groups, g)
		go g.run(ctx)
		for rank := range rankCount {
			u := &upstream{name: fmt.Sprintf("%s-rank-%d", g.name, rank), executions: d.executions, group: g, rank: rank}
			proxy, err := d.startUpstream(ctx, u, seed)
			if err != nil {
				return err
			}
			d.rankProxies, d.ranks = append(d.rankProxies, proxy), append(d.ranks, u)
			d.listRank(u)
		}
	}
	return nil
}

// listRank writes the row of a rank to the store.
func (d *deployment) listRank(u *upstream) {
	d.store.Put("servers", u.currentName(),
		fmt.Sprintf(`{"service":"m","address":%q,"zone":"a","slots":%d,"state":"ready"}`, u.address, upstreamSlots))
}

// setUpstreamState writes the row of an upstream to the store.
func (d *deployment) setUpstreamState(i int, state string) {
	d.store.Put("servers", fmt.Sprintf("i-%d", i),
		fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","slots":%d,"state":%q}`, d.upstreamProxies[i].Address(), upstreamSlots, state))
}

// startStandin serves a stand-in at a loopback host of its own and returns its address.
func (d *deployment) startStandin(ctx context.Context, handler http.Handler) (string, error) {
	host, err := d.launcher.AllocateHost()
	if err != nil {
		return "", err
	}
	address, err := d.launcher.AllocateAddress(host)
	if err != nil {
		return "", err
	}
	return address, errors.Wrap(serve(ctx, address, handler), "start a stand-in")
}

// writeConfiguration writes a configuration to the store whose routes have the given path prefixes.
func (d *deployment) writeConfiguration(version int, prefixes ...string) {
	kindOf := map[string]string{
		repeatPrefix: `"kind":"idempotent","attempts":2`, oncePrefix: `"kind":"non_idempotent","attempts":1`,
		streamPrefix: `"kind":"streaming","resumable":true,"attempts":3`, changedPrefix: `"kind":"idempotent","attempts":2`,
	}
	var routes []string
	for _, p := range prefixes {
		service := "s"
		if p == streamPrefix {
			service = "m"
		}
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"timeoutMs":5000,"sloMs":300,"service":%q,%s}`, p, hostName, p, service, kindOf[p]))
	}
	engine := fmt.Sprintf(`{"sets":%d,"experts":%d,"places":%d,"spare":%d}`, expertSets, experts, experts, experts/2)
	d.store.Put("op", "config", fmt.Sprintf(
		`{"version":%d,"routes":[%s],"services":[{"name":"s"},{"name":"m","engine":%s}],"limits":{"maxBodyBytes":100000},"tenants":[{"name":%q,"apiKeys":[%q]}]}`,
		version, strings.Join(routes, ","), engine, customerName, customerKey))
}

// addGateway writes the settings of a gateway and adds it to the deployment. All gateways exchange datagrams on the
// same port of their own hosts, which the first call stores in internalPort.
func (d *deployment) addGateway(i int, product, store string, internalPort *int) error {
	host, err := d.launcher.AllocateHost()
	if err != nil {
		return err
	}
	// The addresses of the front, ready, control and internal listeners, in this order.
	var addresses [4]string
	for k := range addresses {
		if addresses[k], err = d.launcher.AllocateAddress(host); err != nil {
			return err
		}
	}
	if *internalPort == 0 {
		if _, err := fmt.Sscanf(addresses[3][strings.LastIndexByte(addresses[3], ':')+1:], "%d", internalPort); err != nil {
			return errors.Wrap(err, "parse port")
		}
	}
	seedPeer := ""
	if len(d.gateways) > 0 {
		firstHost, _, err := net.SplitHostPort(d.gateways[0].address)
		if err != nil {
			return errors.Wrap(err, "parse address")
		}
		// Gateways ignore the port of a seed.
		seedPeer = firstHost + ":1"
	}
	path := filepath.Join(d.launcher.Folder(), fmt.Sprintf("gateway-%d.conf", i))
	text := fmt.Sprintf("nodeName=gateway-%d\nzone=a\nip=%s\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\ninternalPorts=%d,%d\n"+
		"seeds=%s\nprovider.address=%s\nbounds.budgetRatio=0.2\nbounds.extraRetries=300\nbounds.budgetWindowS=10\n"+
		"bounds.coldOver=1.5\nbounds.coldSlack=5\nbounds.graceS=8\n",
		i, host, addresses[0], addresses[1], addresses[2], *internalPort, *internalPort, seedPeer, store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write gateway settings")
	}
	d.gateways = append(d.gateways, &gateway{
		address: addresses[0], readyAddress: addresses[1],
		spec: launcher.Spec{Name: fmt.Sprintf("gateway-%d", i), Path: product, Args: []string{"gateway", "--settings", path}},
	})
	return nil
}

func (d *deployment) startGateway(ctx context.Context, g *gateway) error {
	p, err := d.launcher.Start(ctx, g.spec)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = p
	return nil
}
