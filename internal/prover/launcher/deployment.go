package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"currantledge.example/currantledge/internal/prover/interposer"
)

const (
	proxyAttempts = 5
	// parallelStarts is the most processes that start at the same time. A starting process briefly uses a full core.
	parallelStarts = 8
	// seedEntries is the number of entries whose addresses are listed as peers in the settings of a node.
	seedEntries    = 3
	operatorKey    = "operator-key"
	requestTimeout = 10 * time.Second
	revisionHeader = "Currantledge-Revision"
)

// Node is an entry or an agent of a deployment.
type Node struct {
	Name          string
	FailureDomain string
	// FleetAddress is the listen address for links and gossip. AdvertisedAddress is the address that peers dial, which
	// may be that of a proxy.
	FleetAddress      string
	AdvertisedAddress string
	// PlatformURL is the base URL at which the node calls the platform, which may be that of a proxy.
	PlatformURL string
	// Process is the process that was started last. Restart replaces it.
	Process *Process

	host     string
	settings string
}

// Entry is an entry of a deployment.
type Entry struct {
	Node
	CallerAddress   string
	OperatorAddress string
}

// CallerURL returns the base URL for callers.
func (e *Entry) CallerURL() string {
	return "http://" + e.CallerAddress
}

// OperatorURL returns the base URL for operators.
func (e *Entry) OperatorURL() string {
	return "http://" + e.OperatorAddress
}

// Agent is an agent of a deployment with its upstream.
type Agent struct {
	Node
	MetricsAddress string
	Upstream       Upstream
	Standin        Standin
	// UpstreamURL is the base URL at which the agent calls its upstream, which may be that of a proxy.
	UpstreamURL string
	kind        string
	args        []string
}

// Standin is a stand-in for the platform or an upstream.
type Standin struct {
	Name    string
	Address string
	Process *Process
}

// URL returns the base URL of the stand-in.
func (s *Standin) URL() string {
	return "http://" + s.Address
}

// Deployment is a set of running nodes with stand-ins for the platform and the upstreams.
type Deployment struct {
	Plan     Plan
	Platform Standin
	Entries  []*Entry
	Agents   []*Agent

	launcher *Launcher
	binaries Binaries
	proxies  map[Link]*interposer.Proxy
	client   *http.Client
}

// Deploy starts a deployment and returns when all its nodes are ready. Closing the launcher ends the processes; Close
// ends the proxies.
func Deploy(ctx context.Context, l *Launcher, binaries Binaries, plan Plan) (*Deployment, error) {
	plan.setDefaults()
	d := &Deployment{
		Plan:     plan,
		launcher: l,
		binaries: binaries,
		proxies:  map[Link]*interposer.Proxy{},
		client:   &http.Client{Timeout: requestTimeout},
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.addProcesses,
		d.makeKeys,
		d.startPlatform,
		d.startStandins,
		d.startNodes,
		d.applyResources,
		d.awaitNodes,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addProcesses adds all processes of the plan to the deployment, allocates their addresses and starts the proxies.
func (d *Deployment) addProcesses(context.Context) error {
	if err := d.addPlatform(); err != nil {
		return err
	}
	for i := range d.Plan.Entries {
		if err := d.addEntry(i); err != nil {
			return err
		}
	}
	for _, g := range d.Plan.Groups {
		if err := d.addGroup(g); err != nil {
			return err
		}
	}
	for _, s := range d.Plan.Services {
		for runner := range s.Runners {
			if err := d.addServiceRunner(s, runner); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) addPlatform() error {
	host, err := d.launcher.AllocateHost()
	if err != nil {
		return err
	}
	d.Platform.Name = "platform"
	d.Platform.Address, err = d.launcher.AllocateAddress(host)
	return err
}

func (d *Deployment) addEntry(index int) error {
	e := &Entry{Node: Node{Name: fmt.Sprintf("entry-%d", index+1), FailureDomain: d.Plan.domain(index)}}
	if err := d.addNode(&e.Node, LinkToEntry); err != nil {
		return err
	}
	if err := d.allocate(e.host, &e.CallerAddress, &e.OperatorAddress); err != nil {
		return err
	}
	d.Entries = append(d.Entries, e)
	return nil
}

func (d *Deployment) addGroup(g GroupPlan) error {
	coordinator := ""
	for rank := range g.Ranks {
		a := rankAgent(g, rank)
		if err := d.addAgent(a, g.Limits); err != nil {
			return err
		}
		if g.LockStep && rank == 0 {
			if err := d.allocate(a.host, &coordinator); err != nil {
				return err
			}
		}
		if g.LockStep {
			a.args = append(a.args, lockStepArgs(g, rank, coordinator, d.Plan.Seed)...)
		}
		a.args = append(a.args, d.Plan.EngineArgs...)
	}
	return nil
}

func rankAgent(g GroupPlan, rank int) *Agent {
	a := &Agent{
		Upstream: Upstream{
			Name:        fmt.Sprintf("%s-%02d", g.Name, rank),
			ModelGroup:  g.Name,
			Rank:        &rank,
			ChecksFence: g.ChecksFence(rank),
		},
		kind: "engine",
		args: limitArgs(g.Limits),
	}
	if a.Upstream.ChecksFence {
		a.args = append(a.args, "--check-fence")
	}
	return a
}

func (d *Deployment) addServiceRunner(s ServicePlan, runner int) error {
	a := &Agent{
		Upstream: Upstream{Name: fmt.Sprintf("%s-%d", s.Name, runner+1), Service: s.Name},
		kind:     "service",
	}
	a.args = append(limitArgs(s.Limits), d.Plan.ServiceArgs...)
	return d.addAgent(a, s.Limits)
}

func (d *Deployment) addAgent(a *Agent, limits Limits) error {
	a.Name = "agent-" + a.Upstream.Name
	a.FailureDomain = d.Plan.domain(len(d.Agents))
	if err := d.addNode(&a.Node, LinkToAgent); err != nil {
		return err
	}
	a.Standin.Name = a.Upstream.Name
	if err := d.allocate(a.host, &a.MetricsAddress, &a.Standin.Address); err != nil {
		return err
	}
	upstream, err := d.interpose(Link{LinkToUpstream, a.Name}, interposer.TCP, a.host, a.Standin.Address)
	if err != nil {
		return err
	}
	a.UpstreamURL = "http://" + upstream
	a.Upstream.Address = a.AdvertisedAddress
	a.Upstream.FailureDomain = a.FailureDomain
	a.Upstream.ColdLimit = limits.Cold
	a.Upstream.WarmLimit = limits.Warm
	a.Upstream.WarmAfter = limits.WarmAfter
	a.Upstream.State = StateActive
	d.Agents = append(d.Agents, a)
	return nil
}

func (d *Deployment) addNode(n *Node, kind LinkKind) error {
	host, err := d.launcher.AllocateHost()
	if err != nil {
		return err
	}
	n.host = host
	if err := d.allocate(host, &n.FleetAddress); err != nil {
		return err
	}
	n.AdvertisedAddress, err = d.interpose(Link{kind, n.Name}, interposer.UDP, host, n.FleetAddress)
	if err != nil {
		return err
	}
	platform, err := d.interpose(Link{LinkToPlatform, n.Name}, interposer.TCP, host, d.Platform.Address)
	n.PlatformURL = "http://" + platform
	return err
}

func (d *Deployment) allocate(host string, addresses ...*string) error {
	for _, address := range addresses {
		allocated, err := d.launcher.AllocateAddress(host)
		if err != nil {
			return err
		}
		*address = allocated
	}
	return nil
}

// interpose returns the address to dial for a link: that of the target, or of a proxy in front of it if the plan
// selects the link.
func (d *Deployment) interpose(link Link, network interposer.Network, host, target string) (string, error) {
	if !d.Plan.Interpose(link) {
		return target, nil
	}
	proxy, err := d.newProxy(network, host, target)
	if err != nil {
		return "", err
	}
	d.proxies[link] = proxy
	return proxy.Address(), nil
}

// newProxy starts a proxy and retries with another port if the allocated one is in use: a process that is being started
// briefly holds duplicates of the sockets with which the launcher tests ports.
func (d *Deployment) newProxy(network interposer.Network, host, target string) (*interposer.Proxy, error) {
	var lastErr error
	for range proxyAttempts {
		listen, err := d.launcher.AllocateAddress(host)
		if err != nil {
			return nil, err
		}
		proxy, err := interposer.New(interposer.Config{Network: network, Listen: listen, Target: target, Seed: d.Plan.Seed})
		if err == nil {
			return proxy, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func (d *Deployment) makeKeys(ctx context.Context) error {
	args := []string{"keygen", "--out", d.keyFolder()}
	for _, e := range d.Entries {
		args = append(args, "--node", e.Name+":entry")
	}
	for _, a := range d.Agents {
		args = append(args, "--node", a.Name+":agent")
	}
	_, err := d.launcher.Run(ctx, d.binaries.Product, args...)
	return err
}

func (d *Deployment) keyFolder() string {
	return filepath.Join(d.launcher.Folder(), "keys")
}

func (d *Deployment) keyFiles(node string) keyFiles {
	return keyFiles{
		Authority:   filepath.Join(d.keyFolder(), "authority.pem"),
		Certificate: filepath.Join(d.keyFolder(), node+".pem"),
		Key:         filepath.Join(d.keyFolder(), node+"-key.pem"),
	}
}

func (d *Deployment) startPlatform(ctx context.Context) error {
	if err := d.startStandin(ctx, &d.Platform, "platform", platformReadyPath, d.Plan.PlatformArgs); err != nil {
		return err
	}
	return d.SetVMList(ctx, nil, nil)
}

func (d *Deployment) startStandin(ctx context.Context, s *Standin, command, readyPath string, args []string) error {
	process, err := d.launcher.Start(ctx, Spec{
		Name:     "standin-" + s.Name,
		Path:     d.binaries.Standin,
		Args:     append([]string{command, "--listen", s.Address}, args...),
		ReadyURL: s.URL() + readyPath,
	})
	s.Process = process
	return err
}

func (d *Deployment) startStandins(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelStarts)
	for _, a := range d.Agents {
		path := engineReadyPath
		if a.kind == "service" {
			path = serviceReadyPath
		}
		group.Go(func() error { return d.startStandin(ctx, &a.Standin, a.kind, path, a.args) })
	}
	return group.Wait()
}

func (d *Deployment) startNodes(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelStarts)
	for _, e := range d.Entries {
		group.Go(func() error { return d.startEntry(ctx, e) })
	}
	for _, a := range d.Agents {
		group.Go(func() error { return d.startAgent(ctx, a) })
	}
	return group.Wait()
}

func (d *Deployment) startEntry(ctx context.Context, e *Entry) error {
	return d.startNode(ctx, &e.Node, "entry", "http://"+e.CallerAddress+"/livez", entrySettings{
		Node:               e.Name,
		FailureDomain:      e.FailureDomain,
		Callers:            e.CallerAddress,
		Operators:          e.OperatorAddress,
		Fleet:              e.FleetAddress,
		Advertise:          e.AdvertisedAddress,
		Peers:              d.seeds(e.Name),
		Platform:           e.PlatformURL,
		Keys:               d.keyFiles(e.Name),
		OperatorKeyDigests: []string{KeyDigest(operatorKey)},
		LogLevel:           d.Plan.LogLevel,
		Routing:            d.Plan.Routing,
	})
}

func (d *Deployment) startAgent(ctx context.Context, a *Agent) error {
	return d.startNode(ctx, &a.Node, "agent", "http://"+a.MetricsAddress+"/livez", agentSettings{
		Node:          a.Name,
		FailureDomain: a.FailureDomain,
		Upstream:      a.Upstream.Name,
		UpstreamURL:   a.UpstreamURL,
		UpstreamKind:  a.kind,
		Fleet:         a.FleetAddress,
		Advertise:     a.AdvertisedAddress,
		Peers:         d.seeds(a.Name),
		Platform:      a.PlatformURL,
		Keys:          d.keyFiles(a.Name),
		LogLevel:      d.Plan.LogLevel,
		Metrics:       a.MetricsAddress,
	})
}

func (d *Deployment) startNode(ctx context.Context, n *Node, command, readyURL string, settings any) error {
	n.settings = filepath.Join(d.launcher.Folder(), n.Name+".json")
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode the settings of %s", n.Name)
	}
	if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
		return errors.Wrapf(err, "write the settings of %s", n.Name)
	}
	n.Process, err = d.launcher.Start(ctx, Spec{
		Name:     n.Name,
		Path:     d.binaries.Product,
		Args:     []string{command, "--settings", n.settings},
		ReadyURL: readyURL,
	})
	return err
}

// seeds returns the addresses of up to seedEntries entries, without that of the node itself.
func (d *Deployment) seeds(node string) []string {
	seeds := []string{}
	for _, e := range d.Entries {
		if e.Name != node && len(seeds) < seedEntries {
			seeds = append(seeds, e.AdvertisedAddress)
		}
	}
	return seeds
}

// applyResources applies the resources of the plan. Each resource refers only to resources that are applied before it.
func (d *Deployment) applyResources(ctx context.Context) error {
	for _, name := range d.Plan.FailureDomains {
		if err := d.SetFailureDomainState(ctx, name, StateIn); err != nil {
			return err
		}
	}
	for _, g := range d.Plan.Groups {
		resource := ModelGroup{
			Name:           g.Name,
			Models:         []Model{{Name: g.Model, Version: modelVersion, Adapters: []string{}}},
			FailureDomains: d.Plan.FailureDomains,
			Ranks:          g.Ranks,
			Experts:        g.Experts,
			ExpertBytes:    g.ExpertBytes,
		}
		if err := d.Apply(ctx, "modelGroups", g.Name, resource); err != nil {
			return err
		}
	}
	for _, s := range d.Plan.Services {
		if err := d.Apply(ctx, "services", s.Name, Service{Name: s.Name, IdempotentPaths: s.IdempotentPaths}); err != nil {
			return err
		}
	}
	for _, a := range d.Agents {
		if err := d.Apply(ctx, "upstreams", a.Upstream.Name, a.Upstream); err != nil {
			return err
		}
	}
	return d.applyCustomers(ctx)
}

func (d *Deployment) applyCustomers(ctx context.Context) error {
	for _, c := range d.Plan.Customers {
		resource := Customer{Name: c.Name, Share: c.Share, KeyDigests: []string{KeyDigest(c.Key)}, MaxWaiting: c.MaxWaiting}
		if err := d.Apply(ctx, "customers", c.Name, resource); err != nil {
			return err
		}
	}
	return nil
}

// SetFailureDomainState applies a failure domain with a state, StateIn or StateOut.
func (d *Deployment) SetFailureDomainState(ctx context.Context, name, state string) error {
	return d.Apply(ctx, "failureDomains", name, FailureDomain{Name: name, Region: d.Plan.Region, State: state})
}

// SetUpstreamState applies the upstream of an agent with a state, StateActive or StateLeaving.
func (d *Deployment) SetUpstreamState(ctx context.Context, a *Agent, state string) error {
	a.Upstream.State = state
	return d.Apply(ctx, "upstreams", a.Upstream.Name, a.Upstream)
}

// Apply puts a resource through the first running entry.
func (d *Deployment) Apply(ctx context.Context, kind, name string, resource any) error {
	raw, err := json.Marshal(resource)
	if err != nil {
		return errors.Wrapf(err, "encode %s/%s", kind, name)
	}
	_, err = d.CallOperatorAPI(ctx, http.MethodPut, resourcePath(kind, name), raw)
	return err
}

// CallOperatorAPI sends a request to the operator API of the first running entry and returns the response body.
func (d *Deployment) CallOperatorAPI(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	for _, e := range d.Entries {
		if e.Process.Running() {
			return d.CallOperatorAPIAt(ctx, e, method, path, body)
		}
	}
	return nil, errors.New("no entry is running; start one")
}

// CallOperatorAPIAt sends a request to the operator API of an entry and returns the response body. A status of 400 or
// above is an error that contains the body.
func (d *Deployment) CallOperatorAPIAt(ctx context.Context, e *Entry, method, path string, body []byte) ([]byte, error) {
	_, responseBody, err := d.sendOperatorRequest(ctx, e, method, path, body, "")
	return responseBody, err
}

// ApplyAt puts a resource through an entry and returns the revision of the accepted change. Unless etag is empty, the
// change is accepted only if the resource has that ETag.
func (d *Deployment) ApplyAt(ctx context.Context, e *Entry, kind, name string, resource any, etag string) (uint64, error) {
	raw, err := json.Marshal(resource)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %s/%s", kind, name)
	}
	header, _, err := d.sendOperatorRequest(ctx, e, http.MethodPut, resourcePath(kind, name), raw, etag)
	if err != nil {
		return 0, err
	}
	revision, err := strconv.ParseUint(header.Get(revisionHeader), 10, 64)
	return revision, errors.Wrapf(err, "read the revision of %s/%s", kind, name)
}

// ETag returns the ETag that an entry reports for a resource.
func (d *Deployment) ETag(ctx context.Context, e *Entry, kind, name string) (string, error) {
	header, _, err := d.sendOperatorRequest(ctx, e, http.MethodGet, resourcePath(kind, name), nil, "")
	return header.Get("ETag"), err
}

func resourcePath(kind, name string) string {
	return "/api/v1/" + kind + "/" + url.PathEscape(name)
}

func (d *Deployment) sendOperatorRequest(ctx context.Context, e *Entry, method, path string, body []byte, etag string) (http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, e.OperatorURL()+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "%s %s", method, path)
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	request.Header.Set("Content-Type", "application/json")
	if etag != "" {
		request.Header.Set("If-Match", etag)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "%s %s at %s", method, path, e.Name)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "read the response to %s %s at %s", method, path, e.Name)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, nil, errors.Newf("%s %s at %s: %s: %s", method, path, e.Name, response.Status, responseBody)
	}
	return response.Header, responseBody, nil
}

// awaitNodes waits until every node reports that it is ready.
func (d *Deployment) awaitNodes(ctx context.Context) error {
	for _, e := range d.Entries {
		if err := e.Process.AwaitReady(ctx, e.CallerURL()+"/readyz"); err != nil {
			return err
		}
	}
	for _, a := range d.Agents {
		if err := a.Process.AwaitReady(ctx, "http://"+a.MetricsAddress+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Restart starts an ended process again with the same settings and addresses, and replaces *process by the new one.
func (d *Deployment) Restart(ctx context.Context, process **Process) error {
	started, err := d.launcher.Start(ctx, (*process).Spec())
	if err != nil {
		return err
	}
	*process = started
	return nil
}

// Proxy returns the proxy of a link, or nil if the plan does not select the link.
func (d *Deployment) Proxy(link Link) *interposer.Proxy {
	return d.proxies[link]
}

// Nodes returns the entries, followed by the agents.
func (d *Deployment) Nodes() []*Node {
	var nodes []*Node
	for _, e := range d.Entries {
		nodes = append(nodes, &e.Node)
	}
	for _, a := range d.Agents {
		nodes = append(nodes, &a.Node)
	}
	return nodes
}

// NodesIn returns the entries and agents of a failure domain.
func (d *Deployment) NodesIn(name string) ([]*Entry, []*Agent) {
	var entries []*Entry
	var agents []*Agent
	for _, e := range d.Entries {
		if e.FailureDomain == name {
			entries = append(entries, e)
		}
	}
	for _, a := range d.Agents {
		if a.FailureDomain == name {
			agents = append(agents, a)
		}
	}
	return entries, agents
}

// Stop shuts all processes down gracefully: first the entries, so that agents can finish their requests, then the
// agents and last the stand-ins.
func (d *Deployment) Stop(ctx context.Context) error {
	var entries, agents, standins []*Process
	for _, e := range d.Entries {
		entries = append(entries, e.Process)
	}
	for _, a := range d.Agents {
		agents = append(agents, a.Process)
		standins = append(standins, a.Standin.Process)
	}
	standins = append(standins, d.Platform.Process)
	var err error
	for _, set := range [][]*Process{entries, agents, standins} {
		err = errors.CombineErrors(err, stopAll(ctx, set))
	}
	return err
}

func stopAll(ctx context.Context, processes []*Process) error {
	group := errgroup.Group{}
	for _, p := range processes {
		if p != nil && p.Running() {
			group.Go(func() error { return p.Stop(ctx) })
		}
	}
	return group.Wait()
}

// Close ends the proxies. Closing the launcher ends the processes.
func (d *Deployment) Close() {
	for _, proxy := range d.proxies {
		proxy.Close()
	}
}
