package launcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/interposer"
	"currantledge.example/currantledge/internal/prover/launcher"
)

// runDeploymentRole makes the test binary act as the binary of a deployment that the arguments select.
func runDeploymentRole(args []string) {
	switch args[0] {
	case "keygen":
		makeTestKeys(args[1:])
	case "entry", "agent":
		serveSettings(args[2])
	default:
		serveAll(args[2])
	}
}

func makeTestKeys(args []string) {
	folder := args[1]
	must(os.MkdirAll(folder, 0o700))
	for i := 3; i < len(args); i += 2 {
		node, _, _ := strings.Cut(args[i], ":")
		must(os.WriteFile(filepath.Join(folder, node+".pem"), nil, 0o600))
	}
}

func serveSettings(path string) {
	raw, err := os.ReadFile(path)
	must(err)
	settings := struct {
		Keys                        struct{ Certificate string }
		Callers, Operators, Metrics string
	}{}
	must(json.Unmarshal(raw, &settings))
	_, err = os.Stat(settings.Keys.Certificate)
	must(err)
	var addresses []string
	for _, address := range []string{settings.Callers, settings.Operators, settings.Metrics} {
		if address != "" {
			addresses = append(addresses, address)
		}
	}
	serveAll(addresses...)
}

// serveAll records POST and PUT requests and returns their paths and bodies at /seen. It refuses the customer
// "impossible" and PUT requests without a bearer key.
func serveAll(addresses ...string) {
	var mu sync.Mutex
	var received []string
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.URL.Path == "/seen":
			_ = json.NewEncoder(w).Encode(received)
		case r.URL.Path == "/api/v1/customers/impossible":
			http.Error(w, "share must be positive", http.StatusUnprocessableEntity)
		case r.Method == http.MethodPost:
			received = append(received, r.URL.Path+" "+string(body))
		case r.Method == http.MethodPut && r.Header.Get("Authorization") == "":
			w.WriteHeader(http.StatusUnauthorized)
		case r.Method == http.MethodPut:
			received = append(received, r.URL.Path+" "+string(body))
		}
	})
	for _, address := range addresses {
		go func() { must(http.ListenAndServe(address, handler)) }()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	<-stop
}

func must(err error) {
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

func smallPlan() launcher.Plan {
	return launcher.Plan{
		Region:         "region",
		FailureDomains: []string{"a", "b"},
		Entries:        2,
		Groups:         []launcher.GroupPlan{{Name: "group", Model: "model", Ranks: 2, Experts: 4, Limits: launcher.Limits{Cold: 1, Warm: 2, WarmAfter: 3}}},
		Services:       []launcher.ServicePlan{{Name: "shop", Runners: 1, Limits: launcher.Limits{Cold: 1, Warm: 2, WarmAfter: 3}}},
		Customers:      []launcher.CustomerPlan{{Name: "customer", Share: 1, Key: "secret", MaxWaiting: 5}},
	}
}

func deploy(t *testing.T, plan launcher.Plan) (*launcher.Launcher, *launcher.Deployment) {
	t.Helper()
	t.Setenv(roleVariable, "deployment")
	l := newLauncher(t)
	binaries := launcher.Binaries{Product: os.Args[0], Standin: os.Args[0]}
	d, err := launcher.Deploy(testContext(t), l, binaries, plan)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return l, d
}

func appliedResources(t *testing.T, e *launcher.Entry) []string {
	t.Helper()
	return receivedAt(t, e.OperatorURL())
}

func receivedAt(t *testing.T, base string) []string {
	t.Helper()
	response, err := http.Get(base + "/seen")
	require.NoError(t, err)
	defer response.Body.Close()
	var received []string
	require.NoError(t, json.NewDecoder(response.Body).Decode(&received))
	return received
}

// Guards against a deployment with missing processes, and against resources that are applied before those that they
// refer to.
func TestDeployStartsProcessesAndAppliesResources(t *testing.T) {
	l, d := deploy(t, smallPlan())
	require.Len(t, l.Running(), 1+2+2*3)
	var kinds []string
	for _, line := range appliedResources(t, d.Entries[0]) {
		path, body, _ := strings.Cut(line, " ")
		kinds = append(kinds, strings.Split(path, "/")[3])
		require.NotContains(t, body, "secret", "a resource contains a customer's key")
	}
	require.Equal(t, []string{"failureDomains", "failureDomains", "modelGroups", "services", "upstreams", "upstreams", "upstreams", "customers"}, kinds)
	require.NoError(t, d.Stop(testContext(t)))
	require.Empty(t, l.Running())
}

// Guards against a proxy that carries no traffic, and against proxies on links that the plan does not select.
func TestDeployInterposesSelectedLinks(t *testing.T) {
	selected := map[launcher.Link]bool{
		{Kind: launcher.LinkToEntry, Node: "entry-1"}:             true,
		{Kind: launcher.LinkToAgent, Node: "agent-group-00"}:      true,
		{Kind: launcher.LinkToPlatform, Node: "entry-2"}:          true,
		{Kind: launcher.LinkToUpstream, Node: "agent-shop-1"}:     true,
		{Kind: launcher.LinkToUpstream, Node: "agent-of-no-plan"}: false,
	}
	plan := smallPlan()
	plan.Interpose = func(link launcher.Link) bool { return selected[link] }
	_, d := deploy(t, plan)

	entry, agent, shop := d.Entries[0], d.Agents[0], d.Agents[2]
	require.NotEqual(t, entry.FleetAddress, entry.AdvertisedAddress)
	require.Equal(t, d.Proxy(launcher.Link{Kind: launcher.LinkToEntry, Node: "entry-1"}).Address(), entry.AdvertisedAddress)
	require.Equal(t, agent.AdvertisedAddress, agent.Upstream.Address)
	require.Equal(t, d.Entries[1].FleetAddress, d.Entries[1].AdvertisedAddress)
	require.Equal(t, d.Platform.URL(), entry.PlatformURL)
	require.NotEqual(t, d.Platform.URL(), d.Entries[1].PlatformURL)

	require.True(t, responds(strings.TrimPrefix(shop.UpstreamURL, "http://"), responseTimeout))
	proxy := d.Proxy(launcher.Link{Kind: launcher.LinkToUpstream, Node: "agent-shop-1"})
	proxy.Set(interposer.Cut())
	require.False(t, responds(strings.TrimPrefix(shop.UpstreamURL, "http://"), noResponseTimeout))
	require.True(t, responds(shop.Standin.Address, responseTimeout))
	require.Nil(t, d.Proxy(launcher.Link{Kind: launcher.LinkToUpstream, Node: "agent-group-00"}))
}

// Guards against a refused change that is reported as accepted, and against changes that are sent to a stopped entry.
func TestApplyReportsRefusalsAndSkipsStoppedEntries(t *testing.T) {
	_, d := deploy(t, smallPlan())
	err := d.Apply(testContext(t), "customers", "impossible", launcher.Customer{})
	require.ErrorContains(t, err, "share must be positive")

	d.Entries[0].Process.Kill()
	require.NoError(t, d.SetFailureDomainState(testContext(t), "a", launcher.StateOut))
	require.NoError(t, d.SetUpstreamState(testContext(t), d.Agents[0], launcher.StateLeaving))
	received := appliedResources(t, d.Entries[1])
	require.Equal(t, `/api/v1/failureDomains/a {"name":"a","region":"region","state":"out"}`, received[0])
	require.Contains(t, received[1], `"state":"leaving"`)

	require.NoError(t, d.Restart(testContext(t), &d.Entries[0].Process))
	require.True(t, responds(d.Entries[0].CallerAddress, responseTimeout))
}

// Guards against a VM list without some of the live nodes, or with absent ones.
func TestSetVMList(t *testing.T) {
	_, d := deploy(t, smallPlan())
	require.NoError(t, d.SetVMList(testContext(t), map[string]bool{"entry-1": true}, map[string]bool{"entry-2": true}))
	received := receivedAt(t, d.Platform.URL())
	require.Len(t, received, 2)
	require.Equal(t, 5, strings.Count(received[0], `"state":"live"`))
	require.NotContains(t, received[1], "entry-1")
	require.Contains(t, received[1], `"name":"entry-2","address":"`+d.Entries[1].FleetAddress+`","failureDomain":"b","state":"leaving"`)
	require.Error(t, d.Control(testContext(t), launcher.Standin{Address: "127.0.0.1:1"}, "/fault", nil))
}

// Guards against a plan with wrong sizes, and against nodes that are not spread over the failure domains.
func TestPlanOfKeCentral(t *testing.T) {
	plan := launcher.KeCentral()
	require.Equal(t, 7, plan.Entries)
	require.Equal(t, 16, plan.Groups[0].Ranks)
	require.Equal(t, 3, plan.Services[0].Runners)
	require.Len(t, plan.Customers, 10)

	_, d := deploy(t, smallPlan())
	entries, agents := d.NodesIn("a")
	require.Len(t, entries, 1)
	require.Len(t, agents, 2)
}

// Guards against processes that are left running when a deployment fails to start, and against an error without the
// reason.
func TestDeployFailsWithTheReason(t *testing.T) {
	l := newLauncher(t)
	_, err := launcher.Deploy(context.Background(), l, launcher.Binaries{Product: "/bin/false", Standin: "/bin/false"}, smallPlan())
	require.ErrorContains(t, err, "keygen")
	require.Empty(t, l.Running())
}
