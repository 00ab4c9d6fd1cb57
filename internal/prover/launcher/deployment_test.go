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

// actInDeployment makes the test binary act as any binary of a deployment.
func actInDeployment(args []string) {
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

// serveAll accepts everything and answers GET /seen with what operators sent.
func serveAll(addresses ...string) {
	var mu sync.Mutex
	var seen []string
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case r.URL.Path == "/seen":
			_ = json.NewEncoder(w).Encode(seen)
		case r.URL.Path == "/api/v1/customers/impossible":
			http.Error(w, "share must be positive", http.StatusUnprocessableEntity)
		case r.Method == http.MethodPost:
			seen = append(seen, r.URL.Path+" "+string(body))
		case r.Method == http.MethodPut && r.Header.Get("Authorization") == "":
			w.WriteHeader(http.StatusUnauthorized)
		case r.Method == http.MethodPut:
			seen = append(seen, r.URL.Path+" "+string(body))
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
	return seenAt(t, e.OperatorsURL())
}

func seenAt(t *testing.T, base string) []string {
	t.Helper()
	response, err := http.Get(base + "/seen")
	require.NoError(t, err)
	defer response.Body.Close()
	var seen []string
	require.NoError(t, json.NewDecoder(response.Body).Decode(&seen))
	return seen
}

// Guards against a deployment that lacks processes, and against resources in an order in which references fail.
func TestDeployStartsEverythingAndAppliesResources(t *testing.T) {
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

// Guards against a proxy that is made but not used, and against proxies on links that were not chosen.
func TestDeployInterposesChosenLinks(t *testing.T) {
	chosen := map[launcher.Link]bool{
		{Kind: launcher.LinkToEntry, Node: "entry-1"}:             true,
		{Kind: launcher.LinkToAgent, Node: "agent-group-00"}:      true,
		{Kind: launcher.LinkToPlatform, Node: "entry-2"}:          true,
		{Kind: launcher.LinkToUpstream, Node: "agent-shop-1"}:     true,
		{Kind: launcher.LinkToUpstream, Node: "agent-of-no-plan"}: false,
	}
	plan := smallPlan()
	plan.Interpose = func(link launcher.Link) bool { return chosen[link] }
	_, d := deploy(t, plan)

	entry, agent, shop := d.Entries[0], d.Agents[0], d.Agents[2]
	require.NotEqual(t, entry.Fleet, entry.Advertised)
	require.Equal(t, d.Proxy(launcher.Link{Kind: launcher.LinkToEntry, Node: "entry-1"}).Address(), entry.Advertised)
	require.Equal(t, agent.Advertised, agent.Upstream.Address)
	require.Equal(t, d.Entries[1].Fleet, d.Entries[1].Advertised)
	require.Equal(t, d.Platform.URL(), entry.PlatformURL)
	require.NotEqual(t, d.Platform.URL(), d.Entries[1].PlatformURL)

	require.True(t, answers(strings.TrimPrefix(shop.UpstreamURL, "http://"), patience))
	proxy := d.Proxy(launcher.Link{Kind: launcher.LinkToUpstream, Node: "agent-shop-1"})
	proxy.Set(interposer.Cut())
	require.False(t, answers(strings.TrimPrefix(shop.UpstreamURL, "http://"), absence))
	require.True(t, answers(shop.Standin.Address, patience))
	require.Nil(t, d.Proxy(launcher.Link{Kind: launcher.LinkToUpstream, Node: "agent-group-00"}))
}

// Guards against a refused change that is taken for an accepted one, and against changes through a dead entry.
func TestApplyReportsRefusalsAndPassesOverDeadEntries(t *testing.T) {
	_, d := deploy(t, smallPlan())
	err := d.Apply(testContext(t), "customers", "impossible", launcher.Customer{})
	require.ErrorContains(t, err, "share must be positive")

	d.Entries[0].Process.Kill()
	require.NoError(t, d.SetFailureDomain(testContext(t), "a", launcher.StateOut))
	require.NoError(t, d.SetUpstream(testContext(t), d.Agents[0], launcher.StateLeaving))
	seen := appliedResources(t, d.Entries[1])
	require.Equal(t, `/api/v1/failureDomains/a {"name":"a","region":"region","state":"out"}`, seen[0])
	require.Contains(t, seen[1], `"state":"leaving"`)

	require.NoError(t, d.Restart(testContext(t), &d.Entries[0].Process))
	require.True(t, answers(d.Entries[0].Callers, patience))
}

// Guards against a VM list that lacks live nodes or keeps gone ones.
func TestListVMs(t *testing.T) {
	_, d := deploy(t, smallPlan())
	require.NoError(t, d.ListVMs(testContext(t), map[string]bool{"entry-1": true}, map[string]bool{"entry-2": true}))
	seen := seenAt(t, d.Platform.URL())
	require.Len(t, seen, 2)
	require.Equal(t, 5, strings.Count(seen[0], `"state":"live"`))
	require.NotContains(t, seen[1], "entry-1")
	require.Contains(t, seen[1], `"name":"entry-2","address":"`+d.Entries[1].Fleet+`","failureDomain":"b","state":"leaving"`)
	require.Error(t, d.Control(testContext(t), launcher.Standin{Address: "127.0.0.1:1"}, "/fault", nil))
}

// Guards against upstreams that all stand in one failure domain.
func TestPlanOfKeCentral(t *testing.T) {
	plan := launcher.KeCentral()
	require.Equal(t, 7, plan.Entries)
	require.Equal(t, 16, plan.Groups[0].Ranks)
	require.Equal(t, 3, plan.Services[0].Runners)
	require.Len(t, plan.Customers, 10)

	_, d := deploy(t, smallPlan())
	entries, agents := d.Domain("a")
	require.Len(t, entries, 1)
	require.Len(t, agents, 2)
}

// Guards against processes that stay behind when a deployment fails to start.
func TestDeployFailsWithTheReason(t *testing.T) {
	l := newLauncher(t)
	_, err := launcher.Deploy(context.Background(), l, launcher.Binaries{Product: "/bin/false", Standin: "/bin/false"}, smallPlan())
	require.ErrorContains(t, err, "keygen")
	require.Empty(t, l.Running())
}
